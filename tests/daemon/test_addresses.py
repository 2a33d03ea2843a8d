"""Test the expiry of learned entry addresses."""

from __future__ import annotations

from savoryrudder.daemon.addresses import ADDRESS_EXPIRY_S
from savoryrudder.daemon.addresses import LearnedAddresses

CONFIGURED = '10.0.0.1:7001'
LEARNED = '10.0.0.2:7001'
SESSION = 'session'
BEFORE_EXPIRY_S = ADDRESS_EXPIRY_S - 1


def test_unused_address_expires_after_its_session_ends() -> None:
    """Guard against dialling replaced entries forever."""
    addresses = LearnedAddresses([CONFIGURED])
    addresses.learn(SESSION, [LEARNED], 0)
    addresses.remove_session(SESSION)
    assert not addresses.remove_expired([], BEFORE_EXPIRY_S)
    assert addresses.remove_expired([], ADDRESS_EXPIRY_S) == [LEARNED]
    assert not addresses.remove_expired([], 2 * ADDRESS_EXPIRY_S)


def test_address_listed_on_an_open_session_is_kept() -> None:
    """Guard against dropping a live entry that is unreachable for long."""
    addresses = LearnedAddresses([])
    addresses.learn(SESSION, [LEARNED], 0)
    assert not addresses.remove_expired([], 2 * ADDRESS_EXPIRY_S)
    addresses.learn(SESSION, [], 2 * ADDRESS_EXPIRY_S)
    assert addresses.remove_expired([], 3 * ADDRESS_EXPIRY_S) == [LEARNED]


def test_linked_address_is_kept() -> None:
    """Guard against closing a working link to an unlisted address."""
    addresses = LearnedAddresses([])
    addresses.learn(SESSION, [LEARNED], 0)
    addresses.remove_session(SESSION)
    assert not addresses.remove_expired([LEARNED], 2 * ADDRESS_EXPIRY_S)
    unlinked_at = 2 * ADDRESS_EXPIRY_S
    assert not addresses.remove_expired([], unlinked_at + BEFORE_EXPIRY_S)
    assert addresses.remove_expired([], unlinked_at + ADDRESS_EXPIRY_S) == [
        LEARNED
    ]


def test_configured_address_never_expires() -> None:
    """Guard against an agent that cannot find any entry after an outage."""
    addresses = LearnedAddresses([CONFIGURED])
    addresses.learn(SESSION, [CONFIGURED, LEARNED], 0)
    addresses.remove_session(SESSION)
    assert addresses.remove_expired([], ADDRESS_EXPIRY_S) == [LEARNED]
