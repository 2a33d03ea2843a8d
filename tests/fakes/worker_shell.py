"""Run an agent on a paused clock, with an executor that a test provides."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from trio.testing import MockClock

from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.worker import Worker
from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.worker import events
from savoryrudder.worker import verdicts
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from savoryrudder.daemon.worker import ExecutorCalls
    from savoryrudder.worker import effects

LINK = 'l1'
_CAPACITY = Resources(8000, 4096, 0)


class CalmExecutor:
    """Answer every call; nothing ends by itself."""

    def __init__(self) -> None:
        """Begin without runs."""
        self.runs: set[tuple[str, int]] = set()

    async def start(self, call: effects.StartRun) -> tuple[str, int]:
        """Start a run."""
        self.runs.add((call.task, call.run))
        return verdicts.STARTED, 0

    async def stop(self, call: effects.StopRun) -> bool:
        """Stop a run."""
        self.runs.discard((call.task, call.run))
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
        """List the runs, after the time that the caller waits."""
        await anyio.sleep(max(call.wait_ms, 100) / 1000)
        now = anyio.current_time()
        running = tuple(events.RunProgress(*key, 1) for key in self.runs)
        return events.RenewalAnswered(now, sent_at, 1, running, (), call.fence)


def run_worker(
    executor: ExecutorCalls,
    play: Callable[[Worker], Awaitable[None]],
) -> Worker:
    """Let an agent with one linked entry play, and return it as it is then."""
    return anyio.run(
        _run_worker,
        executor,
        play,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


async def _run_worker(
    executor: ExecutorCalls,
    play: Callable[[Worker], Awaitable[None]],
) -> Worker:
    identity = WorkerIdentity('a1', 'a1#1', 'zone')
    state = WorkerState(identity, WorkerTiming(30, 0.05), fence=1)
    worker = Worker(state, executor, Counters())
    async with anyio.create_task_group() as group:
        await group.start(worker.run)
        worker.on_link_up('e1', LINK)
        hello = work.EntryHello('e1', 'e1#1', 'address')
        worker.on_frame('e1', LINK, 0, (hello,))
        worker.handle(_heartbeat(anyio.current_time()))
        await anyio.sleep(0.5)
        await play(worker)
        group.cancel_scope.cancel()
    return worker


def _heartbeat(now: float) -> events.ExecutorHeartbeat:
    return events.ExecutorHeartbeat(
        now, 'x1', 1, 1, 'pane', 'address', (), _CAPACITY, False, 1
    )
