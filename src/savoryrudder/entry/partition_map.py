"""Follow the partition map and balance the partitions."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry.agents import send_claim
from savoryrudder.entry.partitions import gain_partition
from savoryrudder.entry.partitions import lose_partitions
from savoryrudder.entry.refusals import pass_on_refusals
from savoryrudder.entry.state import PartitionOwner
from savoryrudder.entry.state import PendingCall
from savoryrudder.store import interface
from savoryrudder.utils.identifiers import PARTITION_COUNT

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn

# An entry that is gone from the store but still linked is about to register
# again, as after a store outage.
ABSENCE_LINKED_S: Final = 10
ABSENCE_S: Final = 0.5
# After an outage all leases have lapsed at once; owners register again first.
RESTORED_GRACE_S: Final = 5


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
