"""Decide whether this entry may still act as an owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.entry.state import EntryState


def may_act(state: EntryState, now: float) -> bool:
    """Tell whether no other entry can own this entry's partitions.

    True while the own lease is valid by the own clock. During a store outage
    it stays true as long as every live peer keeps its promise not to take
    over.
    """
    if now < state.store.lease_deadline:
        return True
    if state.store.available or not state.store.lease:
        return False
    return all(
        state.peers[name].promise_until > now
        for name in state.live
        if name != state.identity.name
    )
