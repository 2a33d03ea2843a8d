"""Apply events to the state of an entry and collect the effects."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import TypeAlias

from savoryrudder.entry import agents
from savoryrudder.entry import answers
from savoryrudder.entry import configuration
from savoryrudder.entry import dispatching
from savoryrudder.entry import draining
from savoryrudder.entry import events
from savoryrudder.entry import handover
from savoryrudder.entry import membership
from savoryrudder.entry import partition_map
from savoryrudder.entry import partitions
from savoryrudder.entry import peers
from savoryrudder.entry import refusals
from savoryrudder.entry import reports
from savoryrudder.entry import routing
from savoryrudder.entry import submissions
from savoryrudder.entry import terms
from savoryrudder.entry.turn import Turn
from savoryrudder.protocol import messages
from savoryrudder.utils.identifiers import is_entry_name

if TYPE_CHECKING:
    from savoryrudder.entry.effects import EntryEffect
    from savoryrudder.entry.state import EntryState


_EventHandler: TypeAlias = Callable[[Turn, Any], None]
_MessageHandler: TypeAlias = Callable[[Turn, str, Any], None]


def reduce(state: EntryState, event: events.EntryEvent) -> list[EntryEffect]:
    """Apply one event to the state and return the effects.

    The state is changed in place. The effects are to be executed in order.
    """
    turn = Turn(state, event.now, getattr(event, 'wall', 0))
    _EVENT_HANDLERS[type(event)](turn, event)
    if not state.exited:
        dispatching.dispatch(turn)
    return turn.effects


def _handle_link_up(turn: Turn, event: events.LinkUp) -> None:
    turn.count('links_up')
    if is_entry_name(event.peer):
        peers.send_hello(turn, event.peer)


def _handle_link_down(turn: Turn, event: events.LinkDown) -> None:
    state = turn.state
    link = state.agents.get(event.peer)
    if link is not None and link.session == event.session:
        turn.wall = event.wall
        agents.handle_link_down(turn, event.peer, event.reason)
    peer = state.peers.get(event.peer)
    if peer is not None and peer.session == event.session:
        peers.handle_peer_down(turn, event.peer, event.reason)


def _handle_message(turn: Turn, event: events.MessageReceived) -> None:
    message = event.message
    if isinstance(message, messages.Hello):
        agents.handle_hello(turn, event.session, message)
    elif isinstance(message, messages.PeerHello):
        peers.handle_peer_hello(turn, event.session, message)
    elif _accept_session(turn, event):
        _MESSAGE_HANDLERS[type(message)](turn, event.peer, message)
    else:
        turn.count('stale_session_messages')
        return
    configuration.track_revision(turn, event.peer, event.revision)


def _accept_session(turn: Turn, event: events.MessageReceived) -> bool:
    state = turn.state
    agent = state.agents.get(event.peer)
    if agent is not None:
        return agent.session == event.session
    peer = state.peers.get(event.peer)
    if peer is None or peer.session != event.session:
        return False
    peers.record_contact(turn, event.peer)
    return True


def _handle_store_answer(turn: Turn, event: events.StoreAnswered) -> None:
    pending = turn.state.pending_calls.pop(event.call, None)
    if pending is None:
        turn.count('late_store_answers')
        return
    _STORE_HANDLERS[pending.kind](turn, pending.context, event.outcome)


def _handle_tick(turn: Turn, event: events.Tick) -> None:
    membership.maintain_membership(turn)
    partition_map.balance(turn)
    peers.send_peer_updates(turn)
    peers.remove_stale_peers(turn)
    _expire(turn)
    routing.retry_parked(turn)
    agents.send_agent_updates(turn)
    terms.refresh_terms(turn)
    dispatching.report_demand(turn)
    draining.advance_drain(turn)


def _expire(turn: Turn) -> None:
    agents.expire_lost_agents(turn)
    submissions.expire_deadlines(turn)
    submissions.queue_delayed_retries(turn)
    submissions.expire_retention(turn)
    answers.expire_waits(turn)
    refusals.expire_refusals(turn)
    partitions.expire_awaited_agents(turn)


_EVENT_HANDLERS: Final = MappingProxyType[type, _EventHandler](
    {
        events.JobSubmitted: routing.handle_submit,
        events.AnswerRequested: routing.handle_fetch,
        events.JobCancelled: routing.handle_cancel,
        events.CallerDisconnected: routing.handle_caller_disconnected,
        events.LinkUp: _handle_link_up,
        events.LinkDown: _handle_link_down,
        events.MessageReceived: _handle_message,
        events.StoreAnswered: _handle_store_answer,
        events.Tick: _handle_tick,
        events.ConfigSubmitted: configuration.handle_config_submitted,
        events.ReportRequested: reports.handle_report_requested,
        events.AgentDrainRequested: reports.handle_agent_drain,
        events.DrainRequested: draining.handle_drain,
    }
)

_MESSAGE_HANDLERS: Final = MappingProxyType[type, _MessageHandler](
    {
        messages.Records: agents.handle_records,
        messages.Finished: agents.handle_finished,
        messages.Rejected: agents.handle_rejected,
        messages.Withdrawn: agents.handle_withdrawn,
        messages.GrantCredits: lambda turn, agent, message: (
            turn.state.fleet.add_credits(
                agent,
                message.credits,
            )
        ),
        messages.RecallCredits: lambda turn, agent, message: (
            agents.handle_recall(
                turn,
                agent,
                message.credits,
            )
        ),
        messages.Leaving: lambda turn, agent, _: turn.state.fleet.mark_leaving(
            agent,
        ),
        messages.Heartbeat: lambda turn, peer, _: None,
        messages.Roster: peers.handle_roster,
        messages.RosterAcknowledged: lambda turn, peer, message: (
            peers.handle_roster_held(
                turn,
                peer,
                message.sequence,
            )
        ),
        messages.Promise: peers.handle_promise,
        messages.HandOver: lambda turn, _, message: handover.handle_hand_over(
            turn,
            message,
        ),
        messages.Forward: routing.handle_forward,
        messages.ForwardAnswer: lambda turn, _, message: (
            routing.handle_forward_answer(turn, message.request, message.answer)
        ),
        messages.FetchConfig: lambda turn, peer, _: configuration.send_config(
            turn,
            peer,
        ),
        messages.Config: lambda turn, _, message: configuration.handle_config(
            turn,
            message,
        ),
    }
)

_STORE_HANDLERS: Final = MappingProxyType[
    str, Callable[[Turn, Any, Any], None]
](
    {
        'lease': lambda turn, _, outcome: membership.handle_lease(
            turn, outcome
        ),
        'watch': lambda turn, _, outcome: membership.handle_snapshot(
            turn,
            outcome,
        ),
        'register': membership.handle_registered,
        'revoke': lambda turn, _, outcome: None,
        'read-peer': peers.handle_read_peer,
        'read-map': lambda turn, _, outcome: partition_map.handle_read_map(
            turn,
            outcome,
        ),
        'swap-map': partition_map.handle_swapped_map,
        'swap-config': configuration.handle_swapped_config,
        'read-config': configuration.handle_read_config,
        'read-terms': terms.handle_read_terms,
        'swap-terms': terms.handle_swapped_terms,
    }
)
