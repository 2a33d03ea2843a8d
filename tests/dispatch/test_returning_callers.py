"""Check that jobs of callers that come back have no concurrent runs.

The fake executors raise on a task that runs at two of them. To play a history
by its seed:

    PYTHONPATH=src:tests:tests/dispatch .venv/bin/python -c \
        'import test_returning_callers as t; t.play(SEED, t.cut_agents)'
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import TypeAlias

import pytest
from fakes.fleet import ZONE
from fakes.fleet import Fleet
from fakes.fleet import job_of
from fakes.returning_callers import RESUBMISSION_S
from fakes.returning_callers import RecordingExecutor
from fakes.returning_callers import ReturningCallers
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savoryrudder.dispatch import answers

if TYPE_CHECKING:
    from collections.abc import Callable

    from fakes.fleet import EntryProcess

Faults: TypeAlias = 'Callable[[Fleet, random.Random], None]'

AGENTS = 4
JOBS = 25
ESTIMATE_MS = 1000
DURATIONS_S = (0.1, 1.8)
MAX_PAUSE_S = 0.4
# Callers come back and late orders are carried out for some time.
RECOVERY_S = 40
FRESH_JOB_S = 5


def cut_agents(fleet: Fleet, rng: random.Random) -> None:
    """Silence the link of an entry and an agent at times."""
    if rng.randrange(2):
        _cut_agent(fleet, rng)


def cut_entries(fleet: Fleet, rng: random.Random) -> None:
    """Silence links of entries and agents, and of two entries, at times."""
    match rng.randrange(4):
        case 0:
            _cut_agent(fleet, rng)
        case 1:
            _cut_entry(fleet, rng)


def all_faults(fleet: Fleet, rng: random.Random) -> None:
    """Draw from all kinds of faults, or none."""
    entry = rng.randrange(len(fleet.entries))
    agent = rng.randrange(AGENTS)
    match rng.randrange(14):
        case 0:
            _cut_agent(fleet, rng)
        case 1:
            _cut_entry(fleet, rng)
        case 2:
            fleet.kill_agent(agent, rng.uniform(0.1, 2))
        case 3:
            fleet.kill_entry(entry, rng.uniform(0, 1))
        case 4:
            fleet.freeze_agent(agent, rng.uniform(0.1, 4))
        case 5:
            fleet.freeze_entry(entry, rng.uniform(0.1, 4))
        case 6:
            fleet.crash_executor(agent)
        case 7:
            fleet.calls.lose_answers = rng.choice((0, 0.1, 0.3))
        case 8:
            fleet.calls.late_orders = rng.choice((0, 0.05, 0.1))


def isolate_entry(fleet: Fleet, rng: random.Random) -> None:
    """Cut an entry off from all others at times; agents reach all."""
    if rng.randrange(6):
        return
    isolated = rng.choice(fleet.entries)
    seconds = rng.uniform(0.5, 8)
    for other in fleet.entries:
        if other is not isolated:
            fleet.silence_link(isolated.name, other.name, seconds)


def restart_entries(fleet: Fleet, rng: random.Random) -> None:
    """Kill an entry at times and start it again."""
    if not rng.randrange(3):
        entry = rng.randrange(len(fleet.entries))
        fleet.kill_entry(entry, rng.uniform(0, 1.5))


def _cut_agent(fleet: Fleet, rng: random.Random) -> None:
    entry = rng.choice(fleet.entries)
    agent = rng.choice(fleet.agents)
    fleet.silence_link(entry.name, agent.name, rng.uniform(0.2, 4))


def _cut_entry(fleet: Fleet, rng: random.Random) -> None:
    first, second = rng.sample(fleet.entries, 2)
    fleet.silence_link(first.name, second.name, rng.uniform(0.2, 8))


def play(seed: int, faults: Faults) -> ReturningCallers:
    """Play a history; raise on concurrent runs and on what is left behind."""
    rng = random.Random(seed)
    executors = [RecordingExecutor(f'x-{number}') for number in range(AGENTS)]
    fleet = Fleet(
        seed,
        entries=rng.choice((3, 4)),
        executors=executors,
        zones=rng.choice(((ZONE,), (ZONE, 'zone-b'))),
    )
    fleet.calls.durations_s = DURATIONS_S
    callers = ReturningCallers(fleet, executors, rng)
    for number in range(JOBS):
        tasks = rng.randint(1, 3)
        callers.submit(job_of(f'j{number}', tasks, estimate_ms=ESTIMATE_MS))
        faults(fleet, rng)
        fleet.run(rng.uniform(0, MAX_PAUSE_S))
    fleet.calls.lose_answers = 0
    fleet.calls.late_orders = 0
    fleet.run(RECOVERY_S)
    for entry in fleet.entries:
        _check_nothing_left(entry)
    _check_fresh_jobs(fleet)
    return callers


def _check_nothing_left(entry: EntryProcess) -> None:
    state = entry.state
    assert not state.jobs
    assert not state.contested_jobs
    assert not state.delegations
    assert not state.foreign_requests


def _check_fresh_jobs(fleet: Fleet) -> None:
    requests = [
        fleet.submit(number, job_of(f'fresh{number}', estimate_ms=ESTIMATE_MS))
        for number in range(len(fleet.entries))
    ]
    fleet.run(FRESH_JOB_S)
    for request in requests:
        assert fleet.answers[request].verdict == answers.COMPLETED


@pytest.mark.parametrize(
    'faults',
    [cut_agents, cut_entries, all_faults, isolate_entry, restart_entries],
)
@settings(max_examples=40)
@given(seed=st.integers(0, 2**32))
def test_returning_callers_cause_no_concurrent_runs(
    faults: Faults,
    seed: int,
) -> None:
    """Guards against a job that runs anew beside a run of its former life."""
    play(seed, faults)


@pytest.mark.parametrize(
    'faults',
    [cut_agents, cut_entries, all_faults, isolate_entry, restart_entries],
)
@settings(max_examples=40)
@given(seed=st.integers(0, 2**32))
def test_returning_callers_hear_only_true_refusals(
    faults: Faults,
    seed: int,
) -> None:
    """Guards against "not run" for a job of which a task has run."""
    assert not play(seed, faults).untrue_refusals


@pytest.mark.parametrize('noticed_s', [0, 0.05])
@pytest.mark.parametrize('late_s', [-0.005, 0, 0.005, 0.03])
def test_a_request_read_late_has_no_run_beside_its_repetition(
    late_s: float,
    noticed_s: float,
) -> None:
    """Guards against concurrent runs of a job that reaches two entries at once.

    An entry reads a request that waited on the network, and that its caller has
    left, while the caller comes to another entry. The entry notices the leaving
    with the next segment.
    """
    fleet = Fleet(1, agents=AGENTS)
    fleet.calls.durations_s = (1, 1)
    times_s = {0: max(late_s, 0), 1: max(-late_s, 0)}
    requests: dict[int, int] = {}
    for entry in sorted(times_s, key=times_s.__getitem__):
        fleet.run(times_s[entry])
        requests[entry] = fleet.submit(entry, job_of('one'))
        if entry == 0:
            fleet.clock.after(
                noticed_s, fleet.disconnect_caller, 0, requests[0]
            )
    fleet.run(RECOVERY_S)
    assert fleet.answers[requests[1]].verdict == answers.COMPLETED


@pytest.mark.parametrize('delay_s', [0, 0.1, 0.3])
def test_a_deferred_job_has_no_run_beside_its_repetition(
    delay_s: float,
) -> None:
    """Guards against a job that starts long after its submission unannounced.

    The first entry relinquishes the job late, as it has lost the agents. The
    caller breaks its second request off meanwhile, and comes to a third entry.
    """
    fleet = Fleet(1, entries=3, agents=AGENTS)
    fleet.calls.durations_s = (1, 1)
    fleet.submit(0, job_of('one'))
    fleet.run(0.1)
    for agent in fleet.agents:
        fleet.silence_link('e0', agent.name, 3)
    fleet.run(RESUBMISSION_S)
    fleet.submit(1, job_of('one'))
    _run_until_accepted(fleet, 'one')
    fleet.run(delay_s)
    request = fleet.submit(2, job_of('one'))
    fleet.run(RECOVERY_S)
    assert fleet.answers[request].verdict == answers.COMPLETED


def test_entries_that_meet_again_do_not_both_run_a_job() -> None:
    """Guards against two owners of a job that each go on.

    The second one has heard of no claim, as the link was cut before. Once they
    are linked again, the first one starts the job at other agents.
    """
    fleet = Fleet(1, entries=3, agents=AGENTS)
    fleet.calls.durations_s = (4, 4)
    fleet.submit(0, job_of('one'))
    fleet.silence_link('e0', 'e1', 2)
    fleet.run(0.1)
    for agent in fleet.agents:
        fleet.silence_link('e0', agent.name, 2)
    fleet.run(RESUBMISSION_S)
    request = fleet.submit(1, job_of('one'))
    fleet.run(RECOVERY_S)
    assert fleet.answers[request].verdict == answers.COMPLETED


def test_a_restarted_entry_runs_no_job_beside_its_former_runs() -> None:
    """Guards against runs of an entry that its next incarnation forgets.

    The agents of these runs are frozen, so that the leases keep them. Another
    entry knows that the job may be running.
    """
    fleet = Fleet(1, agents=AGENTS)
    fleet.calls.durations_s = (3, 3)
    fleet.submit(0, job_of('one', 1))
    fleet.run(0.5)
    fleet.kill_entry(0, 0.2)
    fleet.run(0.25)
    for number, agent in enumerate(fleet.agents):
        if agent.executor.runs:
            fleet.freeze_agent(number, 2)
    fleet.run(0.8)
    request = fleet.submit(0, job_of('one', 1))
    fleet.run(RECOVERY_S)
    assert fleet.answers[request].verdict == answers.COMPLETED


def test_a_job_that_runs_elsewhere_is_not_refused_for_want_of_agents() -> None:
    """Guards against "not run" for a job that another entry has claimed."""
    fleet = Fleet(1, agents=AGENTS)
    fleet.calls.durations_s = (4, 4)
    fleet.submit(0, job_of('one'))
    for agent in fleet.agents:
        fleet.silence_link('e1', agent.name, 4)
    # The loss of links without work is noticed late.
    fleet.run(2 * RESUBMISSION_S)
    request = fleet.submit(1, job_of('one'))
    fleet.run(RECOVERY_S)
    assert fleet.answers[request].verdict not in answers.REFUSALS


def _run_until_accepted(fleet: Fleet, job_id: str) -> None:
    # Other jobs keep the entry busy with announcements.
    for number in range(500):
        if not number % 10:
            fleet.submit(
                1, job_of(f'other{number}', 1, estimate_ms=ESTIMATE_MS)
            )
        fleet.run(0.01)
        if job_id in fleet.entries[1].state.jobs:
            return
    raise AssertionError(f'{job_id} has not started')
