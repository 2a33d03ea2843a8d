"""Define the ticks of processes whose reducers wait for a time to pass."""

from __future__ import annotations

import math
from typing import Final

# Interval of ticks while something is due, and the longest without a tick.
TICK_S: Final = 0.05
IDLE_TICK_S: Final = 0.5


def align_tick(due_at: float, now: float) -> float:
    """Return the time of the first tick at or after `due_at`.

    Ticks are multiples of `TICK_S`, so that one serves all that is due, and
    the next one is in the future.
    """
    # Rounding keeps a time on the grid from being moved to the next tick.
    ticks = math.ceil(round(due_at / TICK_S, 6))
    next_tick = math.floor(round(now / TICK_S, 6)) + 1
    return max(ticks, next_tick) * TICK_S
