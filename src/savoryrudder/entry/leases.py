"""Decide whether this entry may still act as owner of its partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.entry.state import EntryState


def may_act(state: EntryState, now: float) -> bool:
    """Return whether no other entry can own this entry's partitions.

    This holds while the lease is valid by this entry's clock, and during a
    store outage as long as every live peer's promise not to take over is
    valid.
    """
    if now < state.store.lease_deadline:
        return True
    if state.store.available or not state.store.lease:
        return False
    return all(
        state.peers[name].promise_received_until > now
        for name in state.live_entries
        if name != state.identity.name
    )
