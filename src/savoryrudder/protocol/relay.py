"""Define the messages of entries that reach each other through an agent."""

from __future__ import annotations

from typing import NamedTuple


class FindEntries(NamedTuple):
    """Ask an agent to relay claims between the sender and other entries.

    The list of their names replaces the former one of the sender.
    """

    entries: tuple[str, ...]


class EntryReachable(NamedTuple):
    """Tell an entry that the sender relays claims to another one."""

    entry: str
    incarnation: str
    zone: str


class EntryUnreachable(NamedTuple):
    """Tell an entry that the sender is not linked with another one."""

    entry: str


class RelayedClaims(NamedTuple):
    """Carry claims from one entry to another, the target, through an agent.

    The tuples are the contents of the messages that entries exchange on a link
    of their own. Claims are `complete` when the sender begins to use the agent.
    """

    target: str
    source: str
    incarnation: str
    zone: str
    claimed: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    asked: tuple[str, ...] = ()
    relinquished: tuple[tuple[str, str], ...] = ()
    complete: bool = False
    unsettled: tuple[str, ...] = ()
