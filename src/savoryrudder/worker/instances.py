"""Follow the executor from one instance to the next.

Any process may send a heartbeat that names an executor, and one may be delayed
until its sender has ended. So a heartbeat of another instance only makes it a
candidate: it takes the place of the executor once it has answered a call by its
name, and the former instance has ended. Start times do not tell which of two
instances is the later one, as they are read from a clock that may be set back.

An executor may restart under its former name. Nothing of the former instance
runs then, but calls to it may still arrive, and the new one has seen no fencing
token. So the agent raises its token, and what the list of runs in the answer to
a call with the raised token does not show has ended and cannot start any more.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.worker import departures
from savoryrudder.worker import runs
from savoryrudder.worker import verdicts
from savoryrudder.worker.effects import ProbeInstance
from savoryrudder.worker.lease import Health
from savoryrudder.worker.lease import Lease
from savoryrudder.worker.state import Candidate

if TYPE_CHECKING:
    from savoryrudder.worker.events import ExecutorHeartbeat
    from savoryrudder.worker.events import InstanceProbed
    from savoryrudder.worker.events import RenewalAnswered
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

_PROBE_RETRY_S: Final = 0.1
# An instance that lives has sent another heartbeat by then.
_CANDIDATE_TIMEOUT_S: Final = 3


def record_heartbeat(
    state: WorkerState,
    turn: Turn,
    heartbeat: ExecutorHeartbeat,
) -> None:
    """Record a heartbeat of the executor, or probe the one that it names."""
    if state.heartbeat is None:
        # It takes no tasks before it has answered a call.
        _replace(state, turn, heartbeat)
    elif _is_current(state, heartbeat):
        _update(state, turn, state.heartbeat, heartbeat)
    else:
        _propose(state, turn, heartbeat)


def apply_probe(
    state: WorkerState,
    turn: Turn,
    probed: InstanceProbed,
) -> None:
    """Replace the executor by a candidate that has proved to be there."""
    candidate = state.candidate
    if candidate is None or candidate.heartbeat.instance != probed.executor:
        return
    candidate.probing = False
    candidate.probe_at = turn.now + _PROBE_RETRY_S
    if probed.verdict == verdicts.FENCED:
        runs.raise_fence(state, turn, state.fence)
    reason = _refusal_reason(state, turn.now, candidate, probed)
    if reason:
        _refuse(state, turn, candidate, reason)
    elif probed.verdict == verdicts.PRESENT and not is_end_awaited(state):
        _replace(state, turn, candidate.heartbeat)


def probe_if_due(state: WorkerState, turn: Turn) -> None:
    """Probe a candidate again that has not answered."""
    candidate = state.candidate
    if candidate is not None and turn.now >= next_probe_at(state):
        candidate.probing = True
        turn.effects.append(
            ProbeInstance(candidate.heartbeat.instance, state.fence),
        )


def is_probe_wanted(state: WorkerState, call: ProbeInstance) -> bool:
    """Return whether a probe that has waited for its turn is to be sent.

    Another heartbeat may have named another candidate meanwhile.
    """
    candidate = state.candidate
    return (
        candidate is not None and candidate.heartbeat.instance == call.executor
    )


def next_probe_at(state: WorkerState) -> float:
    """Return when the next probe is due; infinity if none is needed."""
    candidate = state.candidate
    if candidate is None or candidate.probing:
        return math.inf
    return candidate.probe_at


def is_end_awaited(state: WorkerState) -> bool:
    """Return whether a candidate waits for the end of the executor."""
    candidate = state.candidate
    if candidate is None:
        return False
    return not _has_former_ended(state, candidate.heartbeat.address)


def begin_if_other(
    state: WorkerState,
    turn: Turn,
    answer: RenewalAnswered,
) -> bool:
    """Begin with the instance that answered if it is another one.

    The call was sent after the current instance was heard of, so that one which
    answers now is a later one.
    """
    known_ms = state.lease.started_ms
    if not known_ms or answer.started_ms in {0, known_ms}:
        return False
    _begin(state, turn, answer.started_ms, answer.clock_ms)
    return True


def _is_current(state: WorkerState, heartbeat: ExecutorHeartbeat) -> bool:
    current = state.heartbeat
    return (
        current is not None
        and heartbeat.executor == current.executor
        and heartbeat.started_ms == state.lease.started_ms
    )


def _update(
    state: WorkerState,
    turn: Turn,
    previous: ExecutorHeartbeat,
    heartbeat: ExecutorHeartbeat,
) -> None:
    if heartbeat.started_ms == previous.started_ms:
        if heartbeat.sequence < previous.sequence:
            turn.count('outdated_heartbeats')
            return
        if _is_contradiction(state, previous, heartbeat):
            state.contradiction = heartbeat
            turn.count('refused_heartbeats')
            turn.log(
                'heartbeat-contradicts',
                executor=heartbeat.executor,
                service=heartbeat.service,
                address=heartbeat.address,
            )
            return
    state.contradiction = None
    state.heartbeat = heartbeat
    departures.revoke_if_newer(state, turn, previous, heartbeat)
    if previous.draining != heartbeat.draining:
        turn.log('executor-drains', executor=heartbeat.executor)
    state.lease.advance_clock(turn.now, heartbeat.clock_ms)


def _is_contradiction(
    state: WorkerState,
    previous: ExecutorHeartbeat,
    heartbeat: ExecutorHeartbeat,
) -> bool:
    # An instance keeps its service and address. If the first heartbeat named
    # others, the executor repeats the true ones.
    named = (heartbeat.service, heartbeat.address)
    if named == (previous.service, previous.address):
        return False
    former = state.contradiction
    return former is None or named != (former.service, former.address)


def _propose(
    state: WorkerState,
    turn: Turn,
    heartbeat: ExecutorHeartbeat,
) -> None:
    candidate = state.candidate
    if candidate is None or not _is_same(candidate.heartbeat, heartbeat):
        state.candidate = Candidate(heartbeat, turn.now, turn.now)
        probe_if_due(state, turn)
    elif heartbeat.sequence >= candidate.heartbeat.sequence:
        candidate.heartbeat = heartbeat


def _is_same(first: ExecutorHeartbeat, second: ExecutorHeartbeat) -> bool:
    return (
        first.instance == second.instance
        and first.started_ms == second.started_ms
    )


def _refusal_reason(
    state: WorkerState,
    now: float,
    candidate: Candidate,
    probed: InstanceProbed,
) -> str:
    is_present = probed.verdict == verdicts.PRESENT
    if is_present and probed.started_ms != candidate.heartbeat.started_ms:
        return 'another instance answered'
    if probed.verdict == verdicts.ABSENT:
        return 'another instance is there'
    if now < candidate.since + _CANDIDATE_TIMEOUT_S:
        return ''
    if not is_present:
        return 'no answer'
    return 'the executor is still there' if is_end_awaited(state) else ''


def _refuse(
    state: WorkerState,
    turn: Turn,
    candidate: Candidate,
    reason: str,
) -> None:
    state.candidate = None
    turn.count('refused_instances')
    turn.log(
        'instance-refused',
        executor=candidate.heartbeat.executor,
        address=candidate.heartbeat.address,
        born_ms=candidate.heartbeat.started_ms,
        reason=reason,
        age_s=turn.now - candidate.since,
    )


def _has_former_ended(state: WorkerState, address: str) -> bool:
    # An address has one listener, so that a candidate that answers at the
    # executor's has taken its place.
    current = state.heartbeat
    if current is None or current.address == address:
        return True
    if state.lease.silent_since is None:
        return False
    return all(run.end_reported for run in state.runs.values())


def _replace(
    state: WorkerState,
    turn: Turn,
    heartbeat: ExecutorHeartbeat,
) -> None:
    previous = state.heartbeat
    has_begun = _is_current(state, heartbeat)
    state.heartbeat = heartbeat
    state.candidate = None
    state.contradiction = None
    if has_begun:
        return
    if previous is None or previous.executor != heartbeat.executor:
        # The new instance refuses calls to one with another name.
        runs.mark_all_lost(state, turn, 'executor restarted')
    _begin(state, turn, heartbeat.started_ms, heartbeat.clock_ms)


def _begin(
    state: WorkerState,
    turn: Turn,
    started_ms: int,
    clock_ms: int,
) -> None:
    # The list of runs of the new instance settles those that are tracked.
    state.fence += 1
    state.signed_off_at = None
    state.lease = Lease(
        started_ms,
        first_fence=state.fence,
        expires_at=state.lease.expires_at,
    )
    state.lease.record_clock(turn.now, clock_ms)
    state.health = Health()
    state.remove_stray_runs(state.stray_runs)
    executor = state.executor
    if executor is not None:
        turn.log(
            'executor-seen',
            executor=executor.name,
            address=executor.address,
            born_ms=started_ms,
        )
