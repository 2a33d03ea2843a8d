"""Test the starts that wait at an agent for their turn at the executor."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
from fakes.worker_shell import LINK
from fakes.worker_shell import CalmExecutor
from fakes.worker_shell import run_worker

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import EvacuatedZones

if TYPE_CHECKING:
    from savoryrudder.daemon.worker import Worker
    from savoryrudder.protocol.messages import Message
    from savoryrudder.worker import effects

TASKS = 7
DEMAND = Resources(1000, 64, 0)


class SlowExecutor(CalmExecutor):
    """Answer starts after a second."""

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__()
        self.started: list[str] = []

    async def start(self, call: effects.StartRun) -> tuple[str, int]:
        """Start a run after a second."""
        self.started.append(call.task)
        await anyio.sleep(1)
        return await super().start(call)


async def _start_tasks(worker: Worker, later: Message | None) -> None:
    keys = tuple((f'j.0.0.{number}', 1) for number in range(TASKS))
    starts = work.StartTasks(1, keys, 's', DEMAND, 200, durable=False)
    worker.on_frame('e1', LINK, 0, (starts,))
    await anyio.sleep(0.1)
    if later is not None:
        worker.on_frame('e1', LINK, 0, (later,))
    await anyio.sleep(1.5)


def _play(later: Message | None) -> tuple[list[str], set[str]]:
    """Send a message while starts wait.

    The tasks of the calls are returned, and those whose runs are tracked.
    """
    executor = SlowExecutor()
    play = partial(_start_tasks, later=later)
    worker = run_worker(executor, play)
    return executor.started, set(worker.state.runs)


def test_a_start_that_waits_is_not_sent_once_its_zone_is_evacuated() -> None:
    """Guards against calls that an agent accepted before it was told."""
    all_started, _ = _play(None)
    assert len(all_started) == TASKS
    started, tracked = _play(EvacuatedZones(7, ('zone',)))
    assert 0 < len(started) < TASKS
    assert tracked <= set(started)


def test_a_start_that_waits_is_not_sent_once_its_run_is_stopped() -> None:
    """Guards against a task that starts after its job was cancelled.

    A stop that waits for its turn may be sent later than the start.
    """
    last_task = f'j.0.0.{TASKS - 1}'
    started, tracked = _play(work.StopTask(last_task, 1))
    assert last_task not in started
    assert last_task not in tracked
