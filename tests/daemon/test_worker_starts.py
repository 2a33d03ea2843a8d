"""Test the starts that wait at an agent for their turn at the executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from trio.testing import MockClock

from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.worker import Worker
from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.worker import events
from savoryrudder.worker import verdicts
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

if TYPE_CHECKING:
    from savoryrudder.worker import effects

LINK = 'l1'
TASKS = 7
DEMAND = Resources(1000, 64, 0)


class SlowExecutor:
    """Answer starts after a second."""

    def __init__(self) -> None:
        """Start without calls."""
        self.started: list[str] = []

    async def start(self, call: effects.StartRun) -> tuple[str, int]:
        """Start a run after a second."""
        self.started.append(call.task)
        await anyio.sleep(1)
        return verdicts.STARTED, 0

    async def stop(self, call: effects.StopRun) -> bool:
        """Confirm a stop."""
        return True

    async def probe(
        self,
        call: effects.ProbeInstance,
    ) -> events.InstanceProbed:
        """Tell nothing."""
        now = anyio.current_time()
        return events.InstanceProbed(now, call.executor, verdicts.UNKNOWN)

    async def renew(
        self,
        call: effects.RenewLease,
        sent_at: float,
    ) -> events.RenewalAnswered | events.RenewalFailed:
        """List nothing, after the time that the caller waits."""
        await anyio.sleep(max(call.wait_ms, 100) / 1000)
        now = anyio.current_time()
        return events.RenewalAnswered(now, sent_at, 1, (), (), call.fence)


def _heartbeat(now: float) -> events.ExecutorHeartbeat:
    capacity = Resources(8000, 4096, 0)
    return events.ExecutorHeartbeat(
        now, 'x1', 1, 1, 'pane', 'address', (), capacity, False, 1
    )


async def _start_tasks(evacuates: bool) -> tuple[list[str], set[str]]:
    """Return the tasks of the calls, and those whose runs are tracked."""
    identity = WorkerIdentity('a1', 'a1#1', 'zone')
    state = WorkerState(identity, WorkerTiming(30, 0.05), fence=1)
    executor = SlowExecutor()
    worker = Worker(state, executor, Counters())
    async with anyio.create_task_group() as group:
        await group.start(worker.run)
        worker.on_link_up('e1', LINK)
        hello = work.EntryHello('e1', 'e1#1', 'address')
        worker.on_frame('e1', LINK, 0, (hello,))
        worker.handle(_heartbeat(anyio.current_time()))
        await anyio.sleep(0.5)
        keys = tuple((f'j.0.0.{number}', 1) for number in range(TASKS))
        starts = work.StartTasks(1, keys, 's', DEMAND, 200, durable=False)
        worker.on_frame('e1', LINK, 0, (starts,))
        await anyio.sleep(0.1)
        if evacuates:
            told = EvacuatedZones(7, ('zone',))
            worker.on_frame('e1', LINK, 0, (told,))
        await anyio.sleep(1.5)
        tracked = set(state.runs)
        group.cancel_scope.cancel()
    return executor.started, tracked


def _play(evacuates: bool) -> tuple[list[str], set[str]]:
    return anyio.run(
        _start_tasks,
        evacuates,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_a_start_that_waits_is_not_sent_once_its_zone_is_evacuated() -> None:
    """Guards against calls that an agent accepted before it was told."""
    all_started, _ = _play(evacuates=False)
    assert len(all_started) == TASKS
    started, tracked = _play(evacuates=True)
    assert 0 < len(started) < TASKS
    assert tracked <= set(started)
