"""Check which jobs are turned away while there is too little room."""

from __future__ import annotations

from functools import cache
from statistics import median
from types import MappingProxyType
from typing import TYPE_CHECKING

import overload_replay as replays
import pytest

from savoryrudder.dispatch import overload
from savoryrudder.dispatch.refusal_shares import RefusalShares

if TYPE_CHECKING:
    from collections.abc import Sequence

SEEDS = (1, 2)
# A kind is served at least half as often as all jobs, and the largest tenth of
# a kind at least half as often as the kind.
MIN_RELATIVE_SHARE = 0.5
TICK_S = 0.05
# Jobs that do not start are refused after this share of their objective.
MAX_UNSTARTED_SHARE = 0.25
MEDIAN_REFUSAL_S = 0.005
FLOOD = 'flood'
FLOOD_AND_LOSS = 'flood-and-loss'
URGENT_FLOOD = 'urgent-flood'
BACKGROUND_FLOOD = 'background-flood'
LARGE_JOBS = 'large-jobs'
LOADS = MappingProxyType(
    {
        FLOOD: replays.Burst(replays.KINDS, 2.5),
        FLOOD_AND_LOSS: replays.Burst(replays.KINDS, 2, lost_agents=2),
        URGENT_FLOOD: replays.Burst((replays.CHECKS,), 6),
        BACKGROUND_FLOOD: replays.Burst((replays.PLANS,), 6),
        LARGE_JOBS: replays.Burst((replays.PLANS,), 1.5, 3),
    },
)
KIND_NAMES = tuple(kind.queue.name for kind in replays.KINDS)


@cache
def _replay(load: str) -> Sequence[replays.Sample]:
    return [
        sample for seed in SEEDS for sample in replays.replay(seed, LOADS[load])
    ]


@cache
def _replay_without(load: str) -> Sequence[replays.Sample]:
    """Replay with refusals on arrival only, by the predicted wait alone."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(overload, 'make_room', lambda *_: False)
        patch.setattr(overload, '_turn_away_waiting', lambda *_: None)
        patch.setattr(RefusalShares, 'gives_way', lambda *_: False)
        patch.setattr(RefusalShares, 'is_guarded', lambda *_: False)
        return _replay.__wrapped__(load)


@pytest.mark.parametrize('load', [FLOOD, FLOOD_AND_LOSS, URGENT_FLOOD])
def test_more_of_the_urgent_work_is_done_in_time(load: str) -> None:
    """Guard against refusals that fall on urgent jobs like on any other.

    Urgent jobs can wait less, so they were refused more often than the others.
    """
    weight = replays.weight_in_time(_replay(load))
    assert weight > replays.weight_in_time(_replay_without(load))


def test_urgent_jobs_do_not_pay_for_a_flood_of_others() -> None:
    """Guard against a flood of the least urgent jobs that delays the others."""
    urgent = replays.of_kind(_replay(BACKGROUND_FLOOD), replays.CHECKS)
    before = replays.of_kind(_replay_without(BACKGROUND_FLOOD), replays.CHECKS)
    assert replays.served_share(urgent) >= replays.served_share(before)


@pytest.mark.parametrize('load', LOADS)
@pytest.mark.parametrize('kind', replays.KINDS, ids=KIND_NAMES)
def test_no_kind_is_starved(load: str, kind: replays.Kind) -> None:
    """Guard against an order by priority that leaves nothing to the others."""
    samples = _replay(load)
    share = replays.served_share(replays.of_kind(samples, kind))
    assert share >= MIN_RELATIVE_SHARE * replays.served_share(samples)


@pytest.mark.parametrize('load', LOADS)
@pytest.mark.parametrize('kind', replays.KINDS, ids=KIND_NAMES)
def test_the_largest_jobs_are_not_starved(
    load: str,
    kind: replays.Kind,
) -> None:
    """Guard against refusals that pick the largest jobs of each kind."""
    samples = replays.of_kind(_replay(load), kind)
    share = replays.served_share(replays.largest_tenth(samples))
    assert share >= MIN_RELATIVE_SHARE * replays.served_share(samples)


@pytest.mark.parametrize('load', LOADS)
def test_refusals_come_early(load: str) -> None:
    """Guard against jobs that wait for long and are turned away then."""
    for sample in _replay(load):
        limit_s = MAX_UNSTARTED_SHARE * sample.objective_s + TICK_S
        assert not sample.refused or sample.elapsed_s <= limit_s


@pytest.mark.parametrize('load', LOADS)
def test_most_refusals_come_at_once(load: str) -> None:
    """Guard against a queue in which jobs wait for their refusal."""
    delays_s = [sample.elapsed_s for sample in _replay(load) if sample.refused]
    assert median(delays_s) <= MEDIAN_REFUSAL_S
