"""Compare the executor's lists of runs and ends with the runs tracked here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.utils.task_names import describe_tasks
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import progress
from savoryrudder.worker import runs
from savoryrudder.worker import stops
from savoryrudder.worker import suspension
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn


def reconcile(
    state: WorkerState,
    turn: Turn,
    answer: events.RenewalAnswered,
) -> None:
    """Finish the runs that have ended, and stop those of former processes."""
    _process_ends(state, turn, answer.ended)
    progress.report_slow_runs(state, turn, answer)
    listed = {
        (listed_run.task, listed_run.run) for listed_run in answer.running
    }
    if not answer.more_ends:
        _finish_unlisted_runs(state, turn, answer.sent_at, listed)
    _stop_stray_runs(state, turn, listed)


def _process_ends(
    state: WorkerState,
    turn: Turn,
    ended: tuple[events.RunEnd, ...],
) -> None:
    lease = state.lease
    for end in ended:
        if end.number <= lease.last_end_number:
            continue
        lease.last_end_number = end.number
        run = state.runs.get(end.task)
        if run is None or run.number != end.run:
            continue
        if end.outcome == outcomes.DONE:
            suspension.record_progress(state, turn)
        runs.finish(state, turn, run, end.outcome, 'executor')
        if run.durable:
            lease.unacknowledged_ends[end.number] = run.end_key


def _finish_unlisted_runs(
    state: WorkerState,
    turn: Turn,
    sent_at: float,
    listed: set[work.RunKey],
) -> None:
    for run in tuple(state.runs.values()):
        if run.key in listed:
            continue
        outcome = _outcome_of_unlisted(run, sent_at)
        if outcome:
            runs.finish(state, turn, run, outcome, 'not listed')


def _outcome_of_unlisted(run: Run, sent_at: float) -> str:
    if run.phase is Phase.stopping:
        is_stop_confirmed = 0 < run.stop_confirmed_at < sent_at
        return outcomes.NOT_STARTED if is_stop_confirmed else ''
    is_missing = run.phase is Phase.running and run.start_confirmed_at < sent_at
    return outcomes.LOST if is_missing else ''


def _stop_stray_runs(
    state: WorkerState,
    turn: Turn,
    listed: set[work.RunKey],
) -> None:
    tracked = {run.key for run in state.runs.values()}
    untracked = listed - tracked
    state.remove_stray_runs(state.stray_runs.keys() - untracked)
    cutoff = turn.now - state.timing.stop_retry_s
    stopped: dict[str, list[str]] = {}
    for key in untracked:
        if state.stray_runs.get(key, cutoff) <= cutoff:
            task = key[0]
            stopped.setdefault(work.job_of_task(task), []).append(task)
            stops.stop_stray_run(state, turn, key)
    for tasks in stopped.values():
        turn.log('stray-run', **describe_tasks(tasks))
