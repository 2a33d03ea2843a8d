"""Reduce the events of the agent role to state changes and effects."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import TypeAlias

from savoryrudder.agent import credits as credit_rules
from savoryrudder.agent import events
from savoryrudder.agent import tasks
from savoryrudder.agent.records import split_by_size
from savoryrudder.agent.report_delay import delay_reports
from savoryrudder.agent.state import Link
from savoryrudder.agent.turn import Turn
from savoryrudder.protocol import messages
from savoryrudder.utils.effects import Exit
from savoryrudder.utils.identifiers import partition_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from savoryrudder.agent.effects import AgentEffect
    from savoryrudder.agent.state import AgentState

_Handlers: TypeAlias = 'Mapping[type[Any], Callable[..., None]]'

_WASTED_MESSAGES: Final = 'wasted_messages'


def reduce(state: AgentState, event: events.AgentEvent) -> list[AgentEffect]:
    """Apply an event to the state in place and return the effects."""
    turn = Turn(event.now)
    _EVENT_HANDLERS[type(event)](state, turn, event)
    if turn.reallocate:
        tasks.fill_slots(state, turn)
        if not delay_reports(state, turn):
            _grant_credits(state, turn)
    else:
        _send_reports(turn, {})
    if state.draining:
        _exit_when_drained(state, turn)
    return turn.effects


def _grant_credits(state: AgentState, turn: Turn) -> None:
    granted = credit_rules.grant(state)
    _send_reports(turn, granted)
    for entry, amount in granted.items():
        turn.send(entry, messages.GrantCredits(amount))
    _send_recalls(turn, credit_rules.recall(state, turn.now))


def _send_reports(turn: Turn, granted: dict[str, int]) -> None:
    for entry, record in turn.reports:
        amount = granted.pop(entry, 0)
        turn.send(entry, messages.Finished(record.to_message(), amount))


def _send_recalls(turn: Turn, recalls: dict[str, int]) -> None:
    for entry, amount in recalls.items():
        turn.send(entry, messages.RecallCredits(amount))


def _exit_when_drained(state: AgentState, turn: Turn) -> None:
    if state.exited:
        return
    unfinished = len(state.calls) + state.records.undelivered
    # While credits are outstanding, a start may still be in flight.
    if unfinished + state.granted_credits and turn.now < state.exit_at:
        return
    if unfinished:
        turn.log(
            'stop-timeout',
            running=len(state.calls),
            undelivered=state.records.undelivered,
        )
    state.exited = True
    turn.effects.append(Exit())


def _handle_link_up(
    state: AgentState,
    turn: Turn,
    event: events.LinkUp,
) -> None:
    state.links[event.entry] = Link(event.session)
    turn.send(event.entry, state.hello)
    turn.log('link-up', entry=event.entry, session=event.session)
    turn.reallocate = True


def _handle_link_down(
    state: AgentState,
    turn: Turn,
    event: events.LinkDown,
) -> None:
    link = state.links.get(event.entry)
    if link is None or link.session != event.session:
        return
    state.links.pop(event.entry)
    turn.log(
        'link-down',
        entry=event.entry,
        session=event.session,
        reason=event.reason,
    )
    turn.reallocate = True


def _handle_message(
    state: AgentState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    link = state.links.get(event.entry)
    if link is None or link.session != event.session:
        turn.count(_WASTED_MESSAGES)
        return
    if event.revision > state.revision:
        _request_config(state, turn, event)
    handler = _MESSAGE_HANDLERS.get(type(event.message))
    if handler is None:
        turn.count(_WASTED_MESSAGES)
        return
    handler(state, turn, event.entry, event.message)


def _request_config(
    state: AgentState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    if isinstance(event.message, messages.Config):
        return
    link = state.links[event.entry]
    if link.fetching_config or link.requested_revision >= event.revision:
        return
    requested_elsewhere = any(
        other.fetching_config and other.requested_revision >= event.revision
        for other in state.links.values()
    )
    if not requested_elsewhere:
        link.fetching_config = True
        link.requested_revision = event.revision
        turn.send(event.entry, messages.FetchConfig())


def _handle_claim(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Claim,
) -> None:
    link = state.links[entry]
    accepted: list[int] = []
    stale: list[int] = []
    for partition, epoch in message.partitions:
        if state.accept_epoch(entry, partition, epoch):
            accepted.append(partition)
        else:
            stale.append(partition)
    link.claimed.update(accepted)
    _send_records(state, turn, entry, message.request, accepted, stale)
    if link.ready:
        return
    link.ready = True
    _grant_credits(state, turn)
    _send_recalls(turn, credit_rules.recall_for_new_link(state, turn.now, link))


def _send_records(
    state: AgentState,
    turn: Turn,
    entry: str,
    request: int,
    accepted: list[int],
    stale: list[int],
) -> None:
    link = state.links[entry]
    sent, withheld = split_by_size(
        state.records.select(accepted),
        state.limits.page_bytes,
    )
    exported = [record.to_message() for record in sent]
    exported += [record.to_message(withheld=True) for record in withheld]
    turn.send(entry, messages.Records(request, tuple(exported), tuple(stale)))
    link.withheld.extend(withheld)


def _send_withheld(state: AgentState, turn: Turn) -> None:
    """Send one page of the withheld records on each link."""
    for entry, link in state.links.items():
        size = 0
        while link.withheld and size < state.limits.page_bytes:
            record = link.withheld.popleft()
            size += len(record.result)
            if state.linked_owner(partition_of(record.key[0])) == entry:
                turn.reports.append((entry, record))


def _handle_return(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.ReturnCredits,
) -> None:
    link = state.links[entry]
    if not credit_rules.close_recall(link, message.credits, turn.now):
        turn.count(_WASTED_MESSAGES)
    turn.reallocate = True


def _handle_demand(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Demand,
) -> None:
    link = state.links[entry]
    queued = max(0, message.queued)
    prefetch = max(0, message.prefetch)
    if (link.demand, link.prefetch) == (queued, prefetch):
        turn.count(_WASTED_MESSAGES)
        return
    link.demand = queued
    link.prefetch = prefetch
    turn.reallocate = True


def _handle_fetch_config(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.FetchConfig,
) -> None:
    turn.send(entry, messages.Config(state.revision, state.config_text))


def _handle_config(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Config,
) -> None:
    state.links[entry].fetching_config = False
    if message.revision <= state.revision:
        turn.count(_WASTED_MESSAGES)
        return
    state.revision = message.revision
    state.config_text = message.text


def _ignore(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Message,
) -> None:
    """Accept a message that only the runtime acts on."""


def _handle_tick(state: AgentState, turn: Turn, event: events.Tick) -> None:
    tasks.check_deadlines(state, turn)
    _send_withheld(state, turn)
    dropped = state.records.expire(turn.now)
    if dropped:
        turn.count('results_dropped', dropped)
    if state.at_limit != state.was_at_limit:
        state.was_at_limit = state.at_limit
        transition = 'reached' if state.at_limit else 'cleared'
        turn.log(
            f'record-limit-{transition}',
            records=len(state.records),
            result_bytes=state.records.result_bytes,
        )
    turn.reallocate = True


def _handle_leaving(
    state: AgentState,
    turn: Turn,
    entry: str,
    message: messages.Leaving,
) -> None:
    """Drain the agent; an entry has passed on an operator's request."""
    request = events.DrainRequested(turn.now, state.limits.stop_timeout_s)
    _handle_drain(state, turn, request)


def _handle_drain(
    state: AgentState,
    turn: Turn,
    event: events.DrainRequested,
) -> None:
    if state.draining:
        return
    state.draining = True
    state.exit_at = turn.now + event.timeout_s
    turn.log('leaving', running=len(state.calls), timeout_s=event.timeout_s)
    for entry in state.links:
        turn.send(entry, messages.Leaving())
    for record in tuple(state.waiting.values()):
        tasks.reject_waiting(state, turn, record, 'leaving')
    turn.reallocate = True


_EVENT_HANDLERS: Final[_Handlers] = MappingProxyType(
    {
        events.LinkUp: _handle_link_up,
        events.LinkDown: _handle_link_down,
        events.MessageReceived: _handle_message,
        events.UpstreamFinished: tasks.handle_upstream_finished,
        events.Tick: _handle_tick,
        events.DrainRequested: _handle_drain,
    },
)
_MESSAGE_HANDLERS: Final[_Handlers] = MappingProxyType(
    {
        messages.Acknowledge: tasks.handle_acknowledge,
        messages.Claim: _handle_claim,
        messages.Config: _handle_config,
        messages.Demand: _handle_demand,
        messages.FetchConfig: _handle_fetch_config,
        messages.Heartbeat: _ignore,
        messages.Leaving: _handle_leaving,
        messages.ReturnCredits: _handle_return,
        messages.Start: tasks.handle_start,
        messages.Welcome: _ignore,
        messages.Withdraw: tasks.handle_withdraw,
    },
)
