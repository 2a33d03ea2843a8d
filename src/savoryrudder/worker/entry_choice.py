"""Choose the entries that an agent links with.

A link costs both ends heartbeats and reports, whether it carries tasks or not,
so their number must not grow with the number of entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol.members import Member
from savoryrudder.utils.rendezvous import ChoiceSize
from savoryrudder.utils.rendezvous import choose

if TYPE_CHECKING:
    from collections.abc import Iterable

# Callers move to other zones, and all entries of a zone may be lost.
_LINKS: Final = ChoiceSize(local=3, remote=2)


def choose_entries(
    agent: str,
    zone: str,
    entries: Iterable[Member],
) -> list[Member]:
    """Return the entries that the agent links with."""
    return choose(Member(agent, '', zone), entries, _LINKS)
