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
    from savoryrudder.worker import effects
    from savoryrudder.worker import events

SMALL_DEMAND = Resources(1, 1, 0)
RUNS = 300
CALL_TIMEOUT_S = 0.3
# Some of the 64 connections that an executor takes.
MAX_CALLS = 16


class SilentCalls:
    """Let calls time out, and count those that wait at the same time."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.most_waiting = 0
        self._waiting = 0

    async def wait(self) -> None:
        """Wait for the timeout of a call."""
        self._waiting += 1
        self.most_waiting = max(self.most_waiting, self._waiting)
        await anyio.sleep(CALL_TIMEOUT_S)
        self._waiting -= 1


class SilentExecutor(CalmExecutor):
    """Answer neither stops nor probes."""

    def __init__(self) -> None:
        """Begin without calls."""
        super().__init__()
        self.stops = SilentCalls()
        self.probes = SilentCalls()

    async def stop(self, call: effects.StopRun) -> bool:
        """Let a stop time out."""
        await self.stops.wait()
        return False

    async def probe(
        self,
        call: effects.ProbeInstance,
    ) -> events.InstanceProbed:
        """Let a probe time out."""
        await self.probes.wait()
        return await super().probe(call)


async def _lose_entry(worker: Worker) -> None:
    keys = tuple((f'j.0.0.{number}', 1) for number in range(RUNS))
    starts = work.StartTasks(1, keys, 's', SMALL_DEMAND, 200, durable=False)
    worker.on_frame('e1', LINK, 0, (starts,))
    await anyio.sleep(0.5)
    worker.on_link_down('e1', LINK, 'cut')
    await anyio.sleep(5)


def test_stops_that_stay_unanswered_do_not_add_up() -> None:
    """Guard against calls whose tasks take the memory of the agent."""
    executor = SilentExecutor()
    run_worker(executor, _lose_entry)
    assert 0 < executor.stops.most_waiting <= MAX_CALLS


async def _send_odd_heartbeats(worker: Worker) -> None:
    current = worker.state.heartbeat
    assert current is not None
    for number in range(RUNS):
        worker.handle(
            current._replace(
                now=anyio.current_time(),
                executor=f'odd-{number}',
                address=f'127.0.0.1:{number}',
            ),
        )
    await anyio.sleep(1)


def test_probes_of_made_up_instances_do_not_add_up() -> None:
    """Guard against a call for each odd heartbeat of another writer."""
    executor = SilentExecutor()
    run_worker(executor, _send_odd_heartbeats)
    assert 0 < executor.probes.most_waiting <= MAX_CALLS


def test_calls_are_counted_by_kind() -> None:
    """Guard against a flood of calls that no metric tells apart."""
    worker = run_worker(CalmExecutor(), _lose_entry)
    counts = worker.counters.counts
    assert counts['call_StartRun'] == RUNS
    assert counts['call_StopRun'] == RUNS
    assert counts['call_RenewLease'] > 0
