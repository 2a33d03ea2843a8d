"""Run calls on tasks that stay, as a new task for each call costs more."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import anyio
import trio

_Call: TypeAlias = Callable[[], Awaitable[None]]


class TaskPool:
    """Run calls in the order of their arrival, at most `size` at a time."""

    def __init__(self, size: int) -> None:
        """Initialize without tasks; `run` starts them."""
        self._size = size
        self._calls: deque[_Call] = deque()
        self._idle: list[trio.Event] = []

    def submit(self, call: _Call) -> None:
        """Run a call as soon as a task is free."""
        self._calls.append(call)
        if self._idle:
            self._idle.pop().set()

    async def run(self) -> None:
        """Run calls until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(self._size):
                group.start_soon(self._work)

    async def _work(self) -> None:
        while True:
            if self._calls:
                await self._calls.popleft()()
            else:
                called = trio.Event()
                self._idle.append(called)
                await called.wait()
