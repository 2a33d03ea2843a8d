"""Maintain this entry's lease and registration, and watch the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry import partition_map
from savoryrudder.entry.agents import announce_entries
from savoryrudder.entry.configuration import apply_stored_config
from savoryrudder.entry.effects import ConnectPeer
from savoryrudder.entry.peers import discard_rosters
from savoryrudder.entry.state import PeerLink
from savoryrudder.entry.state import PendingCall
from savoryrudder.store import interface

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn

LEASE_TTL_S: Final = 6
RENEW_INTERVAL_S: Final = 2
# Bounds how long a dead connection of the watch goes unnoticed, so that a
# change is in force everywhere within 12 s.
WATCH_WAIT_S: Final = 5
RETRY_S: Final = 0.5

_NO_PARTITIONS: Final = interface.KeyValue(documents.PARTITIONS_KEY, 0, None)


def maintain_membership(turn: Turn) -> None:
    """Renew the lease, watch the store and register this entry."""
    store = turn.state.store
    if not store.lease_pending and turn.now >= store.renew_at:
        store.lease_pending = True
        store.lease_sent_at = turn.now
        operation: interface.StoreOperation = (
            interface.RenewLease(store.lease)
            if store.lease
            else interface.GrantLease(LEASE_TTL_S)
        )
        turn.call_store(operation, PendingCall('lease', None))
    if not store.watch_pending and turn.now >= store.watch_at:
        store.watch_pending = True
        turn.call_store(
            interface.WatchPrefix(
                documents.CLUSTER_PREFIX,
                store.watch_version,
                WATCH_WAIT_S,
            ),
            PendingCall('watch', None),
        )
    if store.watch_version:
        _register(turn)


def handle_lease(turn: Turn, outcome: interface.StoreOutcome) -> None:
    """Apply the outcome of a lease grant or renewal."""
    store = turn.state.store
    store.lease_pending = False
    _update_availability(turn, outcome)
    if isinstance(outcome, interface.LeaseHeld):
        # Counted from when the request was sent, so that the lease always
        # expires later in the store.
        store.lease_deadline = store.lease_sent_at + outcome.ttl_s
        store.renew_at = store.lease_sent_at + RENEW_INTERVAL_S
        if outcome.lease != store.lease:
            store.lease = outcome.lease
            store.registered = False
            store.register_at = turn.now
        return
    store.renew_at = turn.now + RETRY_S
    if isinstance(outcome, interface.LeaseLost):
        store.lease = ''
        store.lease_deadline = 0
        store.registered = False
        store.renew_at = turn.now


def handle_registered(
    turn: Turn,
    lease: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Apply the outcome of a registration."""
    store = turn.state.store
    store.register_pending = False
    if isinstance(outcome, interface.Swapped):
        store.own_version = outcome.version
        store.registered = lease == store.lease
        if store.registered_lease != lease:
            store.registered_lease = lease
            discard_rosters(turn)
    elif isinstance(outcome, interface.SwapConflict):
        store.own_version = outcome.current.version
    elif isinstance(outcome, interface.LeaseLost) and lease == store.lease:
        store.lease = ''
        store.lease_deadline = 0
        store.renew_at = turn.now


def handle_snapshot(turn: Turn, outcome: interface.StoreOutcome) -> None:
    """Apply the outcome of a watch."""
    state = turn.state
    store = state.store
    store.watch_pending = False
    if not isinstance(outcome, interface.Snapshot):
        store.watch_at = turn.now + RETRY_S * (1 + state.rng.random())
        return
    _update_availability(turn, outcome)
    store.watch_at = turn.now
    if outcome.version < store.watch_version:
        turn.log_change('store_version_went_back')
    store.watch_version = outcome.version
    store.snapshot_at = turn.now
    items = {item.key: item for item in outcome.entries if item.value}
    config = items.get(documents.CONFIG_KEY)
    if config is not None:
        apply_stored_config(turn, config.version, config.value or '')
    _update_live_entries(turn, items)
    partitions = items.get(documents.PARTITIONS_KEY, _NO_PARTITIONS)
    partition_map.adopt_owners(
        turn,
        partitions.version,
        documents.decode_owners(partitions.value),
    )


def _register(turn: Turn) -> None:
    state = turn.state
    store = state.store
    if store.registered or store.register_pending or not store.lease:
        return
    if turn.now < store.register_at or state.exited:
        return
    store.register_pending = True
    store.register_at = turn.now + RETRY_S
    turn.call_store(
        interface.CompareAndSwap(
            f'{documents.ENTRY_PREFIX}{state.identity.name}',
            store.own_version,
            documents.encode(
                {
                    'address': state.identity.address,
                    'http': state.identity.http,
                    'draining': state.drain_started is not None,
                },
            ),
            store.lease,
        ),
        PendingCall('register', store.lease),
    )


def _update_availability(turn: Turn, outcome: interface.StoreOutcome) -> None:
    store = turn.state.store
    available = not isinstance(outcome, interface.StoreUnavailable)
    if available == store.available:
        return
    store.available = available
    store.restored_at = turn.now if available else 0
    turn.log_change('store_available' if available else 'store_unavailable')


def _update_live_entries(
    turn: Turn,
    items: dict[str, interface.KeyValue],
) -> None:
    state = turn.state
    own_name = state.identity.name
    former = state.live_entries.keys()
    state.live_entries = {
        key.removeprefix(documents.ENTRY_PREFIX): documents.decode_entry(item)
        for key, item in items.items()
        if key.startswith(documents.ENTRY_PREFIX)
    }
    own_item = items.get(f'{documents.ENTRY_PREFIX}{own_name}')
    state.store.own_version = own_item.version if own_item else 0
    if own_name not in state.live_entries or (
        state.live_entries[own_name]['draining']
        != (state.drain_started is not None)
    ):
        state.store.registered = False
    for name, document in state.live_entries.items():
        state.absent_since.pop(name, None)
        if name != own_name and name not in state.peers:
            _add_peer(turn, name, document['address'])
    for absent in state.peers.keys() - state.live_entries.keys():
        state.absent_since.setdefault(absent, turn.now)
    if state.live_entries.keys() != former:
        announce_entries(turn)


def _add_peer(turn: Turn, name: str, address: str) -> None:
    turn.state.peers[name] = PeerLink(name, address, heard_at=turn.now)
    turn.log_change('entry_joined', entry=name)
    # Of two entries, the one with the smaller name connects.
    if turn.state.identity.name < name:
        turn.emit(ConnectPeer(address))
