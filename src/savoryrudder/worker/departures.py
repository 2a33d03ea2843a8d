"""Follow an executor that has signed off until its runs have ended.

A sign-off says that the executor is about to end. It does not show that the
runs have ended: it may be a former instance's that was held up, and an
executor that misses the acknowledgement goes on for seconds. So the executor
gets no more tasks, and its runs end as those of any other: a list of runs,
requested at once, does not show them, or the lease has expired. Then the
executor is forgotten. One that sends a newer heartbeat, without draining,
stays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.worker import reports
from savoryrudder.worker import runs
from savoryrudder.worker.lease import Lease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.worker.events import ExecutorHeartbeat
    from savoryrudder.worker.events import ExecutorLeft
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn


def record_sign_off(
    state: WorkerState,
    turn: Turn,
    event: ExecutorLeft,
) -> None:
    """Record that the executor is about to end, and request its runs."""
    heartbeat = state.heartbeat
    if heartbeat is None or heartbeat.executor != event.executor:
        return
    if event.started_ms not in {0, state.lease.started_ms}:
        turn.count('outdated_departures')
        return
    if state.signed_off_at is not None:
        return
    state.signed_off_at = turn.now
    # The lease is extended again once the runs have been listed.
    state.lease.reconciled = False
    state.lease.renew_by(turn.now)
    turn.log(
        'executor-signed-off',
        executor=event.executor,
        draining=heartbeat.draining,
        runs=len(state.runs),
    )


def revoke_if_newer(
    state: WorkerState,
    turn: Turn,
    previous: ExecutorHeartbeat,
    heartbeat: ExecutorHeartbeat,
) -> None:
    """Take the sign-off for another instance's if the executor stays."""
    if state.signed_off_at is None or heartbeat.draining:
        return
    if heartbeat.sequence <= previous.sequence:
        return
    turn.count('revoked_departures')
    turn.log(
        'executor-stays',
        executor=heartbeat.executor,
        after_s=turn.now - state.signed_off_at,
    )
    state.signed_off_at = None


def forget_if_ended(state: WorkerState, turn: Turn) -> None:
    """Forget an executor that signed off once nothing runs there."""
    executor = state.executor
    if executor is None or state.signed_off_at is None:
        return
    if not _have_runs_ended(state, turn.now):
        return
    turn.log(
        'executor-left',
        executor=executor.name,
        after_s=turn.now - state.signed_off_at,
    )
    # Those that are left have been reported.
    runs.mark_all_lost(state, turn, 'executor left')
    reports.report_departure(state, turn)
    state.heartbeat = None
    state.signed_off_at = None
    state.lease = Lease(
        state.lease.started_ms,
        expires_at=state.lease.expires_at,
    )


def due_times(state: WorkerState) -> Iterator[float]:
    """Yield when a silent executor that signed off may be forgotten."""
    if state.signed_off_at is None or state.lease.silent_since is None:
        return
    yield _lease_ends_by(state, state.signed_off_at)


def _have_runs_ended(state: WorkerState, now: float) -> bool:
    lease = state.lease
    if lease.reconciled and not state.runs and not state.stray_runs:
        return True
    if state.signed_off_at is None or lease.silent_since is None:
        return False
    if now < _lease_ends_by(state, state.signed_off_at):
        return False
    return all(run.end_reported for run in state.runs.values())


def _lease_ends_by(state: WorkerState, signed_off_at: float) -> float:
    # A former process of the agent may have extended the lease last.
    latest = signed_off_at + state.timing.expiry_s
    return max(latest, state.lease.expires_at)
