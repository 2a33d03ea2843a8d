"""Keep this entry's lease, watch the store and balance the partitions."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry.agents import announce_entries
from savoryrudder.entry.agents import send_claim
from savoryrudder.entry.configuration import adopt_config
from savoryrudder.entry.effects import ConnectPeer
from savoryrudder.entry.partitions import gain_partition
from savoryrudder.entry.partitions import lose_partitions
from savoryrudder.entry.peers import forget_rosters
from savoryrudder.entry.refusals import pass_on_refusals
from savoryrudder.entry.state import PartitionOwner
from savoryrudder.entry.state import PeerLink
from savoryrudder.entry.state import PendingCall
from savoryrudder.store import interface
from savoryrudder.utils.identifiers import PARTITION_COUNT

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn

LEASE_TTL_S: Final = 6
RENEW_INTERVAL_S: Final = 2
# A watch whose connection has gone silent is found out soon enough for a
# change to be in force everywhere within 12 s.
WATCH_WAIT_S: Final = 5
RETRY_S: Final = 0.5
# An entry that is gone from the store but still linked is about to register
# again, as after a store outage.
ABSENCE_LINKED_S: Final = 10
ABSENCE_S: Final = 0.5
# After an outage all leases have lapsed at once; owners register again first.
RESTORED_GRACE_S: Final = 5

_NO_PARTITIONS: Final = interface.KeyValue(documents.PARTITIONS_KEY, 0, None)


def keep_lease(turn: Turn) -> None:
    """Renew the lease, register, and keep a watch waiting."""
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
    """Take over the outcome of a grant or renewal."""
    store = turn.state.store
    store.lease_pending = False
    _note_availability(turn, outcome)
    if isinstance(outcome, interface.LeaseHeld):
        # Counted from before the request left, so that the store's own count
        # always ends later.
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
    """Take over the outcome of the registration."""
    store = turn.state.store
    store.register_pending = False
    if isinstance(outcome, interface.Swapped):
        store.own_version = outcome.version
        store.registered = lease == store.lease
        if store.registered_lease != lease:
            store.registered_lease = lease
            forget_rosters(turn)
    elif isinstance(outcome, interface.SwapConflict):
        store.own_version = outcome.current.version
    elif isinstance(outcome, interface.LeaseLost) and lease == store.lease:
        store.lease = ''
        store.lease_deadline = 0
        store.renew_at = turn.now


def handle_snapshot(turn: Turn, outcome: interface.StoreOutcome) -> None:
    """Take over what the watch showed."""
    state = turn.state
    store = state.store
    store.watch_pending = False
    if not isinstance(outcome, interface.Snapshot):
        store.watch_at = turn.now + RETRY_S * (1 + state.randomness.random())
        return
    _note_availability(turn, outcome)
    store.watch_at = turn.now
    if outcome.version < store.watch_version:
        turn.log_change('store_version_went_back')
    store.watch_version = outcome.version
    store.seen_at = turn.now
    found = {item.key: item for item in outcome.entries if item.value}
    config = found.get(documents.CONFIG_KEY)
    if config is not None:
        adopt_config(turn, config.version, config.value or '')
    _adopt_live(turn, found)
    partitions = found.get(documents.PARTITIONS_KEY, _NO_PARTITIONS)
    adopt_owners(
        turn,
        partitions.version,
        documents.decode_owners(partitions.value),
    )


def handle_swapped_map(
    turn: Turn,
    proposed: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Take over the outcome of a change of the partition map."""
    state = turn.state
    state.store.swap_pending = False
    if isinstance(outcome, interface.Swapped):
        adopt_owners(turn, outcome.version, documents.decode_owners(proposed))
    elif isinstance(outcome, interface.SwapConflict):
        adopt_owners(
            turn,
            outcome.current.version,
            documents.decode_owners(outcome.current.value),
        )
    else:
        # The write may have taken effect: only reading tells.
        state.store.swap_pending = True
        turn.call_store(
            interface.ReadKey(documents.PARTITIONS_KEY),
            PendingCall('read-map', None),
        )


def handle_read_map(turn: Turn, outcome: interface.StoreOutcome) -> None:
    """Settle a change of the map whose answer was lost."""
    turn.state.store.swap_pending = False
    if isinstance(outcome, interface.KeyValue) and outcome.value is not None:
        adopt_owners(
            turn,
            outcome.version,
            documents.decode_owners(outcome.value),
        )


def adopt_owners(
    turn: Turn,
    version: int,
    owners: dict[int, PartitionOwner],
) -> None:
    """Follow a version of the partition map, unless a later one is known."""
    state = turn.state
    if version < state.map_version:
        return
    state.map_version = version
    state.owners = owners
    name = state.identity.name
    lost = [number for number in state.owned if owners[number].owner != name]
    pass_on_refusals(turn, {number: owners[number].owner for number in lost})
    lose_partitions(turn, lost)
    gained = [
        partition
        for partition, owner in owners.items()
        if _follow_owner(turn, partition, owner)
    ]
    if not gained:
        return
    turn.log_change(
        'partitions_gained',
        count=str(len(gained)),
        owned=str(len(state.owned)),
    )
    for agent in state.agents:
        send_claim(turn, agent, gained)


def balance(turn: Turn) -> None:
    """Take partitions without a live owner and give away surplus ones."""
    state = turn.state
    store = state.store
    if store.swap_pending or not store.registered or not store.seen_at:
        return
    if turn.now >= store.lease_deadline or not state.live:
        return
    preferred = _preferences(turn)
    changed = {
        partition: PartitionOwner(
            preferred[partition],
            owner.epoch + 1,
            owner.owner,
        )
        for partition, owner in state.owners.items()
        if preferred and _may_assign(turn, owner, preferred[partition])
    }
    if not changed:
        return
    store.swap_pending = True
    proposed = documents.encode_owners(state.owners | changed)
    turn.call_store(
        interface.SwapKey(
            documents.PARTITIONS_KEY,
            state.map_version,
            proposed,
            '',
        ),
        PendingCall('swap-map', proposed),
    )


def _follow_owner(
    turn: Turn,
    partition: int,
    owner: PartitionOwner,
) -> bool:
    """Gain a partition if the map says so; tell whether it was gained."""
    owned = turn.state.owned.get(partition)
    if owner.owner != turn.state.identity.name:
        return False
    if owned is not None and owned.epoch >= owner.epoch:
        return False
    gain_partition(turn, partition, owner)
    return True


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
        interface.SwapKey(
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


def _note_availability(turn: Turn, outcome: interface.StoreOutcome) -> None:
    store = turn.state.store
    available = not isinstance(outcome, interface.StoreUnavailable)
    if available == store.available:
        return
    store.available = available
    store.restored_at = turn.now if available else 0
    turn.log_change('store_available' if available else 'store_unavailable')


def _adopt_live(turn: Turn, found: dict[str, interface.KeyValue]) -> None:
    state = turn.state
    own = state.identity.name
    former = state.live.keys()
    state.live = {
        key.removeprefix(documents.ENTRY_PREFIX): documents.decode_entry(item)
        for key, item in found.items()
        if key.startswith(documents.ENTRY_PREFIX)
    }
    own_item = found.get(f'{documents.ENTRY_PREFIX}{own}')
    state.store.own_version = own_item.version if own_item else 0
    if own not in state.live or (
        state.live[own]['draining'] != (state.drain_started is not None)
    ):
        state.store.registered = False
    for name, document in state.live.items():
        state.absent_since.pop(name, None)
        if name != own and name not in state.peers:
            _add_peer(turn, name, document['address'])
    for absent in state.peers.keys() - state.live.keys():
        state.absent_since.setdefault(absent, turn.now)
    if state.live.keys() != former:
        announce_entries(turn)


def _add_peer(turn: Turn, name: str, address: str) -> None:
    turn.state.peers[name] = PeerLink(name, address, heard_at=turn.now)
    turn.log_change('entry_joined', entry=name)
    # Of two entries the one with the smaller name dials.
    if turn.state.identity.name < name:
        turn.emit(ConnectPeer(address))


def _candidates(turn: Turn) -> list[str]:
    """List the live entries that can own partitions, as this entry sees it."""
    state = turn.state
    own = state.identity.name
    candidates = [
        name
        for name in state.live
        if name != own
        and state.peers[name].session
        and not state.live[name]['draining']
    ]
    if state.drain_started is None:
        candidates.append(own)
    return candidates


def _may_assign(turn: Turn, owner: PartitionOwner, desired: str) -> bool:
    state = turn.state
    own = state.identity.name
    if owner.owner == own:
        return desired != own
    if owner.owner in state.live:
        return False
    # Each entry takes for itself only; a dead owner's partition goes to the
    # entry that prefers it.
    if desired != own:
        return False
    if not owner.owner:
        return True
    return _is_gone(turn, owner.owner)


def _is_gone(turn: Turn, name: str) -> bool:
    state = turn.state
    absent_since = state.absent_since.setdefault(name, turn.now)
    peer = state.peers.get(name)
    if peer is None:
        return absent_since + ABSENCE_S <= turn.now
    if peer.promised_until > turn.now:
        return False
    if state.store.restored_at + RESTORED_GRACE_S > turn.now:
        return False
    patience = ABSENCE_LINKED_S if peer.session else ABSENCE_S
    return absent_since + patience <= turn.now


def _preferences(turn: Turn) -> dict[int, str]:
    """Return the preferred owner of each partition, kept until they change."""
    state = turn.state
    candidates = tuple(_candidates(turn))
    if candidates != state.candidates:
        state.candidates = candidates
        state.preferred = (
            {
                partition: _preferred(candidates, partition)
                for partition in range(PARTITION_COUNT)
            }
            if candidates
            else {}
        )
    return state.preferred


def _preferred(candidates: tuple[str, ...], partition: int) -> str:
    """Choose the owner by rendezvous hashing."""
    return max(
        candidates,
        key=lambda name: hashlib.blake2b(
            f'{name.partition("#")[0]}/{partition}'.encode(),
            digest_size=8,
        ).digest(),
    )
