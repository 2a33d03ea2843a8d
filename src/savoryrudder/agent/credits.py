"""Allocate the agent's slots to entries as credits."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from savoryrudder.agent.state import AgentState
    from savoryrudder.agent.state import Link

# Delay after a recall that returned nothing; without it, recalls would repeat
# as fast as the network carries them.
_RECALL_RETRY_DELAY_S: Final = 1.0


def free_credits(state: AgentState) -> int:
    """Return how many credits can be granted now."""
    if state.draining or state.at_limit:
        return 0
    granted = state.granted_credits
    in_use = granted + len(state.calls) + len(state.waiting)
    free_records = state.limits.max_records - len(state.records) - granted
    return max(0, min(state.capacity - in_use, free_records))


def grant(state: AgentState) -> Counter[str]:
    """Grant all free credits and return the number granted to each entry.

    Entries with queued tasks come first, starting with the one furthest below
    its share. Remaining credits are split evenly among all entries.
    """
    granted = Counter[str]()
    for _ in range(free_credits(state)):
        entry = _entry_below_share(state) or _entry_with_fewest_credits(state)
        if entry is None:
            break
        link = state.links[entry]
        state.grant_count += 1
        link.last_grant = state.grant_count
        link.credits += 1
        granted[entry] += 1
    return granted


def recall(state: AgentState, now: float) -> dict[str, int]:
    """Open recalls to meet the demand of other entries or to drain.

    Return the number of credits to recall from each entry.
    """
    needed = 0
    if state.draining:
        needed = state.granted_credits
    elif not state.at_limit:
        for link in state.links.values():
            if link.ready and link.demand > link.credits:
                needed += link.demand - link.credits
    # Free credits have been granted already, so unmet demand means that none
    # are left.
    return _open_recalls(state, now, needed, min_kept=0) if needed else {}


def recall_for_new_link(
    state: AgentState, now: float, new_link: Link
) -> dict[str, int]:
    """Open recalls of idle credits so that a new link gets an equal share."""
    ready = sum(link.ready for link in state.links.values())
    equal_share = state.granted_credits // ready
    if state.draining or state.at_limit or new_link.credits >= equal_share:
        return {}
    return _open_recalls(
        state, now, equal_share - new_link.credits, min_kept=equal_share
    )


def close_recall(link: Link, amount: int, now: float) -> int:
    """Close a recall and return the number of credits that came back."""
    returned = max(0, min(amount, link.credits))
    link.credits -= returned
    if link.recalled and not returned:
        link.next_recall_at = now + _RECALL_RETRY_DELAY_S
    link.recalled = 0
    return returned


def _entry_below_share(state: AgentState) -> str | None:
    """Return the entry with unmet demand furthest below its share of slots.

    Granting one credit at a time to the largest deficit amounts to the
    largest remainder method. Every entry with demand is due at least one
    slot; otherwise a long queue at one entry would starve a short one at
    another.
    """
    total = sum([link.demand for link in state.links.values() if link.ready])
    if not total:
        return None
    capacity = state.capacity
    highest_rank: tuple[int, int] | None = None
    selected = None
    for entry, link in state.links.items():
        if not link.ready or link.demand <= link.credits:
            continue
        allocated = link.credits + state.active_tasks.get(entry, 0)
        due = max(link.demand * capacity, total)
        rank = (due - allocated * total, -link.last_grant)
        if highest_rank is None or rank > highest_rank:
            highest_rank = rank
            selected = entry
    return selected


def _entry_with_fewest_credits(state: AgentState) -> str | None:
    """Return the ready entry with the fewest credits.

    Among equals it is the one that was granted a credit least recently.
    """
    ready = [entry for entry, link in state.links.items() if link.ready]
    return min(
        ready,
        key=lambda entry: (
            state.links[entry].credits,
            state.links[entry].last_grant,
        ),
        default=None,
    )


def _open_recalls(
    state: AgentState,
    now: float,
    needed: int,
    min_kept: int,
) -> dict[str, int]:
    """Open recalls for the needed credits that no open recall covers.

    An entry keeps at least `min_kept` credits and, unless the agent is
    draining, one for each queued task.
    """
    opened: dict[str, int] = {}
    needed -= sum(link.recalled for link in state.links.values())
    for entry, link in state.links.items():
        retained = min_kept if state.draining else max(min_kept, link.demand)
        amount = min(needed, link.credits - retained)
        if amount <= 0 or link.recalled or link.next_recall_at > now:
            continue
        link.recalled = amount
        needed -= amount
        opened[entry] = amount
    return opened
