"""Correct callers' estimates by the run times that were observed.

The corrected steps of a job are set when it is accepted, so its objective does
not change later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import health
from savoryrudder.dispatch.run_times import RunObservation
from savoryrudder.protocol import run_times as protocol
from savoryrudder.worker import outcomes

if TYPE_CHECKING:
    from savoryrudder.dispatch.runs import CurrentRun
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.jobs.model import Queue
    from savoryrudder.jobs.model import Step
    from savoryrudder.protocol.work import TaskEnded

# Estimates that are wrong by a smaller share are left as they are.
_MIN_CORRECTION: Final = 0.1
# Runs at executors of a greater slowness say more of these than of their queue.
_MAX_TELLING_SLOWNESS: Final = 3
_TELLING_INTERVAL_S: Final = 1
# Rows of a message at intervals, and of the one at the start of a link.
_MAX_TOLD_ROWS: Final = 64
_MAX_FIRST_ROWS: Final = 512


def correct_request(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
) -> JobRequest:
    """Return a job whose estimates are what its tasks typically take."""
    ratio = state.run_times.calibration_of(queue.name).ratio
    if abs(ratio - 1) < _MIN_CORRECTION:
        return request
    steps = tuple(_correct_step(step, ratio) for step in request.steps)
    return request._replace(steps=steps)


def _correct_step(step: Step, ratio: float) -> Step:
    if not step.estimate_ms:
        return step
    estimate_ms = max(round(step.estimate_ms * ratio), 1)
    return step._replace(estimate_ms=estimate_ms)


def record_run(
    state: DispatchState,
    turn: Turn,
    agent: AgentView,
    found: CurrentRun,
    ended: TaskEnded,
) -> None:
    """Learn from a completed run on a sound executor near its data."""
    job, task = found
    step = job.request.steps[task.step_index]
    report = agent.report
    if ended.outcome != outcomes.DONE or report is None:
        return
    if not step.estimate_ms:
        return
    if step.data_rack and step.data_rack not in report.labels:
        return
    slowness = health.expected_slowness(agent, turn.now)
    if slowness >= _MAX_TELLING_SLOWNESS or agent.on_trial:
        return
    ratio = ended.duration_ms / step.estimate_ms / slowness
    observation = RunObservation(ratio, rerun=task.moved)
    state.run_times.observe(job.queue.name, observation, turn.now)
    _log_change(state, turn, job.queue.name)


def handle_observed(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: protocol.RunTimesObserved,
) -> None:
    """Learn what another entry has observed of queues that exist."""
    rows = [
        row for row in message.queues if row.queue in state.configuration.queues
    ]
    state.run_times.learn(state.peers[link].entry, rows, turn.now)
    for row in rows:
        _log_change(state, turn, row.queue)


def tell_all(state: DispatchState, turn: Turn, link: str) -> None:
    """Tell an entry that was just linked what this one has observed."""
    rows = state.run_times.own_rows(turn.now)
    if rows:
        told = protocol.RunTimesObserved(tuple(rows[:_MAX_FIRST_ROWS]))
        turn.send(link, told)


def tell_changes(state: DispatchState, turn: Turn) -> None:
    """Tell new observations to the entries that hear the load of this one."""
    if turn.now < state.run_times_told_at + _TELLING_INTERVAL_S:
        return
    state.run_times_told_at = turn.now
    state.run_times.forget_old(turn.now)
    rows = state.run_times.rows_to_tell(turn.now, _MAX_TOLD_ROWS)
    if not rows:
        return
    message = protocol.RunTimesObserved(tuple(rows))
    for link, peer in state.peers.items():
        if peer.hears_load:
            turn.send(link, message)


def _log_change(state: DispatchState, turn: Turn, queue: str) -> None:
    change = state.run_times.take_change(queue, turn.now)
    if change is None:
        return
    calibration = state.run_times.calibration_of(queue)
    turn.count('run_time_corrections')
    turn.log(
        'run-times-changed',
        queue=queue,
        former_ratio=round(change.former, 2),
        ratio=round(change.current, 2),
        mean_excess=round(calibration.mean_excess, 2),
        stay_slow=calibration.stay_slow,
        observations=round(change.observations),
    )
