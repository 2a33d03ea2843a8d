"""Choose the entries that an agent links with.

A link costs both ends heartbeats and reports, whether it carries tasks or not,
so their number must not grow with the number of entries. Rendezvous hashing
spreads the links over the entries, and the loss of an entry changes only the
choices that included it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.protocol.members import Member

# Links with entries in the agent's zone, and with others: callers move to other
# zones, and all entries of a zone may be lost.
_LOCAL_LINKS: Final = 3
_REMOTE_LINKS: Final = 2


def choose_entries(
    agent: str,
    zone: str,
    entries: Iterable[Member],
) -> list[Member]:
    """Return the entries that the agent links with."""
    local: list[Member] = []
    remote: list[Member] = []
    for entry in _ranked(agent, entries):
        (local if entry.zone == zone else remote).append(entry)
    return local[:_LOCAL_LINKS] + remote[:_REMOTE_LINKS]


def _ranked(agent: str, entries: Iterable[Member]) -> list[Member]:
    digests = {
        entry: hashlib.blake2b(f'{agent}|{entry.name}'.encode()).digest()
        for entry in entries
    }
    return sorted(digests, key=digests.__getitem__)
