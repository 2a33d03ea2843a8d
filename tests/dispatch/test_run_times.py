"""Test the estimates of how long the tasks of a queue really take."""

from __future__ import annotations

import math
import random
from itertools import repeat
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.dispatch.run_times import UNCALIBRATED
from savoryrudder.dispatch.run_times import RunObservation
from savoryrudder.dispatch.run_times import RunTimes
from savoryrudder.protocol.run_times import QueueRunTimes
from savoryrudder.utils.ratio_estimate import Memory
from savoryrudder.utils.ratio_estimate import RatioEstimate

if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE = 'plans'
INTERVAL_S = 0.1
NOISE = 0.2
SPEED_MEMORY = Memory(24, 5)


def _observe(
    run_times: RunTimes,
    ratios: list[float],
    now: float = 0,
    *,
    rerun: bool = False,
) -> float:
    for ratio in ratios:
        now += INTERVAL_S
        run_times.observe(QUEUE, RunObservation(ratio, rerun), now)
    return now


def _noisy(seed: int, ratio: float, runs: int) -> list[float]:
    rng = random.Random(seed)
    return [ratio * rng.uniform(1 - NOISE, 1 + NOISE) for _ in range(runs)]


def _repeat(ratio: float, runs: int) -> list[float]:
    return list(repeat(ratio, runs))


def _with_tail(seed: int, runs: int) -> list[float]:
    rng = random.Random(seed)
    return [1 if rng.randrange(25) else 7 for _ in range(runs)]


@given(seed=st.integers(0, 2**32), ratio=st.floats(0.5, 2))
def test_a_wrong_estimate_is_corrected_within_some_tens_of_runs(
    seed: int,
    ratio: float,
) -> None:
    """Guard against objectives and waits that are off by the estimate."""
    run_times = RunTimes()
    _observe(run_times, _noisy(seed, ratio, 40))
    assert run_times.calibration_of(QUEUE).ratio == pytest.approx(ratio, 0.15)


@pytest.mark.parametrize('ratio', [0.5, 2])
def test_a_few_runs_say_little(ratio: float) -> None:
    """Guard against a queue whose first run decides its objectives."""
    run_times = RunTimes()
    _observe(run_times, [ratio])
    corrected = run_times.calibration_of(QUEUE).ratio
    assert abs(math.log(corrected)) < abs(math.log(ratio)) / 4


@pytest.mark.parametrize('seed', range(5))
def test_a_tail_counts_in_the_mean_and_not_as_typical(seed: int) -> None:
    """Guard against a few long runs that lengthen every objective."""
    run_times = RunTimes()
    _observe(run_times, _with_tail(seed, 300))
    calibration = run_times.calibration_of(QUEUE)
    assert calibration.ratio == pytest.approx(1, abs=0.12)
    mean = calibration.ratio * calibration.mean_excess
    assert mean == pytest.approx(1.24, 0.15)


def test_a_change_of_the_work_is_followed() -> None:
    """Guard against observations that are never forgotten."""
    run_times = RunTimes()
    now = _observe(run_times, _repeat(1, 1000))
    _observe(run_times, _repeat(2, 1000), now)
    assert run_times.calibration_of(QUEUE).ratio == pytest.approx(2, 0.1)


def test_the_same_observations_told_twice_count_once() -> None:
    """Guard against a rumour that outweighs what entries see themselves."""
    teller = RunTimes()
    now = _observe(teller, _repeat(2, 20))
    listener = RunTimes()
    _observe(listener, _repeat(1, 20))
    listener.learn('e1', teller.own_rows(now), now)
    once = listener.calibration_of(QUEUE)
    listener.learn('e1', teller.own_rows(now), now)
    assert listener.calibration_of(QUEUE) == once
    assert teller.own_rows(now) and len(listener.own_rows(now)) == 1
    assert listener.own_rows(now)[0].ratio == 1
    assert once.ratio == pytest.approx(math.sqrt(2), 0.1)


def test_observations_of_a_slow_zone_are_outweighed_after_its_recovery() -> (
    None
):
    """Guard against an entry whose slow executors mislead the others for long.

    Nothing tells a new queue from slow executors at first. After the recovery,
    there are ten times as many runs.
    """
    slow_zone = RunTimes()
    other = RunTimes()
    now = _observe(slow_zone, _repeat(2, 40))
    _observe(other, _repeat(1, 40))
    other.learn('slow', slow_zone.own_rows(now), now)
    assert other.calibration_of(QUEUE).ratio == pytest.approx(math.sqrt(2), 0.1)
    now = _observe(slow_zone, _repeat(1, 400), now)
    other.learn('slow', slow_zone.own_rows(now), now)
    for entry in (slow_zone, other):
        assert entry.calibration_of(QUEUE).ratio == pytest.approx(1, abs=0.15)


def test_the_kind_of_work_is_told_apart_from_the_speed_of_an_executor() -> None:
    """Guard against a slow executor that is taken for hard work, or for none.

    The executor runs only one kind of work, which others run as well; agents
    take the corrected estimate for the duration.
    """
    rng = random.Random(1)
    kinds = {'hard': 2.0, 'easy': 0.5}
    slownesses = (1.6, 1.0, 1.0, 1.0)
    speeds = [RatioEstimate() for _ in slownesses]
    run_times = RunTimes()
    for number in range(400):
        executor = number % len(slownesses)
        kind = 'hard' if executor == 0 else rng.choice(tuple(kinds))
        now = number * INTERVAL_S / 4
        duration = kinds[kind] * slownesses[executor] * rng.uniform(0.8, 1.2)
        known_speed = speeds[executor].ratio_at(now, SPEED_MEMORY)
        corrected = run_times.calibration_of(kind).ratio
        speeds[executor].observe(duration / corrected, now, SPEED_MEMORY)
        observation = RunObservation(duration / known_speed, rerun=False)
        run_times.observe(kind, observation, now)
    for kind, ratio in kinds.items():
        assert run_times.calibration_of(kind).ratio == pytest.approx(ratio, 0.2)
    for speed, slowness in zip(speeds, slownesses, strict=True):
        assert speed.ratio == pytest.approx(slowness, 0.25)


@pytest.mark.parametrize(
    ('reruns', 'stays_slow'),
    [(_repeat(7.0, 4), True), (_repeat(1.0, 4), False), ([7.0], False)],
)
def test_tasks_stay_slow_if_they_were_slow_again_elsewhere(
    reruns: list[float],
    *,
    stays_slow: bool,
) -> None:
    """Guard against moves that only repeat the work of a long task."""
    run_times = RunTimes()
    now = _observe(run_times, _repeat(1.0, 50))
    _observe(run_times, reruns, now, rerun=True)
    assert run_times.calibration_of(QUEUE).stay_slow is stays_slow


@pytest.mark.parametrize(
    'damage',
    [
        lambda row: row._replace(ratio=math.nan),
        lambda row: row._replace(ratio=math.inf),
        lambda row: row._replace(ratio=-1),
        lambda row: row._replace(observations=1e300),
        lambda row: row._replace(mean_excess=-5, reruns=-1),
    ],
)
def test_odd_rows_of_another_entry_keep_calibrations_in_bounds(
    damage: Callable[[QueueRunTimes], QueueRunTimes],
) -> None:
    """Guard against a damaged message that spoils every later decision."""
    run_times = RunTimes()
    now = _observe(run_times, _repeat(1, 20))
    run_times.learn('e1', [damage(run_times.own_rows(now)[0])], now)
    _observe(run_times, _repeat(1, 5), now)
    calibration = run_times.calibration_of(QUEUE)
    assert 1 / 8 <= calibration.ratio <= 8
    assert 0 <= calibration.mean_excess <= 20


def test_what_is_told_is_bounded_and_ends_without_news() -> None:
    """Guard against messages that grow with the queues or never cease."""
    run_times = RunTimes()
    for number in range(300):
        run_times.observe(str(number), RunObservation(2, rerun=False), 1)
    told = [run_times.rows_to_tell(1, 64) for _ in range(6)]
    assert max(len(rows) for rows in told) == 64
    assert sum(len(rows) for rows in told) == 300
    assert not told[-1]
    assert not run_times.rows_to_tell(100, 64)


def test_queues_without_runs_are_forgotten() -> None:
    """Guard against state that grows with the queues that ever existed."""
    run_times = RunTimes()
    now = _observe(run_times, _repeat(2, 1000))
    run_times.forget_old(now)
    assert run_times.calibration_of(QUEUE) != UNCALIBRATED
    run_times.forget_old(now + 600)
    assert run_times.calibration_of(QUEUE) == UNCALIBRATED
    assert not run_times.own_rows(now + 600)
