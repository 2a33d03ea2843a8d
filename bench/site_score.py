"""Judge a replayed day by what its callers were owed and got."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple
from typing import TypeVar

KeyT = TypeVar('KeyT')

# A late answer earns this share until the objective has passed three times.
_LATE_SHARE: Final = 0.2
_LATE_FACTOR: Final = 3
_WINDOW_S: Final = 2
_WORST_WINDOWS: Final = 2
# Weights of the whole day, the worst windows and the worst kind of job.
_WEIGHTS: Final = (0.7, 0.15, 0.15)


class Result(NamedTuple):
    """Hold what became of one job; `took_s` is None if it was not served."""

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
    """Hold shares earned of what was owed, and shares of the jobs."""

    worth: float
    day: float
    windows: float
    kinds: dict[str, float]
    late: float
    refused: float


def judge(results: Iterable[Result]) -> Outcome:
    """Return the outcome of a day."""
    found = tuple(results)
    kinds = _shares_by(found, [one.kind for one in found])
    day = _shares_by(found, ['day' for _ in found])['day']
    windows = sorted(
        _shares_by(
            found, [int(one.sent_s / _WINDOW_S) for one in found]
        ).values(),
    )
    worst = sum(windows[:_WORST_WINDOWS]) / _WORST_WINDOWS
    parts = (day, worst, min(kinds.values()))
    return Outcome(
        sum(weight * part for weight, part in zip(_WEIGHTS, parts)),
        day,
        worst,
        kinds,
        sum(0 < one.share < 1 for one in found) / len(found),
        sum(not one.share for one in found) / len(found),
    )


def _shares_by(
    results: tuple[Result, ...],
    keys: list[KeyT],
) -> dict[KeyT, float]:
    owed: defaultdict[KeyT, float] = defaultdict(float)
    earned: defaultdict[KeyT, float] = defaultdict(float)
    for key, one in zip(keys, results):
        owed[key] += one.worth
        earned[key] += one.worth * one.share
    return {found: earned[found] / due for found, due in owed.items()}
