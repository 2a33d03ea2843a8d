"""Split the agent's slots among entries as credits."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from savoryrudder.agent.state import AgentState
    from savoryrudder.agent.state import Link

# Pause after a recall that returned nothing, so that it is not repeated at
# the speed of the network.
_RECALL_PAUSE_S: Final = 1.0


def free_credits(state: AgentState) -> int:
    """Return how many credits can be granted now."""
    if state.leaving or state.at_limit:
        return 0
    granted = state.granted
    in_use = granted + len(state.calls) + len(state.waiting)
    room = state.limits.max_records - len(state.book) - granted
    capacity = state.identity.slots + state.limits.prefetch
    return max(0, min(capacity - in_use, room))


def grant(state: AgentState) -> Counter[str]:
    """Grant all free credits and return the number for each entry.

    Entries with queued tasks come first, the one furthest below its share
    before the others; the rest is spread so that idle entries hold equally
    many.
    """
    granted = Counter[str]()
    for _ in range(free_credits(state)):
        entry = _neediest(state) or _least_supplied(state)
        if entry is None:
            break
        link = state.links[entry]
        state.grants += 1
        link.granted_at = state.grants
        link.credits += 1
        granted[entry] += 1
    return granted


def recall(state: AgentState, now: float) -> dict[str, int]:
    """Open recalls for credits that other entries need more."""
    needed = 0
    if state.leaving:
        needed = state.granted
    elif not state.at_limit:
        for link in state.links.values():
            if link.ready and link.demand > link.credits:
                needed += link.demand - link.credits
    # Free credits are granted before, so unmet demand means there are none.
    return _open_recalls(state, now, needed, spare=0) if needed else {}


def spread(state: AgentState, now: float, newcomer: Link) -> dict[str, int]:
    """Recall idle credits for a newcomer, down to an even split."""
    ready = sum(link.ready for link in state.links.values())
    even = state.granted // ready
    if state.leaving or state.at_limit or newcomer.credits >= even:
        return {}
    return _open_recalls(state, now, even - newcomer.credits, spare=even)


def take_back(link: Link, amount: int, now: float) -> int:
    """Close a recall and return the number of credits that came back."""
    returned = max(0, min(amount, link.credits))
    link.credits -= returned
    if link.recalled and not returned:
        link.recall_after = now + _RECALL_PAUSE_S
    link.recalled = 0
    return returned


def _neediest(state: AgentState) -> str | None:
    """Return the entry furthest below its share of the slots.

    Handing out one credit at a time to the largest deficit gives the split
    by largest remainder. Every entry with demand is due at least one slot;
    otherwise a long queue elsewhere starves a short one.
    """
    total = sum([link.demand for link in state.links.values() if link.ready])
    if not total:
        return None
    capacity = state.identity.slots + state.limits.prefetch
    best: tuple[int, int] | None = None
    neediest = None
    for entry, link in state.links.items():
        if not link.ready or link.demand <= link.credits:
            continue
        held = link.credits + state.occupied.get(entry, 0)
        due = max(link.demand * capacity, total)
        rank = (due - held * total, -link.granted_at)
        if best is None or rank > best:
            best = rank
            neediest = entry
    return neediest


def _least_supplied(state: AgentState) -> str | None:
    ready = [entry for entry, link in state.links.items() if link.ready]
    return min(
        ready,
        key=lambda entry: (
            state.links[entry].credits,
            state.links[entry].granted_at,
        ),
        default=None,
    )


def _open_recalls(
    state: AgentState,
    now: float,
    needed: int,
    spare: int,
) -> dict[str, int]:
    opened: dict[str, int] = {}
    needed -= sum(link.recalled for link in state.links.values())
    for entry, link in state.links.items():
        kept = spare if state.leaving else max(spare, link.demand)
        amount = min(needed, link.credits - kept)
        if amount <= 0 or link.recalled or link.recall_after > now:
            continue
        link.recalled = amount
        needed -= amount
        opened[entry] = amount
    return opened
