"""Replay more load than the executors can take."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from fakes.fleet import QUEUE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers

ESTIMATE_MS = 250
OBJECTIVE_S = (QUEUE.stretch * ESTIMATE_MS + QUEUE.target_ms) / 1000
# Twelve tasks of about 0.25 s fit at a time: 48 a second.
JOBS_PER_S = 30
DURATIONS_S = (0.2, 0.27)
JOBS = 180
# What the executors could do at most while the jobs come.
MOST_JOBS = 12 / 0.235 / 3 * JOBS / JOBS_PER_S
LEAST_SHARE = 0.7
TICK_S = 0.05


class Outcome(NamedTuple):
    """Count what became of the jobs."""

    in_time: int
    late: int
    refused: int
    longest_refusal_s: float


def _replay(seed: int) -> Outcome:
    fleet = Fleet(seed)
    fleet.calls.durations_s = DURATIONS_S
    sent: dict[int, float] = {}
    for number in range(JOBS):
        job = job_of(f'j{number}', tasks=3, estimate_ms=ESTIMATE_MS)
        sent[fleet.submit(number % 2, job)] = fleet.clock.now
        fleet.run(1 / JOBS_PER_S)
    fleet.run(5)
    waited_s: dict[bool, list[float]] = {True: [], False: []}
    for request, sent_at in sent.items():
        is_served = fleet.answers[request].verdict == answers.COMPLETED
        elapsed_s = fleet.answered_at[request] - sent_at
        waited_s[is_served].append(elapsed_s)
    in_time = sum(1 for one in waited_s[True] if one <= OBJECTIVE_S)
    return Outcome(
        in_time,
        len(waited_s[True]) - in_time,
        len(waited_s[False]),
        max(waited_s[False], default=0),
    )


def test_in_an_overload_most_of_what_is_taken_is_in_time() -> None:
    """Guards against queues in which every job becomes late."""
    outcome = _replay(1)
    assert outcome.in_time > 4 * outcome.late
    assert outcome.in_time >= LEAST_SHARE * MOST_JOBS


def test_refusals_do_not_wait_until_the_objective_has_passed() -> None:
    """Guards against callers that wait for a refusal."""
    outcome = _replay(2)
    slack_s = OBJECTIVE_S - ESTIMATE_MS / 1000
    assert outcome.refused
    assert outcome.longest_refusal_s <= slack_s + TICK_S


def test_without_the_prediction_more_jobs_are_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows what the prediction of waiting is for."""
    predicted = [_replay(seed) for seed in range(3)]
    monkeypatch.setattr(admission, 'predicted_wait_s', lambda *_: 0)
    unpredicted = [_replay(seed) for seed in range(3)]
    gained = sum(one.in_time for one in predicted)
    lost = sum(one.in_time for one in unpredicted)
    assert gained > lost


def test_with_room_to_spare_nothing_is_refused() -> None:
    """Guards against refusals of what could be served."""
    fleet = Fleet(3)
    requests = []
    for number in range(60):
        job = job_of(f'j{number}', tasks=2, estimate_ms=ESTIMATE_MS)
        requests.append(fleet.submit(number % 2, job))
        fleet.run(0.1)
    fleet.run(2)
    verdicts = {fleet.answers[one].verdict for one in requests}
    assert verdicts == {answers.COMPLETED}


def test_a_wide_job_that_fits_now_is_taken() -> None:
    """Guards against refusals of large jobs while there is room for them."""
    fleet = Fleet(4)
    fleet.calls.durations_s = DURATIONS_S
    wide = fleet.submit(0, job_of('wide', tasks=10, estimate_ms=ESTIMATE_MS))
    fleet.run(1)
    assert fleet.answers[wide].verdict == answers.COMPLETED


def test_a_job_that_finds_no_room_is_refused_early() -> None:
    """Guards against callers that are held up to the last moment.

    Seen on kpf-cutdesk trouble-1: refusals after half of the objective.
    """
    fleet = Fleet(5, entries=1, agents=1)
    fleet.calls.durations_s = (2, 2)
    fleet.submit(0, job_of('long', tasks=4, estimate_ms=50))
    fleet.run(0.1)
    refused = fleet.submit(0, job_of('one', estimate_ms=ESTIMATE_MS))
    sent_at = fleet.clock.now
    fleet.run(1)
    assert fleet.answers[refused].verdict == answers.OVERLOADED
    held_s = fleet.answered_at[refused] - sent_at
    assert held_s <= OBJECTIVE_S / 4 + TICK_S
