"""Renew the executor's lease when it is due."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import events
from savoryrudder.worker import instances
from savoryrudder.worker import outcomes
from savoryrudder.worker import reports
from savoryrudder.worker import run_lists
from savoryrudder.worker import runs
from savoryrudder.worker import stops
from savoryrudder.worker.effects import RenewLease
from savoryrudder.worker.state import EndKey

if TYPE_CHECKING:
    from savoryrudder.worker.state import Run
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

# The executor lists ends again with each renewal until they are acknowledged,
# so renewals are spaced out while an owner has not confirmed an end.
_UNACKNOWLEDGED_DELAY_S: Final = 0.1
# Tasks of a job often end together, and after this delay one answer lists them
# all. There is no delay on a nearly full executor, as entries wait for the
# capacity that each end releases.
_BATCHING_DELAY_S: Final = 0.02
_RETRY_DELAY_S: Final = 0.05
# Each answer lists all runs. Beyond some number of them the pause before the
# next renewal grows with the list, so that lists take a bounded share of the
# time, however many runs end or are stopped one by one.
_MAX_UNPACED_RUNS: Final = 100
_PAUSE_PER_RUN_S: Final = 2e-5
# A part of the lease, which each renewal extends.
_MAX_PAUSE_S: Final = 0.2
# Renewals of an idle executor only acknowledge ends.
_IDLE_DELAY_S: Final = 0.5


def renew_if_due(state: WorkerState, turn: Turn) -> None:
    """Send the next renewal if it is due and needed."""
    lease = state.lease
    executor = state.executor
    if executor is None or turn.now < next_renewal_at(state):
        return
    lease.renewing = True
    is_extended = _should_extend_lease(state, turn.now)
    lease.acknowledged_upto_sent = lease.acknowledged_upto
    turn.effects.append(
        RenewLease(
            executor,
            runs.extend_lease(state, turn.now) if is_extended else 0,
            state.fence,
            lease.acknowledged_upto,
            _wait_ms(state),
        ),
    )


def next_renewal_at(state: WorkerState) -> float:
    """Return when the next renewal is due; infinity if none is needed."""
    lease = state.lease
    if state.executor is None or lease.renewing:
        return math.inf
    if not _is_renewal_needed(state):
        return math.inf
    return max(lease.renew_at, lease.paused_until)


def apply_answer(
    state: WorkerState,
    turn: Turn,
    answer: events.RenewalAnswered,
) -> None:
    """Apply the executor's lists of running and ended runs."""
    lease = state.lease
    if answer.fence < lease.first_fence:
        return
    if instances.begin_if_other(state, turn, answer):
        return
    lease.renewing = False
    lease.record_clock(turn.now, answer.clock_ms)
    if lease.silent_since is not None:
        turn.log('executor-answers', silent_s=turn.now - lease.silent_since)
        lease.silent_since = None
    run_lists.reconcile(state, turn, answer)
    signed_off_at = state.signed_off_at
    lease.reconciled = signed_off_at is None or answer.sent_at >= signed_off_at
    lease.renew_at = turn.now + _renewal_delay_s(state, answer)
    lease.paused_until = turn.now + _pause_s(len(answer.running))


def _pause_s(listed_runs: int) -> float:
    paced_runs = max(listed_runs - _MAX_UNPACED_RUNS, 0)
    return min(paced_runs * _PAUSE_PER_RUN_S, _MAX_PAUSE_S)


def _renewal_delay_s(
    state: WorkerState,
    answer: events.RenewalAnswered,
) -> float:
    if state.lease.unacknowledged_ends:
        return _UNACKNOWLEDGED_DELAY_S
    if answer.more_ends:
        return 0
    if not state.runs and not state.stray_runs:
        return _IDLE_DELAY_S
    is_nearly_full = reports.is_nearly_full(state)
    return _BATCHING_DELAY_S if answer.ended and not is_nearly_full else 0


def apply_failure(
    state: WorkerState,
    turn: Turn,
    failure: events.RenewalFailed,
) -> None:
    """Record a failed renewal and schedule the next one."""
    lease = state.lease
    if failure.fence < lease.first_fence:
        return
    lease.renewing = False
    lease.renew_at = turn.now + _RETRY_DELAY_S
    if failure.fenced:
        runs.raise_fence(state, turn, failure.fence)
        return
    runs.supersede_calls(state)
    if lease.silent_since is None:
        lease.silent_since = turn.now
        turn.log('executor-silent', reason=failure.reason)


def report_expired(state: WorkerState, turn: Turn) -> None:
    """Report runs of a silent executor as lost once they must have ended."""
    if state.lease.silent_since is None or turn.now < state.lease.expires_at:
        return
    for run in state.runs.values():
        if not run.end_reported and turn.now >= _ends_by(state, run):
            runs.report_end(state, turn, run, outcomes.LOST, 'lease expired')
            stops.stop_run(state, run)


def _ends_by(state: WorkerState, run: Run) -> float:
    # Calls without an answer are carried out at once, or later than a lease
    # lasts: a renewal finds no run then, but a start begins one.
    if run.start_confirmed_at > 0:
        return state.lease.expires_at
    if run.start_unanswered_at < 0:
        return math.inf
    timing = state.timing
    return run.start_unanswered_at + timing.late_call_s + timing.expiry_s


def discard_ends(
    state: WorkerState,
    owner: str,
    run_ids: tuple[work.RunId, ...],
) -> None:
    """Discard ends that their owner has acknowledged."""
    for acknowledged in run_ids:
        state.ends.pop(EndKey(owner, acknowledged), None)
    lease = state.lease
    lease.unacknowledged_ends = {
        number: key
        for number, key in lease.unacknowledged_ends.items()
        if key in state.ends
    }
    if not lease.unacknowledged_ends:
        lease.renew_by(0)


def _is_renewal_needed(state: WorkerState) -> bool:
    lease = state.lease
    if state.runs or state.stray_runs or not lease.reconciled:
        return True
    if lease.silent_since is not None or instances.is_end_awaited(state):
        return True
    return lease.acknowledged_upto > lease.acknowledged_upto_sent


def _should_extend_lease(state: WorkerState, now: float) -> bool:
    if not state.lease.reconciled or not state.runs or state.lease_withheld:
        return False
    silent_since = state.lease.silent_since
    return (
        silent_since is None
        or now - silent_since < state.timing.silent_renewal_s
    )


def _wait_ms(state: WorkerState) -> int:
    if not state.runs or state.stray_runs or not state.lease.reconciled:
        return 0
    if any(_may_be_missing(run) for run in state.stopping.values()):
        return 0
    return int(state.timing.renewal_wait_s * MS_PER_S)


def _may_be_missing(run: Run) -> bool:
    # No end is listed of a run that was stopped before it started.
    return run.stop_confirmed_at > 0 and run.start_confirmed_at < 0
