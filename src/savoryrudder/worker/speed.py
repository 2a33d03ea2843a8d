"""Estimate how much longer runs take on the executor than estimated.

An agent sees the runs of all entries, so it knows the speed of its executor
sooner than any of them, and tells it to those that are new.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.utils.ratio_estimate import Memory

if TYPE_CHECKING:
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState

# An executor that is left alone for being slow is tried again after some time.
_MEMORY: Final = Memory(max_observations=24, decay_s=5)
# Shorter estimates are exceeded by the calls to the executor alone.
_MIN_ESTIMATE_S: Final = 0.02
# Steps in which the speed is told: executors of nearly the same speed are to
# rank equal.
_PRECISION_DIGITS: Final = 1
_MIN_SLOWNESS: Final = 0.1
_SLOW_FACTOR: Final = 3


def record_run(state: WorkerState, run: Run, now: float) -> None:
    """Learn from a completed run."""
    if not run.estimate_s:
        return
    duration_s = now - run.started_at
    ratio = duration_s / max(run.estimate_s, _MIN_ESTIMATE_S)
    health = state.health
    health.run_times.observe(ratio, now, _MEMORY)
    if ratio < _SLOW_FACTOR:
        health.normal_end_at = now


def current_slowness(state: WorkerState, now: float) -> float:
    """Return the duration of runs relative to their estimates."""
    slowness = state.health.run_times.ratio_at(now, _MEMORY)
    return max(round(slowness, _PRECISION_DIGITS), _MIN_SLOWNESS)
