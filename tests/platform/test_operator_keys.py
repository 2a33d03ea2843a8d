"""Test that what the operator writes to the store reaches the dispatcher."""

from __future__ import annotations

import base64
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import anyio
import pytest
from platform_fakes import FakeStoreServer
from test_store_outages import SilentStoreServer
from trio.testing import MockClock

from savoryrudder.daemon.dispatcher import Dispatcher
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.metrics import Counters
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.platform.configuration import CONFIGURATION_KEY
from savoryrudder.platform.entry import follow_operator
from savoryrudder.platform.evacuations import read_evacuated_zones
from savoryrudder.platform.store import PlatformStore
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable

KEY = 'op/evacuate/zone-a'
OTHER_KEY = 'op/evacuate/zone-b'
ODD_KEYS = ('op/evacuate/', 'op/evacuate', 'op/evacuated/x', 'op/', 'op/wave')
WAIT_S = 1
CONFIGURATION = '{"version":3,"routes":[]}'


async def _follow(
    change: Callable[[FakeStoreServer], None],
    history_is_lost: bool,
) -> tuple[tuple[str, ...], tuple[str, ...], int]:
    """Return the zones before and after a change, and the configuration."""
    server = SilentStoreServer(0, 0, 0.01)
    server.put(CONFIGURATION_KEY, CONFIGURATION)
    server.put(KEY, '{}')
    store = PlatformStore('store')
    store._client = server
    identity = DispatchIdentity('e1', 'e1#1', '127.0.0.1:0', 'zone-a')
    dispatcher = Dispatcher(
        DispatchState(identity, DispatchTiming(2.5)),
        Counters(),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(
            follow_operator,
            store,
            WAIT_S,
            dispatcher,
            Intake(),
        )
        await anyio.sleep(0.5)
        before = dispatcher.state.evacuation.zones
        change(server)
        if history_is_lost:
            server.history_from = server.revision + 1
            await anyio.sleep(2 * WAIT_S)
        await anyio.sleep(0.5)
        group.cancel_scope.cancel()
    state = dispatcher.state
    return before, state.evacuation.zones, state.configuration.version


def _play(
    change: Callable[[FakeStoreServer], None],
    *,
    history_is_lost: bool = False,
) -> Any:
    return anyio.run(
        partial(_follow, change, history_is_lost),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_an_entry_follows_evacuations_beside_the_configuration() -> None:
    """Guards against an entry that reads its configuration only."""
    played = _play(lambda server: server.put(OTHER_KEY, '{}'))
    assert played == (('zone-a',), ('zone-a', 'zone-b'), 3)


@pytest.mark.parametrize('history_is_lost', [False, True])
def test_a_deleted_key_ends_the_evacuation(history_is_lost: bool) -> None:
    """Guards against a zone that stays evacuated, also without the history."""
    played = _play(
        lambda server: server.remove(KEY),
        history_is_lost=history_is_lost,
    )
    assert played == (('zone-a',), (), 3)


def test_an_evacuation_that_the_history_misses_is_read() -> None:
    """Guards against an entry that missed the write in a compaction."""
    played = _play(
        lambda server: server.put(OTHER_KEY, '{}'),
        history_is_lost=True,
    )
    assert played == (('zone-a',), ('zone-a', 'zone-b'), 3)


@pytest.mark.parametrize(
    'text',
    ['', 'null', 'no json', '[' * 5000, '\u0000', '{"a":1}'],
)
def test_an_evacuation_counts_whatever_its_value_is(text: str) -> None:
    """Guards against a zone that is used because its key has an odd value."""
    played = _play(lambda server: server.put(OTHER_KEY, text))
    assert played[1] == ('zone-a', 'zone-b')


def _put_bytes(server: FakeStoreServer) -> None:
    server.put(OTHER_KEY, '')
    server.items[OTHER_KEY]['value'] = base64.b64encode(b'\xff').decode()


def test_bytes_that_are_no_text_count_as_well() -> None:
    """Guards against a value of another writer that hides the key."""
    assert _play(_put_bytes)[1] == ('zone-a', 'zone-b')


def _put_odd_keys(server: FakeStoreServer) -> None:
    for key in ODD_KEYS:
        server.put(key, '{}')


def test_odd_keys_name_no_zone_and_hide_none() -> None:
    """Guards against a key of another writer that ends or blinds an entry."""
    assert _play(_put_odd_keys) == (('zone-a',), ('zone-a',), 3)


def test_a_key_without_a_zone_is_counted() -> None:
    """Guards against an operator's slip that nobody can see."""
    counters = Counters()
    entries = (interface.KeyValue('op/evacuate/', 4, '{}'),)
    snapshot = interface.Snapshot(9, entries)
    assert read_evacuated_zones(snapshot, counters) == EvacuatedZones(9, ())
    assert counters.counts['refused_evacuations'] == 1


def test_a_key_that_is_newer_than_its_snapshot_raises_the_revision() -> None:
    """Guards against agents that take a new evacuation for an outdated one.

    A large snapshot is read in parts, and bears the revision of the first.
    """
    entries = (interface.KeyValue(KEY, 12, '{}'),)
    zones = read_evacuated_zones(interface.Snapshot(9, entries), Counters())
    assert zones == EvacuatedZones(12, ('zone-a',))
