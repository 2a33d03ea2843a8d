"""Decide which entries an agent dials."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# Long enough to outlast the restart of an entry at its address.
FORGET_ADDRESS_S: Final = 60


class LearnedAddresses:
    """Hold the entry addresses that `Welcome` messages name.

    The list of a session counts for as long as the session is open. Times
    are monotonic seconds.
    """

    def __init__(self, configured: Iterable[str]) -> None:
        """Start with the addresses from the settings, which stay."""
        self._configured = frozenset(configured)
        self._named: dict[str, frozenset[str]] = {}
        self._needed_at: dict[str, float] = {}

    def learn(self, session: str, addresses: Iterable[str], now: float) -> None:
        """Replace the addresses that a session names."""
        named = frozenset(addresses) - self._configured
        self._named[session] = named
        self._needed_at.update(dict.fromkeys(named, now))

    def end_session(self, session: str) -> None:
        """Stop counting the addresses that an ended session named."""
        self._named.pop(session, None)

    def forget_unused(self, linked: Collection[str], now: float) -> list[str]:
        """Forget and return addresses neither named nor linked for 60 s."""
        needed = frozenset(linked).union(*self._named.values())
        kept = needed & self._needed_at.keys()
        self._needed_at.update(dict.fromkeys(kept, now))
        unused = [
            address
            for address, needed_at in self._needed_at.items()
            if needed_at + FORGET_ADDRESS_S <= now
        ]
        for address in unused:
            self._needed_at.pop(address)
        return unused
