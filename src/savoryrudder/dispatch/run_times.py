"""Estimate how long the tasks of each queue really take.

Callers' estimates are off by a factor that differs by queue. What other entries
have observed counts beside the own observations, by its weight; each entry
tells its own ones only, so none counts twice.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.protocol.run_times import QueueRunTimes
from savoryrudder.utils.ratio_estimate import PRIOR_WEIGHT
from savoryrudder.utils.ratio_estimate import Memory
from savoryrudder.utils.ratio_estimate import RatioEstimate

if TYPE_CHECKING:
    from collections.abc import Iterable

# The kind of work changes rarely, executors often: longer than the memory that
# agents have of the speed of their executors.
_MEMORY: Final = Memory(max_observations=500, decay_s=30)
_MAX_RATIO: Final = 8
# A run is slow if it takes this many times as long as a typical one.
SLOW_FACTOR: Final = 3
# No run counts as more than this many typical ones in the mean.
_MAX_EXCESS: Final = 20
_MIN_RERUNS: Final = 3
# Observations of a queue are told again after a change of the ratio by this
# share, once their number has doubled, or after this time.
_TOLD_CHANGE: Final = 0.05
_TOLD_GROWTH: Final = 2
_RETELL_S: Final = 10
_LOGGED_CHANGE: Final = 0.1
# Observations of less weight are forgotten.
_MIN_WEIGHT: Final = 0.1
_OWN: Final = ''


class RunObservation(NamedTuple):
    """Hold a completed run.

    `ratio` is the duration over the estimate on an executor of normal speed. A
    `rerun` followed a slow run of the task at another executor.
    """

    ratio: float
    rerun: bool


class Calibration(NamedTuple):
    """Hold how the durations of a queue's tasks relate to their estimates.

    `ratio` is that of typical runs, and `mean_excess` the mean duration over
    the typical one. Tasks that `stay_slow` are slow at any executor.
    """

    ratio: float = 1
    mean_excess: float = 1
    stay_slow: bool = False


UNCALIBRATED: Final = Calibration()


class RatioChange(NamedTuple):
    """Hold a notable change of a queue's ratio."""

    former: float
    current: float
    observations: float


@dataclass(slots=True)
class _Observations:
    """Sum up the runs that one entry has seen."""

    ratio: RatioEstimate = field(default_factory=RatioEstimate)
    mean_excess: float = 1
    reruns: float = 0
    slow_reruns: float = 0


@dataclass(slots=True)
class _QueueState:
    """Hold the observations of a queue by entry, and what follows."""

    by_entry: dict[str, _Observations] = field(default_factory=dict)
    calibration: Calibration = UNCALIBRATED
    logged_ratio: float = 1
    told: QueueRunTimes | None = None
    told_at: float = 0


class RunTimes:
    """Keep the observed run times of all queues that have any."""

    def __init__(self) -> None:
        """Start without observations."""
        self._queues: dict[str, _QueueState] = {}

    def calibration_of(self, queue: str) -> Calibration:
        """Return how to correct the estimates of a queue's tasks."""
        state = self._queues.get(queue)
        return state.calibration if state else UNCALIBRATED

    def observe(
        self,
        queue: str,
        observation: RunObservation,
        now: float,
    ) -> None:
        """Add a run that this entry has seen."""
        state = self._queues.setdefault(queue, _QueueState())
        own = state.by_entry.setdefault(_OWN, _Observations())
        own.ratio.observe(observation.ratio, now, _MEMORY)
        excess = observation.ratio / own.ratio.ratio
        difference = min(excess, _MAX_EXCESS) - own.mean_excess
        own.mean_excess += difference / (own.ratio.weight + PRIOR_WEIGHT)
        if observation.rerun:
            _count_rerun(own, is_slow=excess >= SLOW_FACTOR)
        state.calibration = _combine(state.by_entry.values(), now)

    def learn(
        self,
        entry: str,
        rows: Iterable[QueueRunTimes],
        now: float,
    ) -> None:
        """Replace what another entry has observed of some queues."""
        for row in rows:
            if not all(map(math.isfinite, row[1:])):
                continue
            state = self._queues.setdefault(row.queue, _QueueState())
            state.by_entry[entry] = _parse(row, now)
            state.calibration = _combine(state.by_entry.values(), now)

    def own_rows(self, now: float) -> list[QueueRunTimes]:
        """Return what this entry has observed of all queues."""
        return [
            _describe(queue, state.by_entry[_OWN], now)
            for queue, state in self._queues.items()
            if _OWN in state.by_entry
        ]

    def rows_to_tell(self, now: float, limit: int) -> list[QueueRunTimes]:
        """Return own observations that are new, and take them as told."""
        rows: list[QueueRunTimes] = []
        for row in self.own_rows(now):
            if len(rows) == limit:
                break
            state = self._queues[row.queue]
            if _is_news(state, row, now):
                state.told = row
                state.told_at = now
                rows.append(row)
        return rows

    def take_change(self, queue: str, now: float) -> RatioChange | None:
        """Return the change of a ratio since the last notable one."""
        state = self._queues.get(queue)
        if state is None:
            return None
        former = state.logged_ratio
        current = state.calibration.ratio
        if abs(current - former) < _LOGGED_CHANGE * former:
            return None
        state.logged_ratio = current
        observations = sum(
            observed.ratio.weight_at(now, _MEMORY)
            for observed in state.by_entry.values()
        )
        return RatioChange(former, current, observations)

    def forget_old(self, now: float) -> None:
        """Remove observations whose weight has decayed."""
        for queue, state in tuple(self._queues.items()):
            state.by_entry = {
                entry: observed
                for entry, observed in state.by_entry.items()
                if observed.ratio.weight_at(now, _MEMORY) >= _MIN_WEIGHT
            }
            if not state.by_entry:
                self._queues.pop(queue)


def _count_rerun(own: _Observations, *, is_slow: bool) -> None:
    # Each one counts less the more came after it.
    keep = 1 - 1 / _MEMORY.max_observations
    own.reruns = own.reruns * keep + 1
    own.slow_reruns = own.slow_reruns * keep + is_slow


def _combine(
    observations: Iterable[_Observations],
    now: float,
) -> Calibration:
    total_weight: float = PRIOR_WEIGHT
    log_sum: float = 0
    excess_sum: float = PRIOR_WEIGHT
    reruns: float = 0
    slow_reruns: float = 0
    for observed in observations:
        weight = observed.ratio.weight_at(now, _MEMORY)
        total_weight += weight
        log_sum += weight * math.log(observed.ratio.ratio)
        excess_sum += weight * observed.mean_excess
        reruns += observed.reruns
        slow_reruns += observed.slow_reruns
    return Calibration(
        _limit_ratio(math.exp(log_sum / total_weight)),
        excess_sum / total_weight,
        reruns >= _MIN_RERUNS and 2 * slow_reruns > reruns,
    )


def _limit_ratio(ratio: float) -> float:
    return min(max(ratio, 1 / _MAX_RATIO), _MAX_RATIO)


def _parse(row: QueueRunTimes, now: float) -> _Observations:
    weight = min(max(row.observations, 0), _MEMORY.max_observations)
    return _Observations(
        RatioEstimate(_limit_ratio(row.ratio), weight, now),
        min(max(row.mean_excess, 0), _MAX_EXCESS),
        max(row.reruns, 0),
        max(row.slow_reruns, 0),
    )


def _describe(queue: str, own: _Observations, now: float) -> QueueRunTimes:
    return QueueRunTimes(
        queue,
        round(own.ratio.weight_at(now, _MEMORY), 1),
        round(own.ratio.ratio, 3),
        round(own.mean_excess, 3),
        round(own.reruns, 1),
        round(own.slow_reruns, 1),
    )


def _is_news(state: _QueueState, row: QueueRunTimes, now: float) -> bool:
    told = state.told
    if told is None:
        return True
    if abs(row.ratio - told.ratio) >= _TOLD_CHANGE * told.ratio:
        return True
    if row.observations >= _TOLD_GROWTH * told.observations:
        return True
    if row.reruns >= _TOLD_GROWTH * max(told.reruns, 1):
        return True
    is_updated = state.by_entry[_OWN].ratio.updated_at > state.told_at
    return is_updated and now - state.told_at >= _RETELL_S
