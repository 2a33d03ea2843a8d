"""Stop runs, with a bounded number of requests under way.

Some thousand runs may have to end at one moment: large jobs are cancelled, or
an entry is lost. A request for each of them at once takes more memory than an
agent has, and more time than the requests may take. So a request waits for its
turn, and none is sent again while the one before is under way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.worker.effects import StopRun
from savoryrudder.worker.state import EndKey
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from savoryrudder.protocol import work
    from savoryrudder.worker.events import StopAnswered
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

# An executor takes 64 connections, which starts and renewals use, too.
MAX_CONCURRENT_STOPS: Final = 8
# One request shows whether an executor that was silent answers again.
_MAX_CONCURRENT_STOPS_IN_SILENCE: Final = 1


def stop_run(state: WorkerState, run: Run) -> None:
    """Let the executor stop a run."""
    run.phase = Phase.stopping
    state.stopping[run.task] = run
    state.stop_calls.request(run.key)


def stop_stray_run(state: WorkerState, turn: Turn, key: work.RunKey) -> None:
    """Let the executor stop a run that this process did not start."""
    state.add_stray_run(key, turn.now)
    state.stop_calls.request(key)


def stop_on_request(
    state: WorkerState,
    link: str,
    message: work.StopTask,
) -> None:
    """Stop a run at the request of its owner."""
    run = state.runs.get(message.task)
    requested = EndKey(state.links[link].incarnation, message.run_id)
    if run is None or run.end_key != requested:
        return
    if run.phase is not Phase.stopping:
        stop_run(state, run)


def send_due(state: WorkerState, turn: Turn) -> None:
    """Send the stops whose turn it is, as far as the bound allows."""
    executor = state.executor
    if executor is None:
        return
    calls = state.stop_calls
    calls.requeue_due(turn.now)
    max_under_way = _max_concurrent_stops(state)
    while calls.under_way < max_under_way:
        key = calls.take_next()
        if key is None:
            return
        if _is_needed(state, key):
            turn.effects.append(StopRun(executor, *key, state.fence))
        else:
            calls.settle(key)


def apply_answer(
    state: WorkerState,
    turn: Turn,
    answer: StopAnswered,
) -> None:
    """Record that a run was stopped and can no longer start, or try again."""
    key = (answer.task, answer.run)
    if not answer.confirmed:
        turn.count('stops_unanswered')
        retry_at = turn.now + state.timing.stop_retry_s
        state.stop_calls.retry(key, retry_at)
        return
    state.stop_calls.settle(key)
    run = state.runs.get(answer.task)
    if run is not None and run.number == answer.run:
        run.stop_confirmed_at = turn.now
        state.lease.renew_by(turn.now)
    if key in state.stray_runs:
        state.stray_runs.update({key: turn.now})


def _max_concurrent_stops(state: WorkerState) -> int:
    if state.lease.silent_since is None:
        return MAX_CONCURRENT_STOPS
    return _MAX_CONCURRENT_STOPS_IN_SILENCE


def _is_needed(state: WorkerState, key: work.RunKey) -> bool:
    task, number = key
    run = state.runs.get(task)
    if run is not None and run.number == number:
        return run.phase is Phase.stopping and run.stop_confirmed_at < 0
    return key in state.stray_runs
