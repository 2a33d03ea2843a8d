"""Relay claims between entries that have lost their link to each other.

The agent is linked with some of the entries, and reaches two that do not reach
each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import relay

if TYPE_CHECKING:
    from savoryrudder.protocol import work
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn


def answer_search(
    state: WorkerState,
    turn: Turn,
    link: str,
    search: relay.FindEntries,
) -> None:
    """Tell an entry which of the entries that it has lost are linked here."""
    state.links[link].wanted_entries = frozenset(search.entries)
    for entry in search.entries:
        target = _find_entry(state, entry)
        if target:
            _tell_reachable(state, turn, link, target)
        else:
            turn.send(link, relay.EntryUnreachable(entry))


def announce_entry(state: WorkerState, turn: Turn, linked: str) -> None:
    """Tell the entries that look for a newly linked one."""
    entry = state.links[linked].entry
    for name, link in state.links.items():
        if entry in link.wanted_entries:
            _tell_reachable(state, turn, name, linked)


def announce_loss(state: WorkerState, turn: Turn, entry: str) -> None:
    """Tell the entries that reach another one through this agent of its loss.

    It may be linked again, on a newer link.
    """
    if _find_entry(state, entry):
        return
    for name, link in state.links.items():
        if entry in link.wanted_entries:
            turn.send(name, relay.EntryUnreachable(entry))


def forward(
    state: WorkerState,
    turn: Turn,
    link: str,
    claims: relay.RelayedClaims,
) -> None:
    """Forward claims to their target, or tell that it is not linked."""
    target = _find_entry(state, claims.target)
    if target:
        turn.send(target, claims)
    else:
        turn.send(link, relay.EntryUnreachable(claims.target))


def record_entry(
    state: WorkerState,
    turn: Turn,
    link: str,
    hello: work.EntryHello,
) -> None:
    """Record which entry a link leads to."""
    entry_link = state.links[link]
    entry_link.entry = hello.entry
    entry_link.zone = hello.zone
    announce_entry(state, turn, link)


def _find_entry(state: WorkerState, entry: str) -> str:
    found = ''
    for name, link in state.links.items():
        if link.entry == entry and link.incarnation:
            # The newest link of an entry counts.
            found = name
    return found


def _tell_reachable(
    state: WorkerState,
    turn: Turn,
    link: str,
    target: str,
) -> None:
    found = state.links[target]
    turn.send(
        link,
        relay.EntryReachable(found.entry, found.incarnation, found.zone),
    )
