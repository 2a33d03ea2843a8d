"""Detect runs that are stuck or far slower than estimated."""

from __future__ import annotations

from bisect import bisect_left
from statistics import median_low
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import suspension
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.worker.events import RenewalAnswered
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

_COMPLETE_PERCENT: Final = 100
_NO_PROGRESS: Final = -1
# A run is stuck after this long without progress, or after this share of its
# estimate if that is longer.
_STUCK_AFTER_S: Final = 0.3
_STUCK_AFTER_SHARE: Final = 0.1
# The executor counts as slow if the runs of several jobs take this many times
# longer than estimated. The runs of a single job share the error of its
# estimate and need a higher factor.
_SLOW_FACTOR: Final = 3
_SINGLE_JOB_SLOW_FACTOR: Final = 6
_MIN_JOBS: Final = 2
# Below these limits the projected duration is too inaccurate.
_MIN_PERCENT: Final = 3
_MIN_ELAPSED_S: Final = 0.1


class _ProjectedRun(NamedTuple):
    """Hold a run and its projected duration over the estimate, 0 if unknown."""

    run: Run
    slowness: float


class _Listing(NamedTuple):
    """Hold what the runs of a list are compared with.

    The `slownesses` of the runs are sorted, without those that are unknown.
    """

    shown_at: float
    threshold: float
    slownesses: list[float]


def report_slow_runs(
    state: WorkerState,
    turn: Turn,
    answer: RenewalAnswered,
) -> None:
    """Record the progress of runs, and report slow and stuck ones once."""
    shown_at = answer.shown_at
    running: list[Run] = []
    for progress in answer.running:
        run = state.runs.get(progress.task)
        if run is None or run.number != progress.run:
            continue
        if progress.percent > run.percent:
            suspension.record_progress(state, turn)
        if progress.percent > run.percent or run.progressed_at < 0:
            run.percent = progress.percent
            run.progressed_at = shown_at
        if run.phase is Phase.running:
            running.append(run)
    suspension.suspend_if_stuck(state, turn, shown_at)
    projected = [
        _ProjectedRun(run, _projected_slowness(run, shown_at))
        for run in running
    ]
    known = sorted(run.slowness for run in projected if run.slowness)
    listing = _Listing(shown_at, _slowness_threshold(projected), known)
    for candidate in projected:
        _report_if_slow(state, turn, candidate, listing)


def _slowness_threshold(projected: list[_ProjectedRun]) -> float:
    slowness_by_job = {
        work.job_of_task(run.task): slowness for run, slowness in projected
    }
    slownesses = [slowness for slowness in slowness_by_job.values() if slowness]
    if len(slownesses) < _MIN_JOBS:
        return _SINGLE_JOB_SLOW_FACTOR
    is_executor_slow = median_low(slownesses) >= _SLOW_FACTOR
    return _SLOW_FACTOR if is_executor_slow else _SINGLE_JOB_SLOW_FACTOR


def _is_executor_sound(
    state: WorkerState,
    slow_run: _ProjectedRun,
    slownesses: list[float],
) -> bool:
    """Return whether other runs show that the executor is not slow."""
    others = len(slownesses) - bool(slow_run.slowness)
    if others:
        median = _median_of_others(slownesses, slow_run.slowness)
        return median < _SLOW_FACTOR
    return state.health.normal_end_at > slow_run.run.started_at


def _median_of_others(slownesses: list[float], slowness: float) -> float:
    """Return the low median of sorted values without one, 0 for none."""
    if not slowness:
        return slownesses[(len(slownesses) - 1) // 2]
    # All runs of a list may be slow, so that it is not copied for each of them.
    middle = (len(slownesses) - 2) // 2
    is_behind = middle >= bisect_left(slownesses, slowness)
    return slownesses[middle + is_behind]


def _report_if_slow(
    state: WorkerState,
    turn: Turn,
    candidate: _ProjectedRun,
    listing: _Listing,
) -> None:
    run, slowness = candidate
    shown_at = listing.shown_at
    is_newly_stuck = not run.stuck_reported and _is_stuck(run, shown_at)
    is_slow = slowness >= listing.threshold
    is_newly_slow = is_slow and not run.slow_reported
    if not is_newly_stuck and not is_newly_slow:
        return
    run.slow_reported = True
    run.stuck_reported = run.stuck_reported or is_newly_stuck
    remaining_ms = (
        _NO_PROGRESS
        if is_newly_stuck
        else _projected_remaining_ms(run, shown_at)
    )
    message = work.SlowRun(
        run.task,
        run.number,
        0 if state.health.suspended else max(slowness, listing.threshold),
        remaining_ms,
        run.job_number,
        _is_executor_sound(state, candidate, listing.slownesses),
    )
    turn.count('slow_runs')
    turn.log(
        'run-slow',
        task=run.task,
        run=run.number,
        percent=run.percent,
        slowness=message.slowness,
        remaining_ms=remaining_ms,
    )
    link = state.find_link(run.owner)
    if link:
        turn.send(link, message)


def _is_stuck(run: Run, now: float) -> bool:
    limit_s = max(_STUCK_AFTER_S, _STUCK_AFTER_SHARE * run.estimate_s)
    return now - run.progressed_at >= limit_s


def _projected_slowness(run: Run, now: float) -> float:
    """Return the projected duration over the estimate, 0 if unknown."""
    elapsed_s = now - run.started_at
    if run.percent < _MIN_PERCENT or elapsed_s < _MIN_ELAPSED_S:
        return 0
    estimate_s = max(run.estimate_s, _MIN_ELAPSED_S)
    return elapsed_s * _COMPLETE_PERCENT / run.percent / estimate_s


def _projected_remaining_ms(run: Run, now: float) -> int:
    elapsed_s = now - run.started_at
    projected_s = elapsed_s * _COMPLETE_PERCENT / max(run.percent, 1)
    return int((projected_s - elapsed_s) * MS_PER_S)
