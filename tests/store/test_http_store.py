"""Test the HTTP store client against the stand-in store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import anyio
import pytest

from savoryrudder.store import interface
from savoryrudder.store.http import HttpStore
from stand_ins.store import StandInStore

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

pytestmark = pytest.mark.anyio
KEY = 'entries/e 1'


async def test_a_swap_succeeds_only_at_the_expected_version(
    open_store: Callable[..., Any],
) -> None:
    """Guard against overwriting what another writer wrote."""
    async with open_store() as (client, _):
        swapped = await client.call(
            interface.CompareAndSwap(KEY, 0, 'first', '')
        )
        conflict = await client.call(
            interface.CompareAndSwap(KEY, 0, 'second', '')
        )
        current = interface.KeyValue(KEY, swapped.version, 'first')
        assert conflict == interface.SwapConflict(current)
        assert await client.call(interface.ReadKey(KEY)) == current
        deletion = interface.CompareAndSwap(KEY, current.version, None, '')
        await client.call(deletion)
        absent = await client.call(interface.ReadKey(KEY))
        assert absent == interface.KeyValue(KEY, 0, None)


async def test_a_write_without_a_response_is_read_back(
    open_store: Callable[..., Any],
) -> None:
    """Guard against taking a write for failed when its response was lost."""
    async with open_store() as (client, stand_in):
        stand_in.faults.lose_answers = 1
        outcome = await client.call(
            interface.CompareAndSwap(KEY, 0, 'token', '')
        )
        assert isinstance(outcome, interface.StoreUnavailable)
        assert (await client.call(interface.ReadKey(KEY))).value == 'token'
        assert stand_in.calls['write'] == 1


async def test_a_watch_returns_after_a_change_under_its_prefix(
    open_store: Callable[..., Any],
) -> None:
    """Guard against missed changes, deletions among them."""
    async with open_store() as (client, stand_in):
        first = await client.call(interface.WatchPrefix('entries/', 0, 10))
        assert first == interface.Snapshot(0, ())
        version = stand_in.content.put(KEY, 'here', '')
        stand_in.content.put('terms/x', '', '')
        watch = interface.WatchPrefix('entries/', version, 10)
        async with anyio.create_task_group() as group:
            group.start_soon(_delete_when_watched, stand_in)
            second = await client.call(watch)
        assert second == interface.Snapshot(stand_in.content.version, ())


async def _delete_when_watched(stand_in: Any) -> None:
    while stand_in.calls['watch'] < 2:
        await anyio.sleep(0)
    stand_in.content.delete(KEY)


async def test_an_expired_lease_is_lost(
    open_store: Callable[..., Any],
) -> None:
    """Guard against an owner that relies on an expired lease."""
    async with open_store() as (client, _):
        lease = (await client.call(interface.GrantLease(0))).lease
        renewed = await client.call(interface.RenewLease(lease))
        assert renewed == interface.LeaseLost()
        attached = interface.CompareAndSwap(KEY, 0, 'x', lease)
        assert await client.call(attached) == interface.LeaseLost()


async def test_revoking_a_lease_deletes_its_keys(
    open_store: Callable[..., Any],
) -> None:
    """Guard against entries that stay registered after their lease ends."""
    async with open_store() as (client, _):
        lease = (await client.call(interface.GrantLease(60))).lease
        await client.call(interface.CompareAndSwap(KEY, 0, 'x', lease))
        await client.call(interface.RevokeLease(lease))
        assert (await client.call(interface.ReadKey(KEY))).version == 0


@pytest.mark.parametrize('fault', ['down_s', 'slow_ms'])
async def test_an_outage_is_reported_as_unavailable(
    open_store: Callable[..., Any],
    fault: str,
) -> None:
    """Guard against exceptions, and calls without a time limit."""
    async with open_store(timeout_s=0.2) as (client, stand_in):
        stand_in.faults.update({fault: 60_000})
        outcome = await client.call(interface.ReadKey(KEY))
        assert isinstance(outcome, interface.StoreUnavailable)


async def test_content_survives_a_restart(tmp_path: Path) -> None:
    """Guard against a stand-in store that loses acknowledged writes."""
    path = tmp_path / 'snapshot'
    before = StandInStore(path).content
    version = before.put(KEY, 'here', before.grant(5))
    after = StandInStore(path).content
    assert after.describe(KEY) == before.describe(KEY)
    assert after.version == version
    assert after.leases.keys() == before.leases.keys()
    # The stand-in does not store deletions, so it reports a change.
    assert after.has_changed('', version - 1)


async def test_a_refused_connection_is_reported_as_unavailable() -> None:
    """Guard against an exception when nothing listens at the port."""
    client = HttpStore('http://127.0.0.1:1', 1)
    outcome = await client.call(interface.ReadKey(KEY))
    assert isinstance(outcome, interface.StoreUnavailable)
    await client.close()
