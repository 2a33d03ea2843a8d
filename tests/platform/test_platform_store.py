"""Test the store on the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import Response
from savoryrudder.store import interface

if TYPE_CHECKING:
    from platform_fakes import FakeStoreServer

    from savoryrudder.platform.store import PlatformStore


def _call(
    store: PlatformStore,
    operation: interface.StoreOperation,
) -> interface.StoreOutcome:
    return anyio.run(store.call, operation, backend='trio')


def test_a_swap_succeeds_only_at_the_expected_version(
    store: PlatformStore,
    store_server: FakeStoreServer,
) -> None:
    """Guards against overwriting what another process wrote."""
    first = _call(store, interface.CompareAndSwap('a/b', 0, 'one', ''))
    assert isinstance(first, interface.Swapped)
    store_server.put('a/b', 'two')
    second = _call(
        store,
        interface.CompareAndSwap('a/b', first.version, 'three', ''),
    )
    assert isinstance(second, interface.SwapConflict)
    assert second.current.value == 'two'


def test_a_conflict_on_an_absent_key_has_version_zero(
    store: PlatformStore,
) -> None:
    """Guards against a crash when the expected key is gone."""
    outcome = _call(store, interface.CompareAndSwap('a/b', 5, 'one', ''))
    assert isinstance(outcome, interface.SwapConflict)
    assert outcome.current == interface.KeyValue('a/b', 0, None)


def test_a_watch_follows_writes_and_deletions(
    store: PlatformStore,
    store_server: FakeStoreServer,
) -> None:
    """Guards against a cache that keeps deleted keys."""
    for name in ('a/1', 'a/2', 'a/3'):
        store_server.put(name, name)
    first = _call(store, interface.WatchPrefix('a/', 0, 1))
    assert isinstance(first, interface.Snapshot)
    assert len(first.entries) == 3
    store_server.remove('a/2')
    store_server.put('b/1', 'other')
    second = _call(store, interface.WatchPrefix('a/', first.version, 1))
    assert isinstance(second, interface.Snapshot)
    assert [entry.key for entry in second.entries] == ['a/1', 'a/3']
    assert second.version == store_server.revision


def test_a_watch_after_a_compaction_reads_all_keys(
    store: PlatformStore,
    store_server: FakeStoreServer,
) -> None:
    """Guards against missing changes after a compaction of the history."""
    store_server.put('a/1', 'one')
    first = _call(store, interface.WatchPrefix('a/', 0, 1))
    assert isinstance(first, interface.Snapshot)
    store_server.remove('a/1')
    store_server.put('a/2', 'two')
    store_server.history_from = store_server.revision
    second = _call(store, interface.WatchPrefix('a/', first.version, 1))
    assert isinstance(second, interface.Snapshot)
    assert [entry.key for entry in second.entries] == ['a/2']


@pytest.mark.parametrize(
    'failure',
    [
        Response(503, b''),
        Response(429, b'{}'),
        Response(200, b'no json'),
        NoResponse('request timed out', sent=True),
    ],
)
def test_an_unusable_response_is_unavailable(
    store: PlatformStore,
    store_server: FakeStoreServer,
    failure: Response | NoResponse,
) -> None:
    """Guards against taking a failure for an empty store."""
    store_server.failure = failure
    outcome = _call(store, interface.WatchPrefix('a/', 0, 1))
    assert isinstance(outcome, interface.StoreUnavailable)


def test_an_expired_lease_is_lost(
    store: PlatformStore,
    store_server: FakeStoreServer,
) -> None:
    """Guards against an entry that assumes it is still registered."""
    granted = _call(store, interface.GrantLease(6))
    assert granted == interface.LeaseHeld('1', 6)
    store_server.leases.clear()
    outcome = _call(store, interface.RenewLease('1'))
    assert isinstance(outcome, interface.LeaseLost)


def test_an_unanswered_call_is_tried_again_with_more_time(
    store: PlatformStore,
    store_server: FakeStoreServer,
) -> None:
    """Guards against tries that each give up on a response under way."""
    store_server.failure = NoResponse('request timed out', sent=True)
    _call(store, interface.ReadKey('a/b'))
    _call(store, interface.ReadKey('a/b'))
    store_server.failure = None
    _call(store, interface.ReadKey('a/b'))
    _call(store, interface.ReadKey('a/b'))
    first, second, third, fourth = store_server.timeouts_s
    assert first < second
    assert (third, fourth) == (second, first)
