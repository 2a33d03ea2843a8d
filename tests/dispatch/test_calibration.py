"""Test a fleet whose callers' estimates are wrong, by a factor each queue."""

from __future__ import annotations

import zlib
from types import MappingProxyType
from typing import TYPE_CHECKING

import pytest
from fakes.fleet import QUEUE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.jobs.model import Configuration
from savoryrudder.utils.effects import Log

if TYPE_CHECKING:
    from savoryrudder.jobs.model import Queue
    from savoryrudder.worker.effects import StartRun

ESTIMATE_MS = 200
# How long the tasks of a queue really take.
DURATIONS_S = MappingProxyType({'long': 0.4, 'short': 0.1})
QUEUES = MappingProxyType(
    {
        name: QUEUE._replace(name=name, prefix=f'/{name}/')
        for name in DURATIONS_S
    },
)
CONFIGURATION = Configuration(1, QUEUES)
INTERVAL_S = 0.15
LEARNING_JOBS = 60
# Entries tell each other what they have learned within this time.
TELLING_S = 2
# One task in this many takes far longer.
TAIL_DISTANCE = 25
TAIL_FACTOR = 8
TYPICAL_S = 0.2


def _duration_s(call: StartRun) -> float:
    return DURATIONS_S[call.task.split('-')[0]]


def _with_tail(call: StartRun) -> float:
    is_long = zlib.crc32(call.task.encode()) % TAIL_DISTANCE == 0
    return TYPICAL_S * TAIL_FACTOR if is_long else TYPICAL_S


def _learn(fleet: Fleet, *entries: int) -> None:
    for number in range(LEARNING_JOBS):
        for name, queue in QUEUES.items():
            job = job_of(f'{name}-{number}', estimate_ms=ESTIMATE_MS)
            fleet.submit(entries[number % len(entries)], job, queue)
        fleet.run(INTERVAL_S)


def _check_objectives(fleet: Fleet, entry: int) -> None:
    for name, queue in QUEUES.items():
        objective_s = _objective_s(fleet, entry, queue)
        true_s = queue.stretch * DURATIONS_S[name] + queue.target_ms / 1000
        assert objective_s == pytest.approx(true_s, 0.15)


def _objective_s(
    fleet: Fleet,
    entry: int,
    queue: Queue,
    name: str = 'last',
) -> float:
    job = job_of(f'{queue.name}-{name}{entry}', estimate_ms=ESTIMATE_MS)
    fleet.submit(entry, job, queue)
    return fleet.entries[entry].state.jobs[job.job_id].objective_s


def _moved(fleet: Fleet, since: float) -> int:
    return sum(
        1
        for at, _, line in fleet.log
        if at >= since
        and line.name == 'task-slow'
        and ('moved', 'True') in line.fields
        and ('sound_executor', 'False') not in line.fields
    )


def test_objectives_follow_what_the_work_takes() -> None:
    """Guard against jobs that are too late by their own, wrong estimate."""
    fleet = Fleet(1, configuration=CONFIGURATION)
    fleet.calls.draw_duration_s = _duration_s  # type: ignore[method-assign]
    _learn(fleet, 0, 1)
    _check_objectives(fleet, 0)
    _check_objectives(fleet, 1)


def test_a_job_keeps_the_objective_that_it_was_accepted_with() -> None:
    """Guard against a queue whose order changes with each run."""
    fleet = Fleet(2, configuration=CONFIGURATION)
    fleet.calls.draw_duration_s = _duration_s  # type: ignore[method-assign]
    queue = QUEUES['long']
    for number in range(4):
        job = job_of(f'long-{number}', estimate_ms=ESTIMATE_MS)
        fleet.submit(0, job, queue)
    fleet.run(0.3)
    objective_s = _objective_s(fleet, 0, queue)
    accepted = fleet.entries[0].state.jobs['long-last0']
    fleet.run(0.2)
    later_s = _objective_s(fleet, 0, queue, 'later')
    assert not accepted.ended
    assert accepted.objective_s == objective_s
    assert later_s > objective_s


@pytest.mark.parametrize('seed', range(3))
def test_an_entry_without_callers_knows_what_the_others_learned(
    seed: int,
) -> None:
    """Guard against an entry that starts to learn at its first burst."""
    fleet = Fleet(seed, configuration=CONFIGURATION, entries=3)
    fleet.calls.draw_duration_s = _duration_s  # type: ignore[method-assign]
    _learn(fleet, 0, 1)
    fleet.run(TELLING_S)
    _check_objectives(fleet, 2)


@pytest.mark.parametrize('seed', range(3))
def test_a_restarted_entry_knows_what_the_others_learned(seed: int) -> None:
    """Guard against an entry that knows nothing after each restart."""
    fleet = Fleet(seed, configuration=CONFIGURATION)
    fleet.calls.draw_duration_s = _duration_s  # type: ignore[method-assign]
    _learn(fleet, 0, 1)
    fleet.kill_entry(1, 0.5)
    fleet.run(TELLING_S)
    _check_objectives(fleet, 1)


def test_tasks_that_stay_long_elsewhere_are_moved_no_more() -> None:
    """Guard against long tasks that are stopped and begun anew for nothing.

    One is still moved if no other run shows that its executor is sound.
    """
    fleet = Fleet(3, agents=8)
    fleet.calls.draw_duration_s = _with_tail  # type: ignore[method-assign]
    learned_at = fleet.clock.now
    for number in range(120):
        if number == 60:
            learned_at = fleet.clock.now
        fleet.submit(number % 2, job_of(f'j{number}', tasks=4))
        fleet.run(0.3)
    assert _moved(fleet, 0)
    assert not _moved(fleet, learned_at)


def test_a_notable_change_is_logged_once() -> None:
    """Guard against corrections that no operator sees, or a line each run."""
    fleet = Fleet(4, configuration=CONFIGURATION)
    fleet.calls.draw_duration_s = _duration_s  # type: ignore[method-assign]
    _learn(fleet, 0, 1)
    lines = [
        line
        for _, process, line in fleet.log
        if isinstance(line, Log)
        and line.name == 'run-times-changed'
        and process == 'e0'
    ]
    assert {dict(line.fields)['queue'] for line in lines} == set(QUEUES)
    assert len(lines) < LEARNING_JOBS / 3


def test_jobs_without_an_estimate_say_nothing_of_the_others() -> None:
    """Guards against objectives that grow for all callers of a queue."""
    fleet = Fleet(7, entries=1, configuration=CONFIGURATION)
    for number in range(LEARNING_JOBS):
        job = job_of(f'long-{number}', estimate_ms=0)
        fleet.submit(0, job, QUEUES['long'])
        fleet.run(INTERVAL_S)
    run_times = fleet.entries[0].state.run_times
    assert run_times.calibration_of('long').ratio == 1
