"""Apply the partition map and balance partitions among live entries."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry.agents import send_claim
from savoryrudder.entry.partitions import gain_partition
from savoryrudder.entry.partitions import lose_partitions
from savoryrudder.entry.refusals import send_refusals
from savoryrudder.entry.state import PartitionOwner
from savoryrudder.entry.state import PendingCall
from savoryrudder.store import interface
from savoryrudder.utils.identifiers import PARTITION_COUNT

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn

# An entry that is missing from the store but still linked is expected to
# register again, as after a store outage.
LINKED_TAKEOVER_DELAY_S: Final = 10
TAKEOVER_DELAY_S: Final = 0.5
# After a store outage all leases have expired at once; owners get this long to
# register again.
STORE_OUTAGE_GRACE_S: Final = 5


def balance(turn: Turn) -> None:
    """Take over partitions without a live owner; reassign surplus ones."""
    state = turn.state
    store = state.store
    if store.swap_pending or not store.registered or not store.snapshot_at:
        return
    if turn.now >= store.lease_deadline or not state.live_entries:
        return
    preferred = _preferred_owners(turn)
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
        interface.CompareAndSwap(
            documents.PARTITIONS_KEY,
            state.map_version,
            proposed,
            '',
        ),
        PendingCall('swap-map', proposed),
    )


def adopt_owners(
    turn: Turn,
    version: int,
    owners: dict[int, PartitionOwner],
) -> None:
    """Apply a version of the partition map unless a later one is known."""
    state = turn.state
    if version < state.map_version:
        return
    state.map_version = version
    state.owners = owners
    name = state.identity.name
    lost = [number for number in state.owned if owners[number].owner != name]
    send_refusals(turn, {number: owners[number].owner for number in lost})
    lose_partitions(turn, lost)
    gained = [
        partition
        for partition, owner in owners.items()
        if _gain_if_owner(turn, partition, owner)
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


def handle_swapped_map(
    turn: Turn,
    proposed: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Apply the outcome of a change of the partition map."""
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
        # The write may have taken effect; read the key to find out.
        state.store.swap_pending = True
        turn.call_store(
            interface.ReadKey(documents.PARTITIONS_KEY),
            PendingCall('read-map', None),
        )


def handle_read_map(turn: Turn, outcome: interface.StoreOutcome) -> None:
    """Apply the map that was read after a change without an answer."""
    turn.state.store.swap_pending = False
    if isinstance(outcome, interface.KeyValue) and outcome.value is not None:
        adopt_owners(
            turn,
            outcome.version,
            documents.decode_owners(outcome.value),
        )


def _gain_if_owner(
    turn: Turn,
    partition: int,
    owner: PartitionOwner,
) -> bool:
    """Gain a partition newly assigned to this entry; return whether it was."""
    owned = turn.state.owned.get(partition)
    if owner.owner != turn.state.identity.name:
        return False
    if owned is not None and owned.epoch >= owner.epoch:
        return False
    gain_partition(turn, partition, owner)
    return True


def _owner_candidates(turn: Turn) -> list[str]:
    """Return the entries that can own_name partitions, as far as known here."""
    state = turn.state
    own_name = state.identity.name
    candidates = [
        name
        for name in state.live_entries
        if name != own_name
        and state.peers[name].session
        and not state.live_entries[name]['draining']
    ]
    if state.drain_started is None:
        candidates.append(own_name)
    return candidates


def _may_assign(
    turn: Turn,
    owner: PartitionOwner,
    new_owner: str,
) -> bool:
    state = turn.state
    own_name = state.identity.name
    if owner.owner == own_name:
        return new_owner != own_name
    if owner.owner in state.live_entries:
        return False
    # An entry takes over partitions for itself only; a dead owner's partition
    # is left to its preferred owner.
    if new_owner != own_name:
        return False
    if not owner.owner:
        return True
    return _is_gone(turn, owner.owner)


def _is_gone(turn: Turn, name: str) -> bool:
    state = turn.state
    absent_since = state.absent_since.setdefault(name, turn.now)
    peer = state.peers.get(name)
    if peer is None:
        return absent_since + TAKEOVER_DELAY_S <= turn.now
    if peer.promise_given_until > turn.now:
        return False
    if state.store.restored_at + STORE_OUTAGE_GRACE_S > turn.now:
        return False
    delay_s = LINKED_TAKEOVER_DELAY_S if peer.session else TAKEOVER_DELAY_S
    return absent_since + delay_s <= turn.now


def _preferred_owners(turn: Turn) -> dict[int, str]:
    """Return the preferred owners, cached until the candidates change."""
    state = turn.state
    candidates = tuple(_owner_candidates(turn))
    if candidates != state.owner_candidates:
        state.owner_candidates = candidates
        state.preferred_owners = (
            {
                partition: _preferred_owner(candidates, partition)
                for partition in range(PARTITION_COUNT)
            }
            if candidates
            else {}
        )
    return state.preferred_owners


def _preferred_owner(candidates: tuple[str, ...], partition: int) -> str:
    """Choose the owner of a partition by rendezvous hashing."""
    return max(
        candidates,
        key=lambda name: hashlib.blake2b(
            f'{name.partition("#")[0]}/{partition}'.encode(),
            digest_size=8,
        ).digest(),
    )
