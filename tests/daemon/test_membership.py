"""Test how a process follows the list of the registered entries."""

from __future__ import annotations

from functools import partial

import anyio
from trio.testing import MockClock

from savoryrudder.daemon.membership import watch_prefix
from savoryrudder.store import interface

PREFIX = 'm/'
PAUSE_S = 0.3


class ChangingStore:
    """Answer watches with a new version, one change each 10 ms."""

    def __init__(self, changes: int) -> None:
        """Change a number of times from now on."""
        self._started_at = anyio.current_time()
        self._changes = changes

    async def call(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        """Wait for a version after the one that is known."""
        assert isinstance(operation, interface.WatchPrefix)
        while self._version <= operation.after_version:
            await anyio.sleep(0.01)
        version = self._version
        entries = tuple(
            interface.KeyValue(f'{PREFIX}{number}', 1, 'x')
            for number in range(version)
        )
        return interface.Snapshot(version, entries)

    @property
    def _version(self) -> int:
        elapsed_s = anyio.current_time() - self._started_at
        return 1 + min(int(elapsed_s / 0.01), self._changes - 1)


async def _watch(changes: int, pause_s: float) -> list[int]:
    told: list[tuple[interface.KeyValue, ...]] = []
    store = ChangingStore(changes)
    with anyio.move_on_after(5):
        await watch_prefix(store, PREFIX, 1, told.append, pause_s)
    return [len(entries) for entries in told]


def _lengths(changes: int, pause_s: float) -> list[int]:
    return anyio.run(
        partial(_watch, changes, pause_s),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_changes_that_come_together_are_told_together() -> None:
    """Guards against links that are chosen anew at each registration."""
    lengths = _lengths(35, PAUSE_S)
    assert len(lengths) <= 3
    assert lengths[-1] == 35


def test_the_first_list_is_told_at_once_and_the_last_is_not_missed() -> None:
    """Guards against a process that waits for entries that are there."""
    assert _lengths(1, PAUSE_S) == [1]
    assert _lengths(2, PAUSE_S) == [1, 2]
