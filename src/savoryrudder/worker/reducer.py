"""Turn the events of an agent into effects."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import TypeAlias

from savoryrudder.protocol import relay
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Exit
from savoryrudder.utils.effects import SetCarriesWork
from savoryrudder.worker import departures
from savoryrudder.worker import evacuation
from savoryrudder.worker import events
from savoryrudder.worker import instances
from savoryrudder.worker import orphans
from savoryrudder.worker import relays
from savoryrudder.worker import renewal
from savoryrudder.worker import reports
from savoryrudder.worker import runs
from savoryrudder.worker import shares
from savoryrudder.worker import stops
from savoryrudder.worker import suspension
from savoryrudder.worker.deadlines import RETIREMENT_GRACE_S
from savoryrudder.worker.state import EntryLink
from savoryrudder.worker.turn import Turn

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from savoryrudder.protocol.messages import Message
    from savoryrudder.worker.effects import WorkerEffect
    from savoryrudder.worker.state import WorkerState

_Handlers: TypeAlias = 'Mapping[type[Any], Callable[..., None]]'


def reduce(
    state: WorkerState,
    event: events.WorkerEvent,
) -> list[WorkerEffect]:
    """Apply an event to the state in place and return its effects."""
    turn = Turn(event.now)
    # A start would extend a lease that became due to be withheld meanwhile, and
    # the event may release one.
    orphans.withhold_lease(state, turn)
    _EVENT_HANDLERS[type(event)](state, turn, event)
    orphans.withhold_lease(state, turn)
    departures.forget_if_ended(state, turn)
    orphans.tell_entries(state, turn)
    renewal.renew_if_due(state, turn)
    stops.send_due(state, turn)
    reports.send_reports(state, turn)
    _update_links(state, turn)
    _exit_if_drained(state, turn)
    turn.write_ends()
    return turn.effects


def _handle_link_up(
    state: WorkerState,
    turn: Turn,
    event: events.LinkUp,
) -> None:
    state.links[event.link] = EntryLink()
    identity = state.identity
    turn.send(
        event.link,
        work.AgentHello(
            identity.agent,
            identity.incarnation,
            identity.zone,
            batches=True,
        ),
    )


def _handle_link_down(
    state: WorkerState,
    turn: Turn,
    event: events.LinkDown,
) -> None:
    link = state.links.pop(event.link, None)
    if link is None:
        return
    turn.log('entry-lost', entry=link.incarnation, reason=event.reason)
    if link.incarnation and not state.find_link(link.incarnation):
        state.lost_owners[link.incarnation] = turn.now
    relays.announce_loss(state, turn, link.entry)


def _handle_links_retired(
    state: WorkerState,
    turn: Turn,
    event: events.LinksRetired,
) -> None:
    for name, link in state.links.items():
        if name not in event.links:
            link.retired_at = None
        elif link.retired_at is None:
            link.retired_at = turn.now
            turn.log('link-retired', entry=link.incarnation)


def _close_retired_links(state: WorkerState, turn: Turn) -> None:
    cutoff = turn.now - RETIREMENT_GRACE_S
    for name, link in state.links.items():
        if link.retired_at is None or link.retired_at > cutoff:
            continue
        if not state.has_runs_of(link.incarnation):
            turn.effects.append(CloseLink(name, 'another entry is linked'))


def _handle_message(
    state: WorkerState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    link = state.links.get(event.link)
    message = event.message
    if link is None:
        turn.count('wasted_messages')
    elif isinstance(message, work.EntryHello):
        _handle_entry_hello(state, turn, event.link, message)
    elif link.incarnation:
        _handle_entry_message(state, turn, event.link, message)


def _handle_entry_message(
    state: WorkerState,
    turn: Turn,
    link: str,
    message: Message,
) -> None:
    match message:
        case work.StartTask():
            runs.start(state, turn, link, message)
        case work.StartTasks():
            for start in message.each():
                runs.start(state, turn, link, start)
        case work.StopTask():
            stops.stop_on_request(state, link, message)
        case work.EndsAcknowledged():
            owner = state.links[link].incarnation
            renewal.discard_ends(state, owner, message.run_ids)
        case EvacuatedZones():
            evacuation.apply(state, turn, message)
        case relay.FindEntries():
            relays.answer_search(state, turn, link, message)
        case relay.RelayedClaims():
            relays.forward(state, turn, link, message)


def _handle_entry_hello(
    state: WorkerState,
    turn: Turn,
    link: str,
    hello: work.EntryHello,
) -> None:
    previous_link = state.find_link(hello.incarnation)
    if previous_link:
        # The entry has closed the previous link, but its end was not seen here.
        state.links[previous_link].incarnation = ''
    _begin_share(state, turn.now, link)
    state.links[link].incarnation = hello.incarnation
    relays.record_entry(state, turn, link, hello)
    state.lost_owners.pop(hello.incarnation, None)
    turn.log('entry-linked', entry=hello.entry, incarnation=hello.incarnation)
    for end in state.ends.values():
        if end.owner == hello.incarnation:
            turn.send(link, end.message)
    # The list of runs tells that this one is complete.
    orphans.tell_entries(state, turn)
    running = (
        run.run_id
        for run in state.runs.values()
        if run.owner == hello.incarnation and not run.end_reported
    )
    turn.send(link, work.RunningTasks.of(running))


def _begin_share(state: WorkerState, now: float, new_link: str) -> None:
    others = [
        link.recent_work.at(now)
        for link in state.links.values()
        if link.shares_executor
    ]
    recent_work = state.links[new_link].recent_work
    recent_work.add(now, shares.initial_work(others))


def _handle_executor_heartbeat(
    state: WorkerState,
    turn: Turn,
    event: events.ExecutorHeartbeat,
) -> None:
    instances.record_heartbeat(state, turn, event)


def _handle_instance_probed(
    state: WorkerState,
    turn: Turn,
    event: events.InstanceProbed,
) -> None:
    instances.apply_probe(state, turn, event)


def _handle_executor_left(
    state: WorkerState,
    turn: Turn,
    event: events.ExecutorLeft,
) -> None:
    departures.record_sign_off(state, turn, event)


def _handle_start_answered(
    state: WorkerState,
    turn: Turn,
    event: events.StartAnswered,
) -> None:
    runs.apply_start_answer(state, turn, event)


def _handle_stop_answered(
    state: WorkerState,
    turn: Turn,
    event: events.StopAnswered,
) -> None:
    stops.apply_answer(state, turn, event)


def _handle_renewal_answered(
    state: WorkerState,
    turn: Turn,
    event: events.RenewalAnswered,
) -> None:
    renewal.apply_answer(state, turn, event)


def _handle_renewal_failed(
    state: WorkerState,
    turn: Turn,
    event: events.RenewalFailed,
) -> None:
    renewal.apply_failure(state, turn, event)


def _handle_tick(
    state: WorkerState,
    turn: Turn,
    event: events.Tick,
) -> None:
    orphans.stop_runs(state, turn)
    _close_retired_links(state, turn)
    instances.probe_if_due(state, turn)
    renewal.report_expired(state, turn)
    suspension.end_suspension(state, turn)
    cutoff = turn.now - state.timing.retention_s
    for key, end in tuple(state.ends.items()):
        if end.ended_at < cutoff:
            state.ends.pop(key)


def _handle_stalled(
    state: WorkerState,
    turn: Turn,
    event: events.Stalled,
) -> None:
    turn.log('stalled', stall_s=event.stall_s)
    for link in state.links:
        turn.effects.append(CloseLink(link, 'process was stalled'))


def _handle_drain(
    state: WorkerState,
    turn: Turn,
    event: events.DrainRequested,
) -> None:
    if not state.draining:
        turn.log('draining', runs=len(state.runs))
        state.draining = True
        state.exit_at = turn.now + event.timeout_s


def _update_links(state: WorkerState, turn: Turn) -> None:
    for name, link in state.links.items():
        if not link.incarnation:
            continue
        carries_work = state.has_runs_of(link.incarnation)
        if carries_work != link.carries_work:
            link.carries_work = carries_work
            turn.effects.append(SetCarriesWork(name, carries_work))


def _exit_if_drained(state: WorkerState, turn: Turn) -> None:
    if not state.draining or state.exited:
        return
    if state.runs and turn.now < state.exit_at:
        return
    if state.runs:
        turn.log('stop-timeout', running=len(state.runs))
    state.exited = True
    turn.effects.append(Exit())


_EVENT_HANDLERS: Final[_Handlers] = MappingProxyType(
    {
        events.LinkUp: _handle_link_up,
        events.LinkDown: _handle_link_down,
        events.LinksRetired: _handle_links_retired,
        events.MessageReceived: _handle_message,
        events.ExecutorHeartbeat: _handle_executor_heartbeat,
        events.ExecutorLeft: _handle_executor_left,
        events.InstanceProbed: _handle_instance_probed,
        events.StartAnswered: _handle_start_answered,
        events.StopAnswered: _handle_stop_answered,
        events.RenewalAnswered: _handle_renewal_answered,
        events.RenewalFailed: _handle_renewal_failed,
        events.Tick: _handle_tick,
        events.Stalled: _handle_stalled,
        events.DrainRequested: _handle_drain,
    }
)
