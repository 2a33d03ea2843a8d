"""Start and stop runs and report their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import speed
from savoryrudder.worker import stops
from savoryrudder.worker import verdicts
from savoryrudder.worker.effects import StartRun
from savoryrudder.worker.state import Phase
from savoryrudder.worker.state import Run
from savoryrudder.worker.state import UnacknowledgedEnd

if TYPE_CHECKING:
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

# Added to the fencing token when the executor has seen a higher one.
_FENCE_STEP: Final = 60_000

_REFUSAL_VERDICTS: Final = frozenset(
    (
        verdicts.REFUSED,
        verdicts.OUTDATED,
        verdicts.FENCED,
        verdicts.OTHER_INSTANCE,
    ),
)


def start(
    state: WorkerState,
    turn: Turn,
    link: str,
    message: work.StartTask,
) -> None:
    """Start a run of a task, or report that it was not started."""
    entry_link = state.links[link]
    entry_link.starts_seen = message.number
    estimate_s = message.estimate_ms / MS_PER_S
    # A start without room counts too: it tells what the entry needs.
    entry_link.recent_work.add(turn.now, message.demand.cpu * estimate_s)
    reason = _refusal_reason(state, message)
    executor = state.executor
    if reason or executor is None:
        turn.count('starts_refused')
        # The entry overestimates the free capacity; send it a report now.
        entry_link.last_report = None
        turn.log(
            'start-refused',
            task=message.task,
            run=message.run,
            reason=reason,
            free_cpu=state.free.cpu,
        )
        turn.send(link, _not_started(message.run_id, reason))
        return
    state.add_run(
        Run(
            message.task,
            message.run,
            message.job_number,
            entry_link.incarnation,
            message.demand,
            message.durable,
            estimate_s,
            turn.now,
            fence=state.fence,
        ),
    )
    state.lease.renew_by(turn.now)
    turn.effects.append(
        StartRun(
            executor,
            message.task,
            message.run,
            message.spec,
            extend_lease(state, turn.now),
            state.fence,
        ),
    )


def extend_lease(state: WorkerState, now: float) -> int:
    """Extend the lease and return when it expires.

    The time is in milliseconds of the executor's clock.
    """
    timing = state.timing
    expires_at = now + timing.expiry_s
    state.lease.expires_at = max(state.lease.expires_at, expires_at)
    return state.lease.estimate_clock_ms(now) + int(timing.lease_s * MS_PER_S)


def apply_start_answer(
    state: WorkerState,
    turn: Turn,
    answer: events.StartAnswered,
) -> None:
    """Apply the answer to a request to start a run."""
    if answer.verdict == verdicts.UNKNOWN:
        supersede_calls(state)
    run = state.runs.get(answer.task)
    if run is None or run.number != answer.run:
        return
    # A former instance had another clock.
    if answer.clock_ms and run.fence >= state.lease.first_fence:
        state.lease.record_clock(turn.now, answer.clock_ms)
    if answer.verdict == verdicts.FENCED:
        raise_fence(state, turn, run.fence)
    if answer.verdict in _REFUSAL_VERDICTS:
        finish(state, turn, run, outcomes.NOT_STARTED, answer.verdict)
        return
    if answer.verdict == verdicts.UNKNOWN:
        turn.log('start-unanswered', task=run.task, run=run.number)
        run.start_unanswered_at = turn.now
        stops.stop_run(state, run)
        return
    run.start_confirmed_at = turn.now
    if run.phase is Phase.starting:
        run.phase = Phase.running


def is_start_wanted(state: WorkerState, call: StartRun) -> bool:
    """Return whether a start that has waited for its turn is to be sent.

    Its run may have been stopped meanwhile, or the zone evacuated.
    """
    if state.evacuated:
        return False
    run = state.runs.get(call.task)
    if run is None or run.number != call.run:
        return False
    return run.phase is Phase.starting


def supersede_calls(state: WorkerState) -> None:
    """Let the next call that the executor receives void all earlier ones.

    One without an answer may otherwise be carried out late.
    """
    state.fence += 1


def raise_fence(state: WorkerState, turn: Turn, refused: int) -> None:
    """Raise the fencing token above that of a previous agent process.

    That process took its token from a clock that was ahead of this one. A token
    that was refused after this process raised it says nothing of another one.
    """
    if refused < state.fence:
        return
    state.fence += _FENCE_STEP
    turn.log('fence-raised', fence=state.fence)


def finish(
    state: WorkerState,
    turn: Turn,
    run: Run,
    outcome: str,
    reason: str,
) -> None:
    """Release the capacity of a run that has ended, and report its end."""
    if not run.end_reported:
        report_end(state, turn, run, outcome, reason)
    state.remove_run(run)


def report_end(
    state: WorkerState,
    turn: Turn,
    run: Run,
    outcome: str,
    reason: str,
) -> None:
    """Report an end to the run's owner and keep it until acknowledged."""
    state.mark_end_reported(run)
    duration_s = turn.now - run.started_at
    message = work.TaskEnded(
        run.task,
        run.number,
        outcome,
        reason,
        int(duration_s * MS_PER_S),
        run.job_number,
    )
    turn.count(f'runs_{outcome}')
    if outcome == outcomes.DONE:
        turn.observe('run', duration_s)
        speed.record_run(state, run, turn.now)
    else:
        turn.log_end(run, outcome, reason)
    state.ends[run.end_key] = UnacknowledgedEnd(run.owner, turn.now, message)
    link = state.find_link(run.owner)
    if not link:
        return
    if outcome == outcomes.NOT_STARTED:
        # The entry overestimates the free capacity; send it a report now.
        state.links[link].last_report = None
    turn.send(link, message)


def mark_all_lost(state: WorkerState, turn: Turn, reason: str) -> None:
    """Report every run as lost and release its capacity."""
    for run in tuple(state.runs.values()):
        finish(state, turn, run, outcomes.LOST, reason)
    state.remove_stray_runs(state.stray_runs)


def _refusal_reason(state: WorkerState, message: work.StartTask) -> str:
    if state.draining:
        return 'agent is leaving'
    if state.evacuated:
        return 'zone is evacuated'
    if not state.accepting:
        return 'executor takes no tasks'
    if message.task in state.runs:
        return 'a run of the task is not settled'
    if state.health.on_trial and state.runs:
        return 'executor is on trial'
    if not state.free.covers(message.demand):
        return 'no room'
    return ''


def _not_started(run_id: work.RunId, reason: str) -> work.TaskEnded:
    return work.TaskEnded(
        run_id.task,
        run_id.number,
        outcomes.NOT_STARTED,
        reason,
        0,
        run_id.job_number,
    )
