"""Test the expiry of learned entry addresses."""

from __future__ import annotations

from savoryrudder.daemon.addresses import FORGET_ADDRESS_S
from savoryrudder.daemon.addresses import LearnedAddresses

CONFIGURED = '10.0.0.1:7001'
LEARNED = '10.0.0.2:7001'
SESSION = 'session'
BEFORE_EXPIRY_S = FORGET_ADDRESS_S - 1


def test_unused_address_expires_after_its_session_ends() -> None:
    """Guard against dialling replaced entries forever."""
    addresses = LearnedAddresses([CONFIGURED])
    addresses.learn(SESSION, [LEARNED], 0)
    addresses.end_session(SESSION)
    assert not addresses.forget_unused([], BEFORE_EXPIRY_S)
    assert addresses.forget_unused([], FORGET_ADDRESS_S) == [LEARNED]
    assert not addresses.forget_unused([], 2 * FORGET_ADDRESS_S)


def test_address_listed_on_an_open_session_is_kept() -> None:
    """Guard against dropping a live entry that is unreachable for long."""
    addresses = LearnedAddresses([])
    addresses.learn(SESSION, [LEARNED], 0)
    assert not addresses.forget_unused([], 2 * FORGET_ADDRESS_S)
    addresses.learn(SESSION, [], 2 * FORGET_ADDRESS_S)
    assert addresses.forget_unused([], 3 * FORGET_ADDRESS_S) == [LEARNED]


def test_linked_address_is_kept() -> None:
    """Guard against closing a working link to an unlisted address."""
    addresses = LearnedAddresses([])
    addresses.learn(SESSION, [LEARNED], 0)
    addresses.end_session(SESSION)
    assert not addresses.forget_unused([LEARNED], 2 * FORGET_ADDRESS_S)
    unlinked_at = 2 * FORGET_ADDRESS_S
    assert not addresses.forget_unused([], unlinked_at + BEFORE_EXPIRY_S)
    assert addresses.forget_unused([], unlinked_at + FORGET_ADDRESS_S) == [
        LEARNED
    ]


def test_configured_address_never_expires() -> None:
    """Guard against an agent that cannot find any entry after an outage."""
    addresses = LearnedAddresses([CONFIGURED])
    addresses.learn(SESSION, [CONFIGURED, LEARNED], 0)
    addresses.end_session(SESSION)
    assert addresses.forget_unused([], FORGET_ADDRESS_S) == [LEARNED]
