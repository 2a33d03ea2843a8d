"""Reduce a tick whenever the reducer has something to do."""

from __future__ import annotations

from abc import abstractmethod
from typing import TypeVar

import anyio

from savoryrudder.daemon.loop import ReducerLoop
from savoryrudder.daemon.metrics import Counters

EventT = TypeVar('EventT')
EffectT = TypeVar('EffectT')


class DueTimer:
    """Sleep until a time that may be brought forward meanwhile."""

    def __init__(self) -> None:
        """Initialize without a sleeper."""
        self._scope = anyio.CancelScope()

    def bring_forward(self, due_at: float) -> None:
        """Wake the sleeper at `due_at` if it would sleep longer."""
        if due_at < self._scope.deadline:
            self._scope.deadline = due_at

    async def sleep_until(self, due_at: float) -> float:
        """Sleep, and return the time that the sleep was to end."""
        scope = anyio.CancelScope(deadline=due_at)
        self._scope = scope
        with scope:
            await anyio.sleep_forever()
        return scope.deadline


class TickingLoop(ReducerLoop[EventT, EffectT]):
    """Reduce events, and a tick when something is due without an event."""

    def __init__(self, counters: Counters) -> None:
        """Initialize with an empty event queue."""
        super().__init__(counters)
        self._timer = DueTimer()

    def handle(self, event: EventT) -> None:
        """Reduce an event now, or once the one being reduced is done."""
        super().handle(event)
        self._timer.bring_forward(self._next_tick_at(anyio.current_time()))

    async def run_ticks(self) -> None:
        """Reduce ticks until cancelled."""
        due_at = anyio.current_time()
        while True:
            now = anyio.current_time()
            self.load.record_delay(now - due_at)
            self._tick(now)
            next_tick_at = self._next_tick_at(anyio.current_time())
            due_at = await self._timer.sleep_until(next_tick_at)

    @abstractmethod
    def _tick(self, now: float) -> None:
        """Reduce a tick."""

    @abstractmethod
    def _next_tick_at(self, now: float) -> float:
        """Return when the next tick is due."""
