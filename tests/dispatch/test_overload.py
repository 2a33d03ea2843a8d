"""Check admission and refusals under more load than capacity."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import QUEUE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers
from savoryrudder.utils.effects import Log

ESTIMATE_MS = 250
OBJECTIVE_S = (QUEUE.stretch * ESTIMATE_MS + QUEUE.target_ms) / 1000
# Twelve tasks of about 0.25 s run concurrently: 48 per second.
JOBS_PER_S = 30
DURATIONS_S = (0.2, 0.27)
JOBS = 180
# Jobs that the executors can complete at most while jobs are submitted.
MAX_COMPLETED_JOBS = 12 / 0.235 / 3 * JOBS / JOBS_PER_S
MIN_IN_TIME_SHARE = 0.7
TICK_S = 0.05


class Outcome(NamedTuple):
    """Count the jobs by their result."""

    in_time: int
    late: int
    refused: int
    longest_refusal_s: float


def _replay(seed: int) -> Outcome:
    fleet = Fleet(seed)
    fleet.calls.durations_s = DURATIONS_S
    sent_at_by_request: dict[int, float] = {}
    for number in range(JOBS):
        job = job_of(f'j{number}', tasks=3, estimate_ms=ESTIMATE_MS)
        sent_at_by_request[fleet.submit(number % 2, job)] = fleet.clock.now
        fleet.run(1 / JOBS_PER_S)
    fleet.run(5)
    waited_s: dict[bool, list[float]] = {True: [], False: []}
    for request, sent_at in sent_at_by_request.items():
        is_completed = fleet.answers[request].verdict == answers.COMPLETED
        elapsed_s = fleet.answered_at[request] - sent_at
        waited_s[is_completed].append(elapsed_s)
    in_time = sum(1 for wait_s in waited_s[True] if wait_s <= OBJECTIVE_S)
    return Outcome(
        in_time,
        len(waited_s[True]) - in_time,
        len(waited_s[False]),
        max(waited_s[False], default=0),
    )


def test_under_overload_most_accepted_jobs_meet_their_objective() -> None:
    """Guards against a queue so long that every job misses its objective."""
    outcome = _replay(1)
    assert outcome.in_time > 4 * outcome.late
    assert outcome.in_time >= MIN_IN_TIME_SHARE * MAX_COMPLETED_JOBS


def test_refusals_come_before_the_objective_has_passed() -> None:
    """Guards against callers that wait too long for a refusal."""
    outcome = _replay(2)
    slack_s = OBJECTIVE_S - ESTIMATE_MS / 1000
    assert outcome.refused
    assert outcome.longest_refusal_s <= slack_s + TICK_S


def test_admission_by_predicted_wait_completes_more_jobs_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Compare runs with and without the prediction of the wait."""
    with_prediction = [_replay(seed) for seed in range(3)]
    monkeypatch.setattr(admission, 'predicted_wait_s', lambda *_: 0)
    without_prediction = [_replay(seed) for seed in range(3)]
    in_time = sum(outcome.in_time for outcome in with_prediction)
    baseline = sum(outcome.in_time for outcome in without_prediction)
    assert in_time > baseline


def test_no_job_is_refused_while_capacity_is_free() -> None:
    """Guards against refusals of jobs that could be completed in time."""
    fleet = Fleet(3)
    requests = []
    for number in range(60):
        job = job_of(f'j{number}', tasks=2, estimate_ms=ESTIMATE_MS)
        requests.append(fleet.submit(number % 2, job))
        fleet.run(0.1)
    fleet.run(2)
    verdicts = {fleet.answers[request].verdict for request in requests}
    assert verdicts == {answers.COMPLETED}


def test_a_wide_job_that_fits_now_is_accepted() -> None:
    """Guards against refusals of jobs that fit into the free resources."""
    fleet = Fleet(4)
    fleet.calls.durations_s = DURATIONS_S
    wide = fleet.submit(0, job_of('wide', tasks=10, estimate_ms=ESTIMATE_MS))
    fleet.run(1)
    assert fleet.answers[wide].verdict == answers.COMPLETED


def test_a_job_that_cannot_start_is_refused_early() -> None:
    """Guards against refusals too late for the caller to go elsewhere.

    Jobs without a started task used to be refused at their latest start time,
    after up to half of their objective.
    """
    fleet = Fleet(5, entries=1, agents=1)
    fleet.calls.durations_s = (2, 2)
    fleet.submit(0, job_of('long', tasks=4, estimate_ms=50))
    fleet.run(0.1)
    refused_request = fleet.submit(0, job_of('one', estimate_ms=ESTIMATE_MS))
    sent_at = fleet.clock.now
    fleet.run(1)
    assert fleet.answers[refused_request].verdict == answers.OVERLOADED
    waiting_s = fleet.answered_at[refused_request] - sent_at
    assert waiting_s <= OBJECTIVE_S / 4 + TICK_S


def test_a_refusal_tells_what_the_entry_knew_of_its_executors() -> None:
    """Guard against refusals that could be due to a full fleet or to few links.

    The clients of one zone were refused while most executors stood free, and
    no line said what their entry saw.
    """
    driver = EntryDriver(2, NO_CPU)
    driver.state.started_at = driver.now - 10
    driver.submit('j1')
    effects = driver.submit('j2', tasks=400)
    lines = [effect for effect in effects if isinstance(effect, Log)]
    fields = dict(lines[0].fields)
    assert lines[0].name == 'job-refused'
    assert fields['agents'] == '2'
    assert fields['free_cpu'] == '0'
    assert fields['share_cpu'] == '16000'
    assert fields['queued'] == '1'
