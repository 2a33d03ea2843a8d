"""Suspend an executor on which no run makes progress.

Runs of several jobs that get stuck at the same time point to a fault of the
executor. It gets no tasks for a while. Then it is on trial: it gets one task
at a time until a run makes progress.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

_SUSPENSION_S: Final = 1
# The executor is suspended if no run makes progress for this long, or for this
# share of the shortest estimate among the stuck runs if that is longer.
_STUCK_AFTER_S: Final = 0.15
_STUCK_AFTER_SHARE: Final = 0.05
_MIN_JOBS: Final = 2


def record_progress(state: WorkerState, turn: Turn) -> None:
    """Record that a run made progress or completed; end a trial."""
    health = state.health
    health.progressed_at = turn.now
    if health.on_trial:
        health.on_trial = False
        turn.log('executor-recovered')


def end_suspension(state: WorkerState, turn: Turn) -> None:
    """Put the executor on trial once its suspension has expired."""
    health = state.health
    if health.suspended and turn.now >= health.suspended_until:
        health.suspended = False
        health.on_trial = True


def suspend_if_stuck(
    state: WorkerState,
    turn: Turn,
    shown_at: float,
) -> None:
    """Suspend the executor if none of its runs made progress until then."""
    health = state.health
    if health.suspended:
        return
    stuck_runs = [
        run for run in state.runs.values() if _is_stuck(run, shown_at)
    ]
    jobs = {run.task.partition('.')[0] for run in stuck_runs}
    min_jobs = 1 if health.on_trial else _MIN_JOBS
    if len(jobs) < min_jobs:
        return
    limit_s = max(
        _STUCK_AFTER_S,
        _STUCK_AFTER_SHARE * min(run.estimate_s for run in stuck_runs),
    )
    if shown_at - health.progressed_at < limit_s:
        return
    health.suspended = True
    health.suspended_until = turn.now + _SUSPENSION_S
    turn.count('executor_suspensions')
    turn.log('executor-suspended', runs=len(stuck_runs), jobs=len(jobs))


def _is_stuck(run: Run, now: float) -> bool:
    limit_s = max(_STUCK_AFTER_S, _STUCK_AFTER_SHARE * run.estimate_s)
    has_progress = run.phase is Phase.running and run.progressed_at > 0
    return has_progress and now - run.progressed_at >= limit_s
