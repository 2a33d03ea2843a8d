"""Test that an entry tells the runs of a job from those of its former self.

A job that was abandoned and removed is created anew when its caller comes back,
and the runs of its tasks are numbered from 1 again.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.state import TaskState
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker import outcomes

if TYPE_CHECKING:
    from savoryrudder.jobs.model import JobRequest

TASK = 'j1.0.0.0'
RECOVERY_S = 30
# A caller submits a job again after this time.
RESUBMISSION_S = 1.3
ENTRIES = 3
AGENTS = 4
RETURNING_SHARE = 0.5
SILENCE_SHARE = 0.3
RETURNING_SEEDS = (52, 105, 198, 311, 325, 332)


def _sent(sent: list[Any], message_type: type[Any]) -> list[Any]:
    return [
        effect.message
        for effect in sent
        if isinstance(effect, Send) and isinstance(effect.message, message_type)
    ]


def _run_of(sent: list[Any]) -> work.RunId:
    return _sent(sent, work.StartTask)[0].run_id


def _stopped(run_id: work.RunId) -> work.TaskEnded:
    return work.TaskEnded(
        run_id.task,
        run_id.number,
        outcomes.STOPPED,
        'executor',
        10,
        run_id.job_number,
    )


def _abandon_and_submit_again(
    driver: EntryDriver,
) -> tuple[work.RunId, work.RunId]:
    """Return the run of the removed job, and that of the present one."""
    former = _run_of(driver.submit('j1', tasks=1))
    driver.post(events.CallerDisconnected(driver.now, 1))
    driver.receive('l0', _stopped(former))
    assert 'j1' not in driver.state.jobs
    return former, _run_of(driver.submit('j1', tasks=1))


def _task_state(driver: EntryDriver) -> TaskState:
    return driver.state.jobs['j1'].tasks[TASK].state


def test_no_two_submissions_of_a_job_share_a_run() -> None:
    """Guard against messages about a run that fit another one."""
    former, current = _abandon_and_submit_again(EntryDriver(1))
    assert former[:2] == current[:2]
    assert former != current


def test_an_end_from_before_the_removal_of_a_job_requeues_nothing() -> None:
    """Guard against a second run of a task that still runs.

    An agent reports an end again that was not acknowledged on its former link.
    """
    driver = EntryDriver(1)
    former, current = _abandon_and_submit_again(driver)
    assert not _sent(driver.receive('l0', _stopped(former)), work.StartTask)
    assert _task_state(driver) is TaskState.placed
    driver.receive('l0', _stopped(current))
    assert driver.state.jobs['j1'].tasks[TASK].run == 2


def test_an_end_from_another_agent_requeues_nothing() -> None:
    """Guard against a report about a run that the agent does not have."""
    driver = EntryDriver(2)
    run_id = _run_of(driver.submit('j1', tasks=1))
    task = driver.state.jobs['j1'].tasks[TASK]
    other = next(
        link
        for link, agent in driver.state.agents.items()
        if agent.name != task.agent
    )
    driver.receive(other, _stopped(run_id))
    assert task.state is TaskState.placed
    assert task.run == 1


def test_a_listed_run_of_a_removed_job_settles_no_task() -> None:
    """Guard against a task that waits for the end of a run it does not have."""
    driver = EntryDriver(1)
    former, current = _abandon_and_submit_again(driver)
    driver.post(events.LinkDown(driver.now, 'l0', 'connection lost'))
    driver.post(events.LinkUp(driver.now, 'l9', dialled=False))
    driver.receive('l9', work.AgentHello('a0', 'a0#1', 'zone-a'))
    driver.receive('l9', work.RunningTasks.of((former,)))
    assert _task_state(driver) is TaskState.unsettled
    driver.receive('l9', work.RunningTasks.of((current,)))
    assert _task_state(driver) is TaskState.placed


def test_a_slow_run_of_a_removed_job_moves_no_task() -> None:
    """Guard against a stop of a run that makes progress."""
    driver = EntryDriver(1)
    former, current = _abandon_and_submit_again(driver)
    slow = work.SlowRun(former.task, former.number, 9, -1, former.job_number)
    assert not _sent(driver.receive('l0', slow), work.StopTask)
    slow = slow._replace(job_number=current.job_number)
    stops = _sent(driver.receive('l0', slow), work.StopTask)
    assert [stop.run_id for stop in stops] == [current]


def test_an_end_of_a_removed_job_frees_nothing_twice() -> None:
    """Guard against starts beyond what an executor has free."""
    driver = EntryDriver(1)
    former, _ = _abandon_and_submit_again(driver)
    agent = driver.state.agents['l0']
    driver.report('l0', NO_CPU, starts=2)
    driver.receive('l0', _stopped(former)._replace(outcome=outcomes.DONE))
    assert agent.free == NO_CPU
    assert len(agent.runs) == 1


def test_an_end_without_the_number_of_the_job_counts() -> None:
    """Guard against runs at an agent of an earlier release that never end."""
    driver = EntryDriver(1)
    run_id = _run_of(driver.submit('j1', tasks=1))
    ended = _stopped(run_id)._replace(outcome=outcomes.DONE)
    driver.receive('l0', work.TaskEnded(*ended[:5]))
    assert 'j1' not in driver.state.jobs
    assert not driver.state.agents['l0'].runs


def test_an_acknowledgement_names_the_job_of_the_end() -> None:
    """Guard against an end that the agent keeps, or one it loses."""
    driver = EntryDriver(1)
    former, current = _abandon_and_submit_again(driver)
    driver.receive('l0', _stopped(current)._replace(outcome=outcomes.DONE))
    driver.now += driver.state.timing.acknowledgement_s
    ticked = driver.post(events.Tick(driver.now))
    acknowledged = [
        run_id
        for message in _sent(ticked, work.EndsAcknowledged)
        for run_id in message.run_ids
    ]
    assert acknowledged == [current]
    assert former not in acknowledged


def _agent_with_the_task(fleet: Fleet, task: str) -> str:
    return next(
        agent.name for agent in fleet.agents if task in agent.state.runs
    )


@pytest.mark.parametrize('seed', range(10))
def test_an_unacknowledged_end_frees_no_task_of_a_returned_caller(
    seed: int,
) -> None:
    """Guard against two runs of a task at the same time.

    The link of an agent is silent when the end of a stopped run would be
    acknowledged. The caller has come back before the agent reports it again.
    """
    fleet = Fleet(seed, entries=1)
    fleet.calls.durations_s = (8, 8)
    job = job_of('one', tasks=1, estimate_ms=8000)
    abandoned = fleet.submit(0, job)
    fleet.run(0.3)
    agent = _agent_with_the_task(fleet, 'one.0.0.0')
    fleet.disconnect_caller(0, abandoned)
    fleet.run(0.3)
    assert not fleet.entries[0].state.jobs
    fleet.silence_link('e0', agent, RESUBMISSION_S + 0.5)
    fleet.run(RESUBMISSION_S)
    returned = fleet.submit(0, job)
    fleet.run(RECOVERY_S)
    assert fleet.answers[returned].verdict == answers.COMPLETED
    assert not any(line.name == 'start-refused' for _, _, line in fleet.log)


@pytest.mark.parametrize('seed', RETURNING_SEEDS)
def test_returning_callers_cause_no_concurrent_runs_on_silent_links(
    seed: int,
) -> None:
    """Guard against two runs of a task of a job that came back.

    Half of the callers leave and submit their jobs again, at any entry.
    """
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=ENTRIES, agents=AGENTS)
    fleet.calls.durations_s = (0.1, 1.8)
    for number in range(30):
        _submit(fleet, rng, job_of(f'j{number}', rng.choice((1, 2, 3))))
        if rng.random() < SILENCE_SHARE:
            agent = f'a{rng.randrange(AGENTS)}'
            entry = f'e{rng.randrange(ENTRIES)}'
            fleet.silence_link(entry, agent, rng.uniform(0.2, 3))
        fleet.run(rng.uniform(0, 0.3))
    fleet.run(RECOVERY_S)
    assert not any(entry.state.jobs for entry in fleet.entries)


def _submit(fleet: Fleet, rng: random.Random, job: JobRequest) -> None:
    entry = rng.randrange(ENTRIES)
    request = fleet.submit(entry, job)
    if rng.random() < RETURNING_SHARE:
        _return_later(fleet, rng, entry, request, job)


def _return_later(
    fleet: Fleet,
    rng: random.Random,
    entry: int,
    request: int,
    job: JobRequest,
) -> None:
    """Submit a job again; its first entry notices at once, late or never."""
    left_after_s = rng.uniform(0, 1)
    noticed_after_s = rng.choice((0, rng.uniform(0, 2), None))
    if noticed_after_s is not None:
        fleet.clock.after(
            left_after_s + noticed_after_s,
            fleet.disconnect_caller,
            entry,
            request,
        )
    fleet.clock.after(
        left_after_s + RESUBMISSION_S,
        fleet.submit,
        rng.randrange(ENTRIES),
        job,
    )
