"""Handle the sessions with other entries and their messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry.effects import DisconnectPeer
from savoryrudder.entry.routing import reroute_forwards
from savoryrudder.entry.state import PeerLink
from savoryrudder.entry.state import PeerRoster
from savoryrudder.entry.state import PendingCall
from savoryrudder.protocol.messages import PeerHello
from savoryrudder.protocol.messages import Promise
from savoryrudder.protocol.messages import Roster
from savoryrudder.protocol.messages import RosterAcknowledged
from savoryrudder.store import interface
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn

PROMISE_VALIDITY_MS: Final = 3000
PROMISE_INTERVAL_S: Final = 1
# Roster changes are batched, so that many agents that link at once cause one
# message.
ROSTER_INTERVAL_S: Final = 0.2
RETRY_S: Final = 0.5
# Peers that were silent for longer are removed once their lease has expired.
PEER_RETENTION_S: Final = 120
_REPLACED: Final = 'replaced by a new session'
_REGISTERED_AGAIN: Final = 'this entry registered again'


def send_hello(turn: Turn, name: str) -> None:
    """Send this entry's hello on a new session with another entry."""
    identity = turn.state.identity
    turn.send(name, PeerHello(identity.name, identity.address))


def handle_peer_hello(turn: Turn, session: str, hello: PeerHello) -> None:
    """Start a session with another entry."""
    state = turn.state
    peer = state.peers.get(hello.entry)
    if peer is None:
        peer = PeerLink(hello.entry, hello.address)
        state.peers[hello.entry] = peer
    if peer.session:
        # Messages on the old session are lost; its link-down event follows.
        handle_peer_down(turn, hello.entry, _REPLACED)
    peer.session = session
    peer.heard_at = turn.now
    peer.confirmed_sequence = 0
    peer.unregistered = False
    peer.session_count += 1
    turn.log_change('peer_up', entry=hello.entry)
    _send_roster(turn, peer)
    _send_promise(turn, peer)


def handle_peer_down(turn: Turn, name: str, reason: str) -> None:
    """End the session with another entry."""
    peer = turn.state.peers[name]
    peer.session = ''
    peer.promise_received_until = 0
    turn.log_change('peer_down', entry=name, reason=reason)
    reroute_forwards(turn, name)


def handle_roster(turn: Turn, name: str, message: Roster) -> None:
    """Store a peer's roster and confirm it."""
    turn.state.rosters[name] = PeerRoster(
        message.agents,
        turn.now,
        message.incomplete_until_ms / MS_PER_S,
    )
    turn.send(name, RosterAcknowledged(message.sequence))


def handle_roster_held(turn: Turn, name: str, sequence: int) -> None:
    """Record which roster a peer has confirmed."""
    peer = turn.state.peers[name]
    peer.confirmed_sequence = max(peer.confirmed_sequence, sequence)


def handle_promise(turn: Turn, name: str, message: Promise) -> None:
    """Record a peer's promise not to take over."""
    peer = turn.state.peers[name]
    peer.echo_ms = message.sent_ms
    until = (message.echo_ms + message.validity_ms) / MS_PER_S
    if message.validity_ms:
        peer.promise_received_until = max(peer.promise_received_until, until)


def discard_rosters(turn: Turn) -> None:
    """Discard the rosters received before this entry registered.

    While an entry is not registered, its peers use agents without waiting for
    its confirmation, so rosters that it received earlier may lack agents. The
    sessions are closed to discard rosters that are still in transit.
    """
    turn.state.rosters.clear()
    for name, peer in turn.state.peers.items():
        if peer.session:
            turn.emit(CloseLink(name, _REGISTERED_AGAIN))
            handle_peer_down(turn, name, _REGISTERED_AGAIN)


def handle_read_peer(
    turn: Turn,
    context: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Mark an unlinked peer as unregistered if the store has no entry of it.

    Such a peer cannot take over before it registers again, and then it starts
    without rosters. The read was sent after the last session had ended, and
    `session_count` shows that none has started since, so that no later roster
    has reached the peer.
    """
    name, _, session_count = context.rpartition(' ')
    peer = turn.state.peers.get(name)
    if peer is None:
        return
    absent = isinstance(outcome, interface.KeyValue) and outcome.value is None
    if absent and int(session_count) == peer.session_count:
        peer.unregistered = True


def record_contact(turn: Turn, name: str) -> None:
    """Record that a peer is alive, which keeps its roster valid."""
    state = turn.state
    state.peers[name].heard_at = turn.now
    roster = state.rosters.get(name)
    if roster is not None:
        state.rosters[name] = roster._replace(heard_at=turn.now)


def send_peer_updates(turn: Turn) -> None:
    """Send promises every second, and the roster after a change."""
    state = turn.state
    if state.promised_at + PROMISE_INTERVAL_S <= turn.now:
        state.promised_at = turn.now
        for peer in state.peers.values():
            if peer.session:
                _send_promise(turn, peer)
    due = state.roster_sent_at + ROSTER_INTERVAL_S <= turn.now
    if state.roster_changed and due:
        state.roster_changed = False
        state.roster_sent_at = turn.now
        _prune_roster(turn)
        for peer in state.peers.values():
            if peer.session:
                _send_roster(turn, peer)
    _check_unlinked_peers(turn)


def remove_stale_peers(turn: Turn) -> None:
    """Remove entries that are neither linked nor registered any more."""
    state = turn.state
    gone = [
        name
        for name, peer in state.peers.items()
        if not peer.session
        and name not in state.live_entries
        and peer.heard_at + PEER_RETENTION_S < turn.now
    ]
    for name in gone:
        address = state.peers.pop(name).address
        state.rosters.pop(name, None)
        # A restarted entry may have a new name at the same address.
        if all(peer.address != address for peer in state.peers.values()):
            turn.emit(DisconnectPeer(address))


def _check_unlinked_peers(turn: Turn) -> None:
    """Ask the store whether unlinked peers are still registered."""
    if all(link.usable for link in turn.state.agents.values()):
        return
    for peer in turn.state.peers.values():
        if (
            peer.session
            or peer.unregistered
            or turn.now < peer.registration_read_at + RETRY_S
        ):
            continue
        peer.registration_read_at = turn.now
        turn.call_store(
            interface.ReadKey(f'{documents.ENTRY_PREFIX}{peer.name}'),
            PendingCall('read-peer', f'{peer.name} {peer.session_count}'),
        )


def _send_roster(turn: Turn, peer: PeerLink) -> None:
    state = turn.state
    incomplete_until = max(
        (
            owned.gained_wall + state.identity.retention_s
            for owned in state.owned.values()
            if owned.roster_incomplete
        ),
        default=0,
    )
    turn.send(
        peer.name,
        Roster(
            state.roster_sequence,
            int(incomplete_until * MS_PER_S),
            tuple(state.roster.values()),
        ),
    )


def _send_promise(turn: Turn, peer: PeerLink) -> None:
    state = turn.state
    validity_ms = 0
    # While the store is unavailable, this entry cannot take over anyway. While
    # it is available, a peer that lost its lease has to stop acting as owner.
    if not state.store.available:
        validity_ms = PROMISE_VALIDITY_MS
        peer.promise_given_until = turn.now + PROMISE_VALIDITY_MS / MS_PER_S
    turn.send(
        peer.name,
        Promise(validity_ms, int(turn.now * MS_PER_S), peer.echo_ms),
    )


def _prune_roster(turn: Turn) -> None:
    """Remove agents whose tasks no caller can resubmit any more."""
    limit_ms = (turn.wall - 2 * turn.state.identity.retention_s) * MS_PER_S
    turn.state.roster = {
        key: agent
        for key, agent in turn.state.roster.items()
        if not 0 < agent.disconnected_at_ms < limit_ms
    }
