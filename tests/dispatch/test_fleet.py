"""Check entries and agents together, with and without faults."""

from __future__ import annotations

import random
from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import Fleet
from fakes.fleet import job_of
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savoryrudder.dispatch import answers
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

RECOVERY_S = 30
ANSWER_DELIVERY_S = 0.3
# A caller submits a job again after this time.
RESUBMISSION_S = 1.3


def _completed(fleet: Fleet, request: int) -> bool:
    answer = fleet.answers.get(request)
    return answer is not None and answer.verdict == answers.COMPLETED


def test_a_job_completes_once_all_its_tasks_are_done() -> None:
    """Guards against an answer before the last task has ended."""
    fleet = Fleet(1)
    request = fleet.submit(0, job_of('one', tasks=8))
    fleet.run(0.05)
    assert request not in fleet.answers
    fleet.run(1)
    assert _completed(fleet, request)


def test_tasks_of_a_lost_agent_restart_once_their_runs_are_settled() -> None:
    """Guards against concurrent runs of a task while a link is silent."""
    fleet = Fleet(2)
    fleet.calls.duration_factor = 20
    request = fleet.submit(0, job_of('one', tasks=6))
    fleet.run(0.1)
    for agent in range(3):
        fleet.silence_link('e0', f'a{agent}', 1.5)
    fleet.run(RECOVERY_S)
    assert _completed(fleet, request)


def test_a_restarted_agent_stops_runs_started_before_its_restart() -> None:
    """Guards against resources that are allocated twice after a restart."""
    fleet = Fleet(3, agents=1)
    fleet.calls.duration_factor = 10
    request = fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.1)
    fleet.kill_agent(0, 0.2)
    fleet.run(RECOVERY_S)
    assert _completed(fleet, request)


def test_runs_stop_when_the_caller_disconnects() -> None:
    """Guards against executors that run tasks without a waiting caller."""
    fleet = Fleet(4)
    fleet.calls.duration_factor = 20
    request = fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.1)
    fleet.disconnect_caller(0, request)
    fleet.run(0.2)
    assert not any(agent.executor.runs for agent in fleet.agents)
    assert not fleet.entries[0].state.jobs


def test_a_job_submitted_to_another_entry_is_superseded_at_the_first() -> None:
    """Guards against concurrent runs of a job.

    A caller that loses its connection silently submits its job to another
    entry while the first one still runs it.
    """
    fleet = Fleet(6)
    fleet.calls.duration_factor = 5
    first = fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.2)
    resubmitted = fleet.submit(1, job_of('one', tasks=4))
    fleet.run(RECOVERY_S)
    assert fleet.answers[first].verdict == answers.SUPERSEDED
    assert _completed(fleet, resubmitted)


def test_a_job_submitted_in_another_zone_is_superseded_too() -> None:
    """Guards against concurrent runs while claims are told less often there."""
    fleet = Fleet(4, zones=('zone-a', 'zone-b'))
    fleet.calls.duration_factor = 20
    fleet.submit(0, job_of('one', tasks=4))
    fleet.run(RESUBMISSION_S)
    second = fleet.submit(1, job_of('one', tasks=4))
    fleet.run(RECOVERY_S)
    assert _completed(fleet, second)


def test_a_job_of_a_lost_entry_waits_until_its_runs_have_ended() -> None:
    """Guards against concurrent runs of a job after its entry was killed."""
    fleet = Fleet(7)
    fleet.calls.duration_factor = 10
    fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.2)
    fleet.kill_entry(0, 1)
    fleet.run(0.1)
    resubmitted = fleet.submit(1, job_of('one', tasks=4))
    fleet.run(RECOVERY_S)
    assert _completed(fleet, resubmitted)


SHORT_PAUSES_S = (0.1, 0.3, 0.5, 0.7)
LONG_PAUSES_S = (0.8, 1, 1.5, 2, 3, 5, 10)


@pytest.mark.parametrize('pause_s', SHORT_PAUSES_S)
def test_a_short_pause_of_an_agent_restarts_nothing(pause_s: float) -> None:
    """Guards against giving up the work of a machine that is only silent."""
    fleet = Fleet(10)
    fleet.calls.duration_factor = 10
    request = fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.3)
    runs = {
        run.key for agent in fleet.agents for run in agent.state.runs.values()
    }
    fleet.freeze_agent(0, pause_s)
    fleet.run(pause_s + 0.1)
    assert runs == {
        run.key for agent in fleet.agents for run in agent.state.runs.values()
    }
    fleet.run(RECOVERY_S)
    assert _completed(fleet, request)


@pytest.mark.parametrize('pause_s', [*SHORT_PAUSES_S, *LONG_PAUSES_S])
@settings(max_examples=10)
@given(seed=st.integers(0, 2**32), paused_at=st.floats(0, 1))
def test_a_paused_agent_leaves_no_concurrent_runs(
    pause_s: float,
    seed: int,
    paused_at: float,
) -> None:
    """Guards against work that is started elsewhere before it has ended.

    The fake executors raise on a task that runs at two of them.
    """
    fleet = Fleet(seed)
    fleet.calls.duration_factor = 10
    requests = [fleet.submit(0, job_of(f'j{number}')) for number in range(3)]
    fleet.run(paused_at)
    fleet.freeze_agent(0, pause_s)
    fleet.run(RECOVERY_S)
    assert all(_completed(fleet, request) for request in requests)


@pytest.mark.parametrize('pause_s', [*SHORT_PAUSES_S, *LONG_PAUSES_S])
@settings(max_examples=10)
@given(seed=st.integers(0, 2**32), paused_at=st.floats(0, 1))
def test_a_paused_entry_leaves_no_concurrent_runs(
    pause_s: float,
    seed: int,
    paused_at: float,
) -> None:
    """Guards against an entry that acts after its jobs have gone elsewhere.

    Its callers lose patience and come to another entry, and it handles what
    arrived meanwhile as if no time had passed.
    """
    fleet = Fleet(seed, zones=('zone-a', 'zone-b'))
    fleet.calls.duration_factor = 10
    jobs = [job_of(f'j{number}') for number in range(3)]
    for job in jobs:
        fleet.submit(0, job)
    fleet.run(paused_at)
    fleet.freeze_entry(0, pause_s)
    fleet.submit(0, job_of('late'))
    fleet.run(RESUBMISSION_S)
    resubmitted = [fleet.submit(1, again) for again in jobs]
    fleet.run(RECOVERY_S)
    assert all(fleet.answers.get(request) for request in resubmitted)


@settings(max_examples=100)
@given(seed=st.integers(0, 2**32))
def test_no_task_has_concurrent_runs_under_random_faults(seed: int) -> None:
    """Guards against concurrent runs and overcommitted executors."""
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=2, agents=3)
    requests = []
    for number in range(30):
        entry = rng.randrange(2)
        requests.append(
            (entry, fleet.submit(entry, job_of(f'j{number}', tasks=3))),
        )
        _inject_random_fault(fleet, rng, requests)
        fleet.run(rng.uniform(0, 0.3))
    fleet.calls.lose_answers = 0
    fleet.calls.late_orders = 0
    fleet.run(RECOVERY_S)
    assert not fleet.entries[0].state.jobs
    assert not fleet.entries[1].state.jobs


@settings(max_examples=100)
@given(seed=st.integers(0, 2**32))
def test_delegated_tasks_have_no_concurrent_runs_under_random_faults(
    seed: int,
) -> None:
    """Guards against runs of a job at the entry that delegated it, and at both.

    The entries are busy by turns, so each of them delegates jobs.
    """
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=2, agents=3)
    requests = []
    for number in range(30):
        busy = number // 10 % 2
        fleet.entries[busy].busy_share = 1
        fleet.entries[1 - busy].busy_share = 0.1
        submitted_at = rng.choice((busy, busy, 1 - busy))
        requests.append(
            (
                submitted_at,
                fleet.submit(
                    submitted_at, job_of(f'j{number}', rng.choice((1, 2)))
                ),
            ),
        )
        _inject_random_fault(fleet, rng, requests)
        fleet.run(rng.uniform(0, 0.3))
    fleet.calls.lose_answers = 0
    fleet.calls.late_orders = 0
    fleet.run(RECOVERY_S)
    for entry in fleet.entries:
        assert not entry.state.jobs
        assert not entry.state.delegations
        assert not entry.state.foreign_requests


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32))
def test_both_ends_of_a_link_with_runs_watch_it_closely(seed: int) -> None:
    """Guard against a lost entry whose runs are stopped too late.

    An entry that takes a link for quiet sends few heartbeats, and the agent
    notices its loss late; runs that the entry starts elsewhere would overlap.
    """
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=2, agents=3)
    requests = []
    for number in range(30):
        entry = rng.randrange(2)
        job = job_of(f'j{number}', rng.choice((1, 2)))
        requests.append((entry, fleet.submit(entry, job)))
        _inject_random_fault(fleet, rng, requests)
        fleet.run(rng.uniform(0, 0.3))
        _check_links_with_runs(fleet)


def _check_links_with_runs(fleet: Fleet) -> None:
    views = {
        (entry.state.identity.incarnation, link): view
        for entry in fleet.entries
        for link, view in entry.state.agents.items()
    }
    for agent in fleet.agents:
        owners = {
            run.owner
            for run in agent.state.runs.values()
            if not run.end_reported
        }
        for name, link in agent.state.links.items():
            view = views.get((link.incarnation, name))
            if view is not None and link.incarnation in owners:
                assert link.carries_work
                assert view.carries_work


def _inject_random_fault(
    fleet: Fleet,
    rng: random.Random,
    requests: list[tuple[int, int]],
) -> None:
    agent = rng.randrange(3)
    entry = rng.randrange(2)
    match rng.randrange(12):
        case 0:
            fleet.silence_link(f'e{entry}', f'a{agent}', rng.uniform(0.2, 3))
        case 1:
            fleet.kill_agent(agent, rng.uniform(0.1, 2))
        case 2:
            fleet.kill_entry(entry, rng.uniform(0.1, 1))
        case 3:
            fleet.freeze_agent(agent, rng.uniform(0.6, 3))
        case 4:
            fleet.crash_executor(agent)
        case 5:
            fleet.calls.lose_answers = rng.choice((0, 0.1, 0.3))
        case 6:
            fleet.calls.late_orders = rng.choice((0, 0.05, 0.1))
        case 7:
            fleet.disconnect_caller(*rng.choice(requests))
        case 8:
            fleet.silence_link('e0', 'e1', rng.uniform(0.2, 3))


@pytest.mark.parametrize('failing', [True, False])
def test_a_task_that_always_fails_ends_its_job(failing: bool) -> None:
    """Guards against endless retries of a task that cannot succeed."""
    fleet = Fleet(5)
    for agent in fleet.agents:
        agent.executor.failing = failing
    request = fleet.submit(0, job_of('one'))
    fleet.run(3)
    verdict = answers.FAILED if failing else answers.COMPLETED
    assert fleet.answers[request].verdict == verdict


def test_a_stopping_entry_answers_all_its_callers() -> None:
    """Guards against connections that are closed without an answer."""
    fleet = Fleet(8)
    fleet.calls.duration_factor = 40
    started = fleet.submit(0, job_of('one', tasks=4))
    fleet.run(0.1)
    fleet.drain_entry(0, 5)
    fleet.run(6)
    assert fleet.answers[started].verdict == answers.INTERRUPTED
    assert fleet.entries[0].state.exited
    assert not any(agent.executor.runs for agent in fleet.agents)


def test_a_stopping_entry_exits_once_its_callers_are_answered() -> None:
    """Guards against a graceful stop that takes longer than needed."""
    fleet = Fleet(9)
    served = fleet.submit(0, job_of('one', tasks=4))
    fleet.drain_entry(0, 5)
    fleet.run(3)
    assert _completed(fleet, served)
    assert fleet.entries[0].state.exited


def test_the_entry_exits_only_after_the_last_answer_is_delivered() -> None:
    """Guards against an exit that closes a connection before its answer.

    Without a delay for the delivery, a request was lost 4 s after SIGTERM.
    """
    fleet = Fleet(10)
    fleet.calls.durations_s = (4, 4)
    served = fleet.submit(0, job_of('one', tasks=1, estimate_ms=4000))
    fleet.drain_entry(0, 6)
    while not fleet.entries[0].state.exited:
        fleet.run(0.01)
    assert _completed(fleet, served)
    assert fleet.clock.now > fleet.answered_at[served] + ANSWER_DELIVERY_S


def test_a_refused_task_is_not_sent_again_before_a_report() -> None:
    """Guard against starts that an agent refuses twice.

    Its report follows in the same frame, and says what is free.
    """
    driver = EntryDriver(1)
    driver.submit('j1', tasks=1)
    refusal = work.TaskEnded('j1.0.0.0', 1, 'not-started', 'no room', 0)
    assert not _starts(driver.receive('l0', refusal))
    assert not _starts(driver.report('l0', NO_CPU, starts=1))
    assert _starts(driver.report('l0', CAPACITY, starts=1))


def _starts(sent: list[Any]) -> list[Any]:
    return [
        effect.message
        for effect in sent
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask | work.StartTasks)
    ]
