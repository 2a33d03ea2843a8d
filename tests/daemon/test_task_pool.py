"""Test that calls run in order, and a bounded number at a time."""

from __future__ import annotations

from functools import partial

import anyio
from trio.testing import MockClock

from savoryrudder.daemon.task_pool import TaskPool


class _Calls:
    """Record the calls that run, each for a second."""

    def __init__(self) -> None:
        self.running = 0
        self.most_running = 0
        self.started: list[int] = []

    async def call(self, number: int) -> None:
        """Run for a second."""
        self.started.append(number)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await anyio.sleep(1)
        self.running -= 1


async def _submit_calls(
    size: int,
    pauses_s: tuple[int, ...],
) -> tuple[_Calls, float]:
    pool = TaskPool(size)
    calls = _Calls()
    async with anyio.create_task_group() as group:
        group.start_soon(pool.run)
        await anyio.sleep(1)
        for number, pause_s in enumerate(pauses_s):
            group.start_soon(_submit_later, pool, calls, number, pause_s)
        await anyio.sleep(max(pauses_s) + 1.5)
        unfinished = calls.running
        await anyio.sleep(60)
        group.cancel_scope.cancel()
    return calls, unfinished


async def _submit_later(
    pool: TaskPool,
    calls: _Calls,
    number: int,
    pause_s: int,
) -> None:
    await anyio.sleep(pause_s)
    pool.submit(partial(calls.call, number))


def _play(size: int, *pauses_s: int) -> tuple[_Calls, float]:
    return anyio.run(
        _submit_calls,
        size,
        pauses_s,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_calls_of_a_burst_run_side_by_side() -> None:
    """Guard against tasks of a job that start one after the other."""
    calls, _ = _play(4, *(0 for _ in range(8)))
    assert sorted(calls.started) == list(range(8))
    assert calls.most_running == 4


def test_calls_run_in_the_order_of_their_arrival() -> None:
    """Guard against a start that overtakes the one before it."""
    calls, _ = _play(1, 0, 1, 2, 3)
    assert calls.started == [0, 1, 2, 3]


def test_an_idle_pool_runs_a_call_at_once() -> None:
    """Guard against a call that waits for the next one to wake a task."""
    calls, unfinished = _play(2, 0, 4, 8)
    assert calls.started == [0, 1, 2]
    assert not unfinished
