"""Track the entry addresses that an agent has learned from entries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# Longer than an entry takes to restart at the same address.
ADDRESS_EXPIRY_S: Final = 60


class LearnedAddresses:
    """Hold the entry addresses received in `Welcome` messages.

    The addresses of a session are in use while the session is open. Times are
    monotonic seconds.
    """

    def __init__(self, configured: Iterable[str]) -> None:
        """Initialize with the configured addresses, which never expire."""
        self._configured = frozenset(configured)
        self._addresses_by_session: dict[str, frozenset[str]] = {}
        self._last_used: dict[str, float] = {}

    def learn(self, session: str, addresses: Iterable[str], now: float) -> None:
        """Replace the addresses received on a session."""
        learned = frozenset(addresses) - self._configured
        self._addresses_by_session[session] = learned
        self._last_used.update(dict.fromkeys(learned, now))

    def remove_session(self, session: str) -> None:
        """Remove the addresses received on a closed session."""
        self._addresses_by_session.pop(session, None)

    def remove_expired(self, linked: Collection[str], now: float) -> list[str]:
        """Remove and return the addresses that expired.

        An address expires after `ADDRESS_EXPIRY_S` without being linked or
        listed on an open session.
        """
        in_use = frozenset(linked).union(*self._addresses_by_session.values())
        refreshed = in_use & self._last_used.keys()
        self._last_used.update(dict.fromkeys(refreshed, now))
        expired = [
            address
            for address, last_used_at in self._last_used.items()
            if last_used_at + ADDRESS_EXPIRY_S <= now
        ]
        for address in expired:
            self._last_used.pop(address)
        return expired
