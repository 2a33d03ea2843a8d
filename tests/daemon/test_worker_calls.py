"""Test the calls of an agent to its executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from fakes.worker_shell import LINK
from fakes.worker_shell import CalmExecutor
from fakes.worker_shell import run_worker

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from savoryrudder.daemon.worker import Worker

SMALL_DEMAND = Resources(1, 1, 0)
RUNS = 300


async def _lose_entry(worker: Worker) -> None:
    keys = tuple((f'j.0.0.{number}', 1) for number in range(RUNS))
    starts = work.StartTasks(1, keys, 's', SMALL_DEMAND, 200, durable=False)
    worker.on_frame('e1', LINK, 0, (starts,))
    await anyio.sleep(0.5)
    worker.on_link_down('e1', LINK, 'cut')
    await anyio.sleep(5)


def test_calls_are_counted_by_kind() -> None:
    """Guard against a flood of calls that no metric tells apart."""
    worker = run_worker(CalmExecutor(), _lose_entry)
    counts = worker.counters.counts
    assert counts['call_StartRun'] == RUNS
    assert counts['call_StopRun'] == RUNS
    assert counts['call_RenewLease'] > 0
