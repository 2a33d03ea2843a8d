"""Score a replayed day by the worth of the jobs answered in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple
from typing import TypeVar

KeyT = TypeVar('KeyT')

# A late answer earns this share up to three times the objective.
_LATE_SHARE: Final = 0.2
_LATE_FACTOR: Final = 3
_WINDOW_S: Final = 2
_WORST_WINDOWS: Final = 2
# Weights of the whole day, the worst windows and the worst kind of job.
_WEIGHTS: Final = (0.7, 0.15, 0.15)


class Result(NamedTuple):
    """Hold the result of a job; `took_s` is None if it was not completed."""

    kind: str
    sent_s: float
    worth: float
    objective_s: float
    took_s: float | None

    @property
    def share(self) -> float:
        """Return the earned share of the worth."""
        if self.took_s is None:
            return 0
        if self.took_s <= self.objective_s:
            return 1
        is_useful = self.took_s <= _LATE_FACTOR * self.objective_s
        return _LATE_SHARE if is_useful else 0


class Outcome(NamedTuple):
    """Hold earned shares of the worth; `late`, `refused`: shares of jobs."""

    worth: float
    day: float
    windows: float
    kinds: dict[str, float]
    late: float
    refused: float


def score_day(results: Iterable[Result]) -> Outcome:
    """Return the outcome of a day."""
    all_results = tuple(results)
    kinds = _earned_shares(all_results, [result.kind for result in all_results])
    day = _earned_shares(all_results, ['day' for _ in all_results])['day']
    windows = sorted(
        _earned_shares(
            all_results,
            [int(result.sent_s / _WINDOW_S) for result in all_results],
        ).values(),
    )
    worst = sum(windows[:_WORST_WINDOWS]) / _WORST_WINDOWS
    parts = (day, worst, min(kinds.values()))
    return Outcome(
        sum(weight * part for weight, part in zip(_WEIGHTS, parts)),
        day,
        worst,
        kinds,
        sum(0 < result.share < 1 for result in all_results) / len(all_results),
        sum(not result.share for result in all_results) / len(all_results),
    )


def _earned_shares(
    results: tuple[Result, ...],
    keys: list[KeyT],
) -> dict[KeyT, float]:
    owed: defaultdict[KeyT, float] = defaultdict(float)
    earned: defaultdict[KeyT, float] = defaultdict(float)
    for key, result in zip(keys, results):
        owed[key] += result.worth
        earned[key] += result.worth * result.share
    return {
        group: earned[group] / owed_worth for group, owed_worth in owed.items()
    }
