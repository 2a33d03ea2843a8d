"""Detect that a process did not run for a while."""

from __future__ import annotations

import time
from typing import Final

from savoryrudder.utils.ticks import IDLE_TICK_S

# A process that is this late for its next tick was stopped meanwhile: its peers
# have lost it, and what it receives may be stale.
_MAX_TICK_DELAY_S: Final = 0.5
_THRESHOLD_S: Final = IDLE_TICK_S + _MAX_TICK_DELAY_S


class StallDetector:
    """Measure the time since the process ran last, suspension included."""

    def __init__(self) -> None:
        """Take the process for running now."""
        self._last_ran_at = time.clock_gettime(time.CLOCK_BOOTTIME)

    def measure(self) -> float:
        """Return how long (seconds) the process was stalled, or 0."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        elapsed_s = now - self._last_ran_at
        self._last_ran_at = now
        return elapsed_s if elapsed_s >= _THRESHOLD_S else 0
