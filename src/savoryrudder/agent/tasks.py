"""Accept, run, withdraw and end tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.agent.effects import CallUpstream
from savoryrudder.agent.effects import StopUpstreamCall
from savoryrudder.agent.records import ENDED
from savoryrudder.agent.records import RUNNING
from savoryrudder.agent.records import UNKNOWN
from savoryrudder.agent.records import UNSTARTED
from savoryrudder.agent.records import WAITING
from savoryrudder.agent.records import Record
from savoryrudder.agent.records import UpstreamCall
from savoryrudder.protocol import messages
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.agent.events import UpstreamFinished
    from savoryrudder.agent.state import AgentState
    from savoryrudder.agent.turn import Turn

# Grace period for the upstream client to report a missed deadline itself,
# before the agent records the outcome as unknown.
_DEADLINE_GRACE_S: Final = 1.0
_DEADLINE_PASSED: Final = 'deadline-passed'


def handle_start(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Start,
) -> None:
    """Accept a start unless it is a duplicate, fenced or refused."""
    link = state.links[entry]
    key = (message.submission, message.task)
    if message.partition != partition_of(message.submission):
        _close_session(state, turn, entry, 'wrong-partition')
        return
    had_credit = link.credits > 0
    link.credits -= had_credit
    record = state.records.find(key)
    if not _accept_epoch(state, turn, entry, message):
        turn.reallocate = True
        # A rejection states that the task never started, which is wrong if
        # there is a record of an accepted task.
        if record is None or record.state == UNSTARTED:
            _send_rejection(turn, entry, key, 'stale-epoch')
        return
    if record:
        _answer_duplicate(turn, entry, record)
        return
    if not had_credit:
        # Entry and agent disagree about the entry's credits; a new session
        # starts from zero on both sides.
        _close_session(state, turn, entry, 'start-without-credit')
        return
    reason = _refusal_reason(state, message)
    if reason:
        state.records.mark_unstarted(key, turn.now, reason)
        _send_rejection(turn, entry, key, reason)
        return
    _accept_task(state, turn, entry, message)


def fill_slots(state: AgentState, turn: Turn) -> None:
    """Call the upstream for waiting tasks, earliest deadline first."""
    while state.waiting and len(state.calls) < state.identity.slots:
        record = min(state.waiting.values(), key=_deadline_of)
        if _deadline_of(record) <= turn.now:
            reject_waiting(state, turn, record, _DEADLINE_PASSED)
            continue
        state.waiting.pop(record.key)
        _call_upstream(state, turn, record)


def reject_waiting(
    state: AgentState,
    turn: Turn,
    record: Record,
    reason: str,
) -> None:
    """Reject a waiting task to its owner without starting it."""
    _remove_waiting(state, turn, record, reason)
    _reject_to_owner(state, turn, record.key, reason)


def check_deadlines(state: AgentState, turn: Turn) -> None:
    """Reject overdue waiting tasks and record overdue calls as unknown."""
    for waiting in tuple(state.waiting.values()):
        if _deadline_of(waiting) <= turn.now:
            reject_waiting(state, turn, waiting, _DEADLINE_PASSED)
    limit = turn.now - _DEADLINE_GRACE_S
    for running in state.calls.values():
        if running.state == RUNNING and _deadline_of(running) <= limit:
            # The slot stays occupied: the upstream may still be working.
            _record_end(state, turn, running, UNKNOWN, b'', _DEADLINE_PASSED)


def handle_upstream_finished(
    state: AgentState, turn: Turn, event: UpstreamFinished
) -> None:
    """Record the end of an upstream call and report it."""
    record = state.calls.pop(event.task, None)
    if record is None:
        turn.count('late_upstream_results')
        return
    state.remove_active_task(record.entry)
    turn.reallocate = True
    if record.state != RUNNING:
        record.call = None
        turn.count('late_upstream_results')
        return
    if event.outcome == 'not-run':
        state.records.mark_unstarted(record.key, turn.now, event.outcome)
        _reject_to_owner(state, turn, record.key, event.outcome)
        return
    outcome = event.outcome if event.outcome in ENDED else UNKNOWN
    _record_end(state, turn, record, outcome, event.result, event.reason)
    record.call = None


def handle_acknowledge(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Acknowledge,
) -> None:
    """Record which results the owner holds."""
    acknowledged_count = sum(
        state.records.acknowledge(key, turn.now)
        for key in message.tasks
        if state.owns(entry, partition_of(key[0]))
    )
    if not acknowledged_count:
        turn.count('wasted_messages')


def handle_withdraw(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Withdraw,
) -> None:
    """Drop unstarted tasks, stop idempotent ones, and report which started."""
    unstarted: list[messages.TaskKey] = []
    started: list[messages.TaskKey] = []
    for key in message.tasks:
        if _withdraw_task(state, turn, entry, key):
            unstarted.append(key)
        else:
            started.append(key)
    turn.send(entry, messages.Withdrawn(tuple(unstarted), tuple(started)))


def _withdraw_task(
    state: AgentState,
    turn: Turn,
    entry: str,
    key: messages.TaskKey,
) -> bool:
    """Withdraw a task; return whether it has not started and never will."""
    if not state.owns(entry, partition_of(key[0])):
        # A former owner must not stop tasks that the present owner relies on.
        return False
    record = state.records.find(key)
    if record is None:
        state.records.mark_unstarted(key, turn.now, 'withdrawn')
        return True
    if record.state == WAITING:
        _remove_waiting(state, turn, record, 'withdrawn')
        return True
    call = record.call
    if call and call.idempotent and not call.stopping:
        call.stopping = True
        turn.effects.append(StopUpstreamCall(key))
    return record.state == UNSTARTED


def _accept_epoch(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Start,
) -> bool:
    partition = partition_of(message.submission)
    if state.accept_epoch(entry, partition, message.epoch):
        state.links[entry].claimed.add(partition)
        return True
    turn.log(
        'start-fenced',
        entry=entry,
        partition=partition,
        epoch=message.epoch,
        owner=state.ownership[partition].entry,
    )
    return False


def _close_session(
    state: AgentState,
    turn: Turn,
    entry: str,
    reason: str,
) -> None:
    """End the session of an entry that violates the protocol."""
    state.links.pop(entry)
    turn.effects.append(CloseLink(entry, reason))
    turn.count('protocol_violations')
    turn.log('link-broken-off', entry=entry, reason=reason)
    turn.reallocate = True


def _refusal_reason(state: AgentState, message: messages.Start) -> str:
    if state.draining:
        return 'leaving'
    if message.deadline_ms <= 0:
        return _DEADLINE_PASSED
    if state.at_limit:
        return 'overloaded'
    return ''


def _answer_duplicate(turn: Turn, entry: str, record: Record) -> None:
    turn.count('duplicates')
    turn.reallocate = True
    if record.state == UNSTARTED:
        turn.send(entry, messages.Rejected(*record.key, record.reason))
    elif record.state in ENDED:
        turn.reports.append((entry, record))


def _accept_task(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Start,
) -> None:
    call = UpstreamCall(
        message.operation,
        message.payload,
        turn.now + message.deadline_ms / MS_PER_S,
        message.idempotent,
        message.trace,
    )
    key = (message.submission, message.task)
    record = Record(key, entry, WAITING, call)
    state.records.add(record)
    state.add_active_task(entry)
    if len(state.calls) < state.identity.slots:
        _call_upstream(state, turn, record)
    else:
        state.waiting[key] = record


def _call_upstream(state: AgentState, turn: Turn, record: Record) -> None:
    call = record.call
    assert call
    record.state = RUNNING
    call.started_at = turn.now
    state.calls[record.key] = record
    turn.count('starts')
    turn.effects.append(
        CallUpstream(
            record.key,
            call.operation,
            call.payload,
            max(1, round((call.deadline - turn.now) * MS_PER_S)),
            call.trace,
        ),
    )
    call.payload = b''


def _record_end(
    state: AgentState,
    turn: Turn,
    record: Record,
    outcome: str,
    result: bytes,
    reason: str,
) -> None:
    call = record.call
    assert call
    duration = turn.now - call.started_at
    record.duration_ms = round(duration * MS_PER_S)
    state.records.finish(record, turn.now, outcome, result, reason)
    turn.count(f'finished_{outcome}')
    owner = state.linked_owner(partition_of(record.key[0]))
    if owner:
        turn.reports.append((owner, record))


def _remove_waiting(
    state: AgentState,
    turn: Turn,
    record: Record,
    reason: str,
) -> None:
    state.waiting.pop(record.key)
    state.remove_active_task(record.entry)
    state.records.mark_unstarted(record.key, turn.now, reason)
    turn.reallocate = True


def _reject_to_owner(
    state: AgentState, turn: Turn, key: messages.TaskKey, reason: str
) -> None:
    owner = state.linked_owner(partition_of(key[0]))
    if owner:
        _send_rejection(turn, owner, key, reason)


def _send_rejection(
    turn: Turn, entry: str, key: messages.TaskKey, reason: str
) -> None:
    turn.send(entry, messages.Rejected(*key, reason))
    counter_suffix = reason.replace('-', '_')
    turn.count(f'rejected_{counter_suffix}')
    turn.reallocate = True


def _deadline_of(record: Record) -> float:
    assert record.call
    return record.call.deadline
