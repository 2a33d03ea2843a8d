"""Reach other entries through agents when the link to them is lost.

An entry that has lost another one cannot tell whether that one has died. If an
agent is linked with both, it lives and runs its jobs: the agent relays claims
between them. A relayed entry is a peer like others, on a link that exists in
this process only; it is delegated no jobs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import claims
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch.peers import PeerView
from savoryrudder.dispatch.peers import RelayedEntry
from savoryrudder.protocol import relay
from savoryrudder.protocol import work
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import SetCarriesWork

if TYPE_CHECKING:
    from savoryrudder.dispatch.effects import DispatchEffect
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.protocol.messages import Message

# An entry that is away for longer has no job any more that a caller waits for.
_SEARCH_RETENTION_S: Final = 30
# Claims that were relayed before a link was opened arrive within this time.
_OVERTAKEN_S: Final = 1
# Two entries that lose each other open a path within this time of each other.
_CROSSING_S: Final = 0.2


def search(state: DispatchState, turn: Turn, entry: str) -> None:
    """Ask all agents whether they reach an entry that was lost."""
    state.relayed_entries[entry] = RelayedEntry(turn.now)
    _ask_agents(state, turn)


def expect_members(
    state: DispatchState,
    turn: Turn,
    entries: tuple[str, ...],
) -> None:
    """Wait, after the start, for the claims of the registered entries.

    One that is not linked soon is reached through agents, or not there.
    """
    if turn.now >= state.warm_up_until:
        return
    linked = {peer.entry for peer in state.peers.values()}
    linked.add(state.identity.entry)
    missing = set(entries) - linked - state.relayed_entries.keys()
    for entry in missing:
        state.relayed_entries[entry] = RelayedEntry(
            turn.now,
            expected_until=state.warm_up_until,
        )
    if missing:
        _ask_agents(state, turn)


def ask_agent(state: DispatchState, turn: Turn, link: str) -> None:
    """Ask a newly linked agent for the lost entries."""
    if not state.relayed_entries:
        return
    for relayed in state.relayed_entries.values():
        if not relayed.via:
            relayed.unanswered.add(link)
    turn.send(link, relay.FindEntries(tuple(state.relayed_entries)))


def remove_agent(state: DispatchState, turn: Turn, link: str) -> None:
    """Handle the loss of an agent that may have relayed claims."""
    for entry, relayed in tuple(state.relayed_entries.items()):
        relayed.unanswered.discard(link)
        if relayed.via == link:
            _lose_path(state, turn, entry)


def end(state: DispatchState, turn: Turn, entry: str) -> None:
    """Stop relaying to an entry that is linked again."""
    if state.relayed_entries.pop(entry, None) is not None:
        claims.remove_peer(state, turn, peer_links.relay_link(entry))


def forget_old_searches(state: DispatchState, now: float) -> None:
    """Forget entries that have been away for long."""
    cutoff = now - _SEARCH_RETENTION_S
    for entry, relayed in tuple(state.relayed_entries.items()):
        if not relayed.via and relayed.lost_at < cutoff:
            state.relayed_entries.pop(entry)


def handle_reachable(
    state: DispatchState,
    turn: Turn,
    link: str,
    reachable: relay.EntryReachable,
) -> None:
    """Reach a lost entry through the agent that has told to be linked."""
    relayed = state.relayed_entries.get(reachable.entry)
    if relayed is None or relayed.via:
        return
    peer = PeerView(reachable.entry, reachable.incarnation, reachable.zone)
    _open(state, turn, peer, link)


def handle_unreachable(
    state: DispatchState,
    turn: Turn,
    link: str,
    entry: str,
) -> None:
    """Note that an agent does not reach an entry, or not any more."""
    relayed = state.relayed_entries.get(entry)
    if relayed is None:
        return
    relayed.unanswered.discard(link)
    if relayed.via == link:
        _lose_path(state, turn, entry)


def find_outdated_link(
    state: DispatchState,
    now: float,
    message: relay.RelayedClaims,
) -> str:
    """Return the link to an entry that has lost it and uses a relay instead."""
    for link, peer in state.peers.items():
        is_direct = not peer_links.is_relayed(link)
        if is_direct and peer.entry == message.source:
            is_new = now < peer.linked_at + _OVERTAKEN_S
            return '' if is_new else link
    return ''


def receive(
    state: DispatchState,
    turn: Turn,
    agent_link: str,
    message: relay.RelayedClaims,
) -> list[JobSubmitted]:
    """Handle relayed claims; return submissions to resume."""
    if any(peer.entry == message.source for peer in _direct_peers(state)):
        return []
    link = peer_links.relay_link(message.source)
    former = state.peers.get(link)
    if former is not None and former.incarnation != message.incarnation:
        claims.remove_peer(state, turn, link)
    if message.source not in state.relayed_entries:
        search(state, turn, message.source)
    if link not in state.peers or _opens_other_path(state, agent_link, message):
        claims.remove_peer(state, turn, link)
        peer = PeerView(message.source, message.incarnation, message.zone)
        _open(state, turn, peer, _choose_path(state, turn, agent_link, message))
    resumed: list[JobSubmitted] = []
    for part in _parts_of(message):
        resumed.extend(claims.handle_message(state, turn, link, part))
    return resumed


def route(
    state: DispatchState,
    effects: list[DispatchEffect],
) -> list[DispatchEffect]:
    """Replace what concerns relayed entries by messages to agents."""
    if not state.relayed_entries:
        return effects
    routed: list[DispatchEffect] = []
    for effect in effects:
        match effect:
            case Send(peer, message) if peer_links.is_relayed(peer):
                routed.extend(_wrap(state, peer, message))
            case SetCarriesWork(peer) if peer_links.is_relayed(peer):
                continue
            case CloseLink(peer) if peer_links.is_relayed(peer):
                continue
            case _:
                routed.append(effect)
    return routed


def _direct_peers(state: DispatchState) -> list[PeerView]:
    return [
        peer
        for link, peer in state.peers.items()
        if not peer_links.is_relayed(link)
    ]


def _opens_other_path(
    state: DispatchState,
    agent_link: str,
    message: relay.RelayedClaims,
) -> bool:
    relayed = state.relayed_entries[message.source]
    return message.complete and relayed.via != agent_link


def _choose_path(
    state: DispatchState,
    turn: Turn,
    agent_link: str,
    message: relay.RelayedClaims,
) -> str:
    # If both have just opened a path, the lower name decides on it.
    relayed = state.relayed_entries[message.source]
    is_crossing = turn.now < relayed.opened_at + _CROSSING_S
    is_first = state.identity.entry < message.source
    if relayed.via and is_crossing and is_first:
        return relayed.via
    return agent_link


def _open(
    state: DispatchState,
    turn: Turn,
    peer: PeerView,
    agent_link: str,
) -> None:
    relayed = state.relayed_entries[peer.entry]
    relayed.via = agent_link
    relayed.opened_at = turn.now
    turn.log('peer-relayed', peer=peer.entry, incarnation=peer.incarnation)
    claims.add_peer(state, turn, peer_links.relay_link(peer.entry), peer)


def _lose_path(state: DispatchState, turn: Turn, entry: str) -> None:
    claims.remove_peer(state, turn, peer_links.relay_link(entry))
    search(state, turn, entry)


def _ask_agents(state: DispatchState, turn: Turn) -> None:
    for link in state.agents:
        ask_agent(state, turn, link)


def _parts_of(message: relay.RelayedClaims) -> list[Message]:
    parts: list[Message] = []
    if message.released:
        parts.append(work.JobsReleased(message.released))
    is_greeting = not (
        message.released or message.asked or message.relinquished
    )
    if message.claimed or is_greeting:
        parts.append(
            work.JobsClaimed(
                message.claimed,
                message.complete,
                message.unsettled,
            ),
        )
    parts.extend(work.RelinquishJob(job) for job in message.asked)
    parts.extend(
        work.JobRelinquished(job, verdict)
        for job, verdict in message.relinquished
    )
    return parts


def _wrap(
    state: DispatchState,
    link: str,
    message: Message,
) -> list[DispatchEffect]:
    peer = state.peers.get(link)
    relayed = state.relayed_entries.get(peer.entry) if peer else None
    if peer is None or relayed is None:
        return []
    identity = state.identity
    relayed_claims = relay.RelayedClaims(
        peer.entry,
        identity.entry,
        identity.incarnation,
        identity.zone,
    )
    match message:
        case work.JobsClaimed(jobs, complete, unsettled):
            relayed_claims = relayed_claims._replace(
                claimed=jobs,
                complete=complete,
                unsettled=unsettled,
            )
        case work.JobsReleased(jobs):
            relayed_claims = relayed_claims._replace(released=jobs)
        case work.RelinquishJob(job):
            relayed_claims = relayed_claims._replace(asked=(job,))
        case work.JobRelinquished(job, verdict):
            pair = (job, verdict)
            relayed_claims = relayed_claims._replace(relinquished=(pair,))
        case _:
            return []
    return [Send(relayed.via, relayed_claims)]
