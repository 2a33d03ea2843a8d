"""Judge whether the executor stands still as a whole.

Tasks of several jobs that stop together show a fault of the executor. It is
suspended for a while and then on trial: it gets one task at a time until one
makes progress.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.utils.turn import Turn
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState

_SUSPENSION_S: Final = 1
# All runs without progress for this long, or for this share of the shortest
# estimate among them, show that the executor stands still.
_STANDSTILL_S: Final = 0.15
_STANDSTILL_SHARE: Final = 0.05
_LEAST_JOBS: Final = 2


def note_progress(state: WorkerState, turn: Turn) -> None:
    """Note that some run went on or was done."""
    health = state.health
    health.progressed_at = turn.now
    if health.on_trial:
        health.on_trial = False
        turn.log('executor-recovered')


def end_suspension(state: WorkerState, turn: Turn) -> None:
    """Put the executor on trial once its suspension is over."""
    health = state.health
    if health.suspended and turn.now >= health.suspended_until:
        health.suspended = False
        health.on_trial = True


def judge(state: WorkerState, turn: Turn) -> None:
    """Suspend the executor if its latest lists show that nothing goes on."""
    health = state.health
    if health.suspended:
        return
    still = [run for run in state.runs.values() if _stands_still(run, turn.now)]
    jobs = {run.task.partition('.')[0] for run in still}
    least_jobs = 1 if health.on_trial else _LEAST_JOBS
    if len(jobs) < least_jobs:
        return
    limit_s = max(
        _STANDSTILL_S,
        _STANDSTILL_SHARE * min(run.estimate_s for run in still),
    )
    if turn.now - health.progressed_at < limit_s:
        return
    health.suspended = True
    health.suspended_until = turn.now + _SUSPENSION_S
    turn.count('executor_suspensions')
    turn.log('executor-suspended', runs=len(still), jobs=len(jobs))


def _stands_still(run: Run, now: float) -> bool:
    limit_s = max(_STANDSTILL_S, _STANDSTILL_SHARE * run.estimate_s)
    is_seen = run.phase is Phase.running and run.progressed_at > 0
    return is_seen and now - run.progressed_at >= limit_s
