"""Share the processors of an executor among the entries that need them.

Callers are spread unevenly over entries, so an equal share is too little for
some entries while it lies idle at others. Only the agent sees the starts of all
of them. It tells each entry how much of the executor this one may count on.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp2
from statistics import fmean
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

# Time after which a start counts half as much.
_HALF_LIFE_S: Final = 0.5
# This part of the capacity is shared equally. An idle entry keeps some of it
# for a burst, and without any need all shares are equal.
_EQUAL_PART: Final = 1 / 3


@dataclass(slots=True)
class RecentWork:
    """Add up the work that was started for an entry, less the older it is.

    `millicore_s` is the work as of `updated_at`, in millicore seconds.
    """

    millicore_s: float = 0
    updated_at: float = 0

    def add(self, now: float, millicore_s: float) -> None:
        """Add work that starts now."""
        self.millicore_s = self.at(now) + millicore_s
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the work that still counts, in millicore seconds."""
        elapsed_s = max(now - self.updated_at, 0)
        return self.millicore_s * exp2(-elapsed_s / _HALF_LIFE_S)


def initial_work(others: Sequence[float]) -> float:
    """Return the work, in millicore seconds, to assume of a new entry.

    That of the average entry gives it an equal share until its need is known.
    """
    return fmean(others) if others else 0


def share_by_need(
    capacity_cpu: int,
    recent_work: Mapping[str, float],
) -> dict[str, int]:
    """Return the millicores that each entry may count on.

    `recent_work` is that of each entry, in millicore seconds. The shares sum up
    to the capacity at most; no need counts for more than the capacity.
    """
    if not recent_work:
        return {}
    needs_cpu = {
        name: min(work / _HALF_LIFE_S, capacity_cpu)
        for name, work in recent_work.items()
    }
    # Together they count for no more than the capacity either, which keeps the
    # part that is shared equally from becoming small.
    scale = min(capacity_cpu / max(sum(needs_cpu.values()), 1), 1)
    base_cpu = _EQUAL_PART * capacity_cpu / len(recent_work)
    weights = {
        name: base_cpu + scale * need_cpu
        for name, need_cpu in needs_cpu.items()
    }
    total = max(sum(weights.values()), 1)
    return {
        name: int(capacity_cpu * weight / total)
        for name, weight in weights.items()
    }
