"""Notice runs that stand still or are far slower than estimated."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import suspension
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.utils.turn import Turn
    from savoryrudder.worker.events import RunListed
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState

_WHOLE_PERCENT: Final = 100
_STANDS_STILL: Final = -1
# A run without progress for this long, or this share of its estimate, hangs.
_STANDSTILL_S: Final = 0.3
_STANDSTILL_SHARE: Final = 0.1
# The executor is slow if the runs of several jobs take this many times longer
# than estimated; those of one job share the error of its estimate.
_SLOW_FACTOR: Final = 3
_SLOW_ALONE_FACTOR: Final = 6
_LEAST_JOBS: Final = 2
# Below this, the projected duration is too rough.
_LEAST_PERCENT: Final = 3
_LEAST_ELAPSED_S: Final = 0.1


def report_slow_runs(
    state: WorkerState,
    turn: Turn,
    listed: tuple[RunListed, ...],
) -> None:
    """Take the progress of runs; tell owners once of each slow one."""
    running: list[Run] = []
    for one in listed:
        run = state.runs.get(one.task)
        if run is None or run.number != one.run:
            continue
        if one.percent > run.percent:
            suspension.note_progress(state, turn)
        if one.percent > run.percent or run.progressed_at < 0:
            run.percent = one.percent
            run.progressed_at = turn.now
        if run.phase is Phase.running:
            running.append(run)
    suspension.judge(state, turn)
    limit = _slowness_limit(running, turn.now)
    for candidate in running:
        _report_if_slow(state, turn, candidate, limit)


def _slowness_limit(running: list[Run], now: float) -> float:
    by_job = {
        run.task.partition('.')[0]: _slowness_of(run, now) for run in running
    }
    known = sorted(slowness for slowness in by_job.values() if slowness)
    if len(known) < _LEAST_JOBS:
        return _SLOW_ALONE_FACTOR
    lower_median = known[(len(known) - 1) // 2]
    is_slow = lower_median >= _SLOW_FACTOR
    return _SLOW_FACTOR if is_slow else _SLOW_ALONE_FACTOR


def _report_if_slow(
    state: WorkerState,
    turn: Turn,
    run: Run,
    limit: float,
) -> None:
    slowness = _slowness_of(run, turn.now)
    is_still = _stands_still(run, turn.now) and not run.standstill_reported
    is_slow = slowness >= limit and not run.slow_reported
    if not is_still and not is_slow:
        return
    run.slow_reported = True
    run.standstill_reported = run.standstill_reported or is_still
    remaining_ms = _STANDS_STILL if is_still else _remaining_ms(run, turn.now)
    message = work.SlowRun(
        run.task,
        run.number,
        0 if state.health.suspended else max(slowness, limit),
        remaining_ms,
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


def _stands_still(run: Run, now: float) -> bool:
    limit_s = max(_STANDSTILL_S, _STANDSTILL_SHARE * run.estimate_s)
    return now - run.progressed_at >= limit_s


def _slowness_of(run: Run, now: float) -> float:
    """Return the projected duration over the estimate, 0 if unknown."""
    elapsed_s = now - run.started_at
    if run.percent < _LEAST_PERCENT or elapsed_s < _LEAST_ELAPSED_S:
        return 0
    estimate_s = max(run.estimate_s, _LEAST_ELAPSED_S)
    return elapsed_s * _WHOLE_PERCENT / run.percent / estimate_s


def _remaining_ms(run: Run, now: float) -> int:
    elapsed_s = now - run.started_at
    projected_s = elapsed_s * _WHOLE_PERCENT / max(run.percent, 1)
    return int((projected_s - elapsed_s) * MS_PER_S)
