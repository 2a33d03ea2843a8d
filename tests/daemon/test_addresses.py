"""Check which learned entry addresses an agent keeps."""

from __future__ import annotations

from savoryrudder.daemon.addresses import FORGET_ADDRESS_S
from savoryrudder.daemon.addresses import LearnedAddresses

CONFIGURED = '10.0.0.1:7001'
LEARNED = '10.0.0.2:7001'
SESSION = 'session'
EARLY = FORGET_ADDRESS_S - 1


def test_an_unused_address_is_forgotten_after_its_session_ended() -> None:
    """Guard against dialling replaced entries forever."""
    book = LearnedAddresses([CONFIGURED])
    book.learn(SESSION, [LEARNED], 0)
    book.end_session(SESSION)
    assert not book.forget_unused([], EARLY)
    assert book.forget_unused([], FORGET_ADDRESS_S) == [LEARNED]
    assert not book.forget_unused([], 2 * FORGET_ADDRESS_S)


def test_an_address_named_on_an_open_session_is_kept() -> None:
    """Guard against losing a live entry that is unreachable for long."""
    book = LearnedAddresses([])
    book.learn(SESSION, [LEARNED], 0)
    assert not book.forget_unused([], 2 * FORGET_ADDRESS_S)
    book.learn(SESSION, [], 2 * FORGET_ADDRESS_S)
    assert book.forget_unused([], 3 * FORGET_ADDRESS_S) == [LEARNED]


def test_an_address_with_a_session_is_kept() -> None:
    """Guard against closing a working link that no list names."""
    book = LearnedAddresses([])
    book.learn(SESSION, [LEARNED], 0)
    book.end_session(SESSION)
    assert not book.forget_unused([LEARNED], 2 * FORGET_ADDRESS_S)
    unlinked_at = 2 * FORGET_ADDRESS_S
    assert not book.forget_unused([], unlinked_at + EARLY)
    assert book.forget_unused([], unlinked_at + FORGET_ADDRESS_S) == [LEARNED]


def test_an_address_from_the_settings_is_never_forgotten() -> None:
    """Guard against an agent that cannot find any entry after an outage."""
    book = LearnedAddresses([CONFIGURED])
    book.learn(SESSION, [CONFIGURED, LEARNED], 0)
    book.end_session(SESSION)
    assert book.forget_unused([], FORGET_ADDRESS_S) == [LEARNED]
