"""Limit the retries of tasks."""

from __future__ import annotations

import math
from typing import Final

RETRY_RATIO: Final = 0.1
RETRY_ALLOWANCE: Final = 10
WINDOW_S: Final = 10
INITIAL_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 1


class RetryBudget:
    """Allow retries up to a ratio of the recent starts plus an allowance."""

    def __init__(self) -> None:
        """Create a budget without starts."""
        self._starts: float = 0
        self._retries: float = 0
        self._decayed_at: float = 0

    def record_start(self, now: float) -> None:
        """Count a start."""
        self._decay(now)
        self._starts += 1

    def take(self, now: float) -> bool:
        """Count a retry if the budget allows it."""
        self._decay(now)
        if self._retries + 1 > RETRY_RATIO * self._starts + RETRY_ALLOWANCE:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        decay = math.exp((self._decayed_at - now) / WINDOW_S)
        self._decayed_at = now
        self._starts *= decay
        self._retries *= decay


def backoff_s(attempts: int, jitter: float) -> float:
    """Return the exponential backoff; `jitter` is between 0 and 1."""
    pause_s = INITIAL_BACKOFF_S * math.pow(2, attempts - 1)
    return min(MAX_BACKOFF_S, pause_s) * (1 + jitter) / 2
