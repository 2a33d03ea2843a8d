"""Check that busy entries use what idle ones leave, in an in-memory fleet.

One of four entries gets half of the jobs, and the load of each swings by half,
out of phase with the others.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from fakes.fleet import CAPACITY
from fakes.fleet import QUEUE
from fakes.fleet import SERVICE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import drain_rate
from savoryrudder.worker import shares

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savoryrudder.dispatch.state import DispatchState

ESTIMATE_MS = 250
OBJECTIVE_S = (QUEUE.stretch * ESTIMATE_MS + QUEUE.target_ms) / 1000
DURATIONS_S = (0.2, 0.27)
AGENTS = 6
# The executors can work off about 48 jobs of 2 tasks a second.
JOBS_PER_S = 40
LOADS = (0.5, 0.17, 0.17, 0.16)
BUSY = 0
WAVE_S = 13
WAVE = 0.5
STEP_S = 0.02
SEEDS = range(6)
MAX_LATE_SHARE = 0.01
FLEET_CPU = AGENTS * CAPACITY.cpu
# Small changes of shares are told with the next report only.
MAX_UNTOLD_SHARE = 0.1
SETTLING_S = 3
DOWN_S = 20


class Outcome(NamedTuple):
    """Count the jobs of some replays by their result."""

    busy_refused: int
    refused: int
    late: int
    jobs: int


def _arrives(rng: random.Random, entry: int, elapsed_s: float) -> bool:
    phase = elapsed_s / WAVE_S + entry / len(LOADS)
    factor = 1 + WAVE * math.sin(2 * math.pi * phase)
    return rng.random() < JOBS_PER_S * LOADS[entry] * factor * STEP_S


def _replay(seed: int) -> Outcome:
    fleet = Fleet(seed, len(LOADS), AGENTS)
    fleet.calls.durations_s = DURATIONS_S
    for entry in fleet.entries:
        entry.busy_share = 0.1
    rng = random.Random(seed)
    sent: dict[int, tuple[int, float]] = {}
    for step in range(int(WAVE_S / STEP_S)):
        for entry, _ in enumerate(LOADS):
            if _arrives(rng, entry, step * STEP_S):
                job = job_of(f'j{step}-{entry}', estimate_ms=ESTIMATE_MS)
                sent[fleet.submit(entry, job)] = (entry, fleet.clock.now)
        fleet.run(STEP_S)
    fleet.run(3)
    return _count(fleet, sent)


def _count(fleet: Fleet, sent: Mapping[int, tuple[int, float]]) -> Outcome:
    refused = [
        entry
        for request, (entry, _) in sent.items()
        if fleet.answers[request].verdict == answers.OVERLOADED
    ]
    late = sum(
        fleet.answers[request].verdict == answers.COMPLETED
        and fleet.answered_at[request] > sent_at + OBJECTIVE_S
        for request, (_, sent_at) in sent.items()
    )
    return Outcome(refused.count(BUSY), len(refused), late, len(sent))


def _replay_all() -> Outcome:
    return Outcome(*map(sum, zip(*map(_replay, SEEDS), strict=True)))


def _share_equally(
    capacity_cpu: int,
    recent_work: Mapping[str, float],
) -> dict[str, int]:
    return dict.fromkeys(recent_work, capacity_cpu // max(len(recent_work), 1))


def _expect_share(state: DispatchState, service: str, _: float) -> float:
    return state.capacity.share_cpu(service)


def test_a_busy_entry_refuses_less_with_shares_by_need(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against refusals while the shares of other entries are idle.

    Fewer refusals must not be paid for with jobs that are accepted and late.
    """
    by_need = _replay_all()
    monkeypatch.setattr(shares, 'share_by_need', _share_equally)
    monkeypatch.setattr(drain_rate, 'expected_cpu', _expect_share)
    equally = _replay_all()
    assert by_need.jobs == equally.jobs
    assert by_need.busy_refused < equally.busy_refused
    assert by_need.refused <= equally.refused
    assert by_need.late <= max(equally.late, MAX_LATE_SHARE * by_need.jobs)


def test_hand_overs_among_entries_out_of_phase_lose_no_caller() -> None:
    """Guard against a job that goes back and forth without an answer."""
    fleet = Fleet(1, len(LOADS), AGENTS)
    for entry in fleet.entries:
        entry.busy_share = 0.1
    fleet.run(1)
    requests = [
        fleet.submit(number % 2, job_of(f'j{number}', tasks=4))
        for number in range(60)
    ]
    fleet.run(5)
    verdicts = {fleet.answers[request].verdict for request in requests}
    assert verdicts == {answers.COMPLETED, answers.OVERLOADED}
    assert any(line.name == 'job-delegated' for _, _, line in fleet.log)
    for entry in fleet.entries:
        assert not entry.state.delegations
        assert not entry.state.foreign_requests


def _shares_of(fleet: Fleet) -> list[int]:
    return [
        entry.state.capacity.share_cpu(SERVICE)
        for entry in fleet.entries
        if entry.alive
    ]


def _loaded_fleet() -> Fleet:
    fleet = Fleet(2, len(LOADS), AGENTS)
    for number in range(60):
        fleet.submit(BUSY, job_of(f'j{number}'))
        fleet.run(STEP_S)
    return fleet


def _all_is_shared(fleet: Fleet, total_cpu: int) -> bool:
    difference = abs(sum(_shares_of(fleet)) - total_cpu)
    return difference <= MAX_UNTOLD_SHARE * total_cpu


def test_all_entries_together_count_on_no_more_than_the_fleet() -> None:
    """Guard against room that several entries promise to their callers."""
    fleet = _loaded_fleet()
    busy_cpu, *idle_cpu = _shares_of(fleet)
    assert busy_cpu > max(idle_cpu)
    assert min(idle_cpu)
    fleet.run(SETTLING_S)
    assert _all_is_shared(fleet, FLEET_CPU)
    assert max(_shares_of(fleet)) < busy_cpu


def test_the_others_share_what_a_lost_entry_had() -> None:
    """Guard against executors that are kept for an entry that is gone."""
    fleet = _loaded_fleet()
    fleet.kill_entry(BUSY, DOWN_S)
    fleet.run(SETTLING_S)
    assert _all_is_shared(fleet, FLEET_CPU)


def test_a_lost_agent_is_in_no_share() -> None:
    """Guard against jobs that are accepted for an executor out of reach."""
    fleet = _loaded_fleet()
    fleet.kill_agent(0, DOWN_S)
    fleet.run(SETTLING_S)
    assert _all_is_shared(fleet, FLEET_CPU - CAPACITY.cpu)


def test_a_restarted_entry_begins_with_a_part_of_the_executors() -> None:
    """Guard against an entry that refuses its callers after a restart."""
    fleet = _loaded_fleet()
    fleet.kill_entry(BUSY + 1, 1)
    for number in range(100):
        fleet.submit(BUSY, job_of(f'k{number}'))
        fleet.run(STEP_S)
    shares_cpu = _shares_of(fleet)
    assert len(shares_cpu) == len(LOADS)
    assert shares_cpu[BUSY + 1] > FLEET_CPU / len(LOADS) / 5
