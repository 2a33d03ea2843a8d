"""Test the timer of ticks."""

from __future__ import annotations

import anyio
from trio.testing import MockClock

from savoryrudder.daemon.due_timer import DueTimer


async def _sleep_and_bring_forward(due_at: float, earlier: float) -> float:
    timer = DueTimer()
    started_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        group.start_soon(timer.sleep_until, started_at + due_at)
        await anyio.sleep(1)
        timer.bring_forward(started_at + earlier)
    return anyio.current_time() - started_at


def _play(due_at: float, earlier: float) -> float:
    return anyio.run(
        _sleep_and_bring_forward,
        due_at,
        earlier,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_a_sleep_ends_sooner_if_something_is_due_sooner() -> None:
    """Guard against an event whose consequences wait for an idle tick."""
    assert round(_play(10, 3), 3) == 3


def test_a_sleep_is_not_prolonged() -> None:
    """Guard against an event that puts off what is due."""
    assert round(_play(4, 30), 3) == 4
