"""Estimate a ratio from observations that are noisy and change over time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final
from typing import NamedTuple

# An observation counts as at most twice and at least half the average, so that
# a few outliers do not move it.
_MAX_FACTOR: Final = 2
_MIN_FACTOR: Final = 0.5
# The weight, in observations, of the assumption that the ratio is 1.
PRIOR_WEIGHT: Final = 4


class Memory(NamedTuple):
    """Define how much an estimate remembers.

    It is an average of `max_observations` at most, whose weight falls by a
    factor of e in `decay_s` seconds.
    """

    max_observations: float
    decay_s: float


@dataclass(slots=True)
class RatioEstimate:
    """Average observed ratios, with limits on outliers.

    `weight` is the number of observations as of `updated_at`.
    """

    ratio: float = 1
    weight: float = 0
    updated_at: float = 0

    def observe(self, ratio: float, now: float, memory: Memory) -> None:
        """Add an observation."""
        weight = min(
            self.weight_at(now, memory) + 1,
            memory.max_observations,
        )
        factor = min(max(ratio / self.ratio, _MIN_FACTOR), _MAX_FACTOR)
        self.ratio *= 1 + (factor - 1) / weight
        self.weight = weight
        self.updated_at = now

    def weight_at(self, now: float, memory: Memory) -> float:
        """Return the number of observations, less those forgotten by now."""
        elapsed_s = max(now - self.updated_at, 0)
        return self.weight * math.exp(-elapsed_s / memory.decay_s)

    def ratio_at(self, now: float, memory: Memory) -> float:
        """Return the ratio, closer to 1 the fewer observations there are."""
        weight = self.weight_at(now, memory)
        certainty = weight / (weight + PRIOR_WEIGHT)
        return math.pow(self.ratio, certainty)
