"""Notice runs that stand still or are far slower than estimated."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.worker.events import RunListed
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

_WHOLE_PERCENT: Final = 100
# A run without progress for this long, or this share of its estimate, hangs.
_STANDSTILL_S: Final = 0.3
_STANDSTILL_SHARE: Final = 0.1
# Estimates are off by less than this factor.
_SLOW_FACTOR: Final = 3
# Below this, the projected duration is too rough.
_LEAST_PERCENT: Final = 3
_LEAST_ELAPSED_S: Final = 0.1


def report_slow_runs(
    state: WorkerState,
    turn: Turn,
    listed: tuple[RunListed, ...],
) -> None:
    """Take the progress of runs; tell owners once of each slow one."""
    for one in listed:
        run = state.runs.get(one.task)
        if run is None or run.number != one.run:
            continue
        if one.percent > run.percent or run.progressed_at < 0:
            run.percent = one.percent
            run.progressed_at = turn.now
        if run.phase is Phase.running and not run.slow_reported:
            _report_if_slow(state, turn, run)


def _report_if_slow(state: WorkerState, turn: Turn, run: Run) -> None:
    message = _slowness_of(run, turn.now)
    if message is None:
        return
    run.slow_reported = True
    turn.count('slow_runs')
    turn.log(
        'run-slow',
        task=run.task,
        run=run.number,
        percent=run.percent,
        slowness=message.slowness,
    )
    link = state.find_link(run.owner)
    if link:
        turn.send(link, message)


def _slowness_of(run: Run, now: float) -> work.SlowRun | None:
    estimate_s = max(run.estimate_s, _LEAST_ELAPSED_S)
    still_s = max(_STANDSTILL_S, _STANDSTILL_SHARE * estimate_s)
    elapsed_s = now - run.started_at
    if now - run.progressed_at >= still_s:
        slowness = max(_SLOW_FACTOR, elapsed_s / estimate_s)
        return work.SlowRun(run.task, run.number, slowness, -1)
    if run.percent < _LEAST_PERCENT or elapsed_s < _LEAST_ELAPSED_S:
        return None
    projected_s = elapsed_s * _WHOLE_PERCENT / run.percent
    slowness = projected_s / estimate_s
    if slowness < _SLOW_FACTOR:
        return None
    remaining_ms = int((projected_s - elapsed_s) * MS_PER_S)
    return work.SlowRun(run.task, run.number, slowness, remaining_ms)
