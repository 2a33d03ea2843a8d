"""Register an entry in the store, and follow the registered ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio

from savoryrudder.daemon.logs import log_change
from savoryrudder.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBERS_PREFIX: Final = 'savoryrudder/members/'

_LEASE_S: Final = 6
_RENEWAL_S: Final = 2
_RETRY_S: Final = 0.3


async def follow(
    store: interface.KeyValueStore,
    prefix: str,
    wait_s: float,
    take: Callable[[tuple[interface.KeyValue, ...]], None],
) -> None:
    """Pass on the keys below a prefix with each change until cancelled."""
    after = 0
    is_lost = False
    while True:
        outcome = await store.call(
            interface.WatchPrefix(prefix, after, wait_s),
        )
        if isinstance(outcome, interface.Snapshot):
            if is_lost:
                log_change('store-regained', (('prefix', prefix),))
            is_lost = False
            if outcome.version != after:
                take(outcome.entries)
            after = outcome.version
            continue
        if not is_lost:
            log_change(
                'store-lost',
                (('prefix', prefix), ('reason', str(outcome))),
            )
        is_lost = True
        await anyio.sleep(_RETRY_S)


class Registration:
    """Keep a key of an entry in the store under a lease."""

    def __init__(
        self,
        store: interface.KeyValueStore,
        name: str,
        address: str,
    ) -> None:
        """Prepare to register an entry at its link address."""
        self._store = store
        self._key = f'{MEMBERS_PREFIX}{name}'
        self._address = address
        self._lease = ''

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            if not self._lease and not await self._register():
                await anyio.sleep(_RETRY_S)
                continue
            await anyio.sleep(_RENEWAL_S)
            outcome = await self._store.call(
                interface.RenewLease(self._lease),
            )
            if isinstance(outcome, interface.LeaseLost):
                log_change('registration-lost', (('key', self._key),))
                self._lease = ''

    async def withdraw(self) -> None:
        """Remove the registration."""
        if self._lease:
            await self._store.call(interface.RevokeLease(self._lease))

    async def _register(self) -> bool:
        granted = await self._store.call(interface.GrantLease(_LEASE_S))
        if not isinstance(granted, interface.LeaseHeld):
            return False
        outcome = await self._write(0, granted.lease)
        if isinstance(outcome, interface.SwapConflict):
            # A former start of this entry wrote the key.
            version = outcome.current.version
            outcome = await self._write(version, granted.lease)
        if not isinstance(outcome, interface.Swapped):
            return False
        self._lease = granted.lease
        log_change('registered', (('key', self._key),))
        return True

    async def _write(
        self,
        expected: int,
        lease: str,
    ) -> interface.StoreOutcome:
        operation = interface.SwapKey(
            self._key,
            expected,
            self._address,
            lease,
        )
        return await self._store.call(operation)
