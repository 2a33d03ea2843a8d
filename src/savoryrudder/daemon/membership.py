"""Register an entry in the store and watch the registered ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio

from savoryrudder.daemon.logs import log_event
from savoryrudder.protocol.members import Member
from savoryrudder.protocol.members import decode_member
from savoryrudder.protocol.members import encode_member
from savoryrudder.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savoryrudder.daemon.metrics import Counters

MEMBERS_PREFIX: Final = 'savoryrudder/members/'

_LEASE_S: Final = 6
_RENEWAL_S: Final = 2
# Pause after a call that failed.
RETRY_S: Final = 0.3


async def watch_prefix(
    store: interface.KeyValueStore,
    prefix: str,
    wait_s: float,
    on_change: Callable[[tuple[interface.KeyValue, ...]], None],
    pause_s: float = 0,
) -> None:
    """Call `on_change` with the keys below a prefix on each change.

    Runs as `watch_snapshots`.
    """
    await watch_snapshots(
        store,
        prefix,
        wait_s,
        lambda snapshot: on_change(snapshot.entries),
        pause_s,
    )


async def watch_snapshots(
    store: interface.KeyValueStore,
    prefix: str,
    wait_s: float,
    on_change: Callable[[interface.Snapshot], None],
    pause_s: float = 0,
) -> None:
    """Call `on_change` with the keys and the version of each change.

    Runs until cancelled; `wait_s` bounds each long poll of the store. Changes
    within `pause_s` of a call are told together. After a call that failed, the
    store is asked for what has changed meanwhile, without a wait: it may be
    silent still, and a long poll would hide its return.
    """
    last_version = 0
    is_store_lost = False
    while True:
        outcome = await store.call(
            interface.WatchPrefix(
                prefix,
                last_version,
                0 if is_store_lost else wait_s,
            ),
        )
        if isinstance(outcome, interface.Snapshot):
            if is_store_lost:
                log_event('store-regained', (('prefix', prefix),))
            is_store_lost = False
            if outcome.version != last_version:
                on_change(outcome)
                await anyio.sleep(pause_s)
            last_version = outcome.version
            continue
        if not is_store_lost:
            log_event(
                'store-lost',
                (('prefix', prefix), ('reason', str(outcome))),
            )
        is_store_lost = True
        await anyio.sleep(RETRY_S)


def read_members(
    entries: Iterable[interface.KeyValue],
    counters: Counters,
) -> list[Member]:
    """Return the registered entries; refused ones are logged and counted."""
    members = []
    for entry in entries:
        if entry.value is None:
            continue
        decoded = decode_member(entry.value)
        if decoded.is_ok():
            members.append(decoded.ok)
        else:
            counters.count('refused_members')
            log_event(
                'member-unreadable',
                (('key', entry.key), ('reason', decoded.error)),
            )
    return members


class Registration:
    """Keep the key of an entry in the store under a lease."""

    def __init__(
        self,
        store: interface.KeyValueStore,
        member: Member,
    ) -> None:
        """Prepare to register an entry."""
        self._store = store
        self._key = f'{MEMBERS_PREFIX}{member.name}'
        self._content = encode_member(member)
        self._lease = ''

    async def run(self) -> None:
        """Register the entry and renew its lease until cancelled.

        A renewal that failed is repeated soon: a lease that has expired in an
        outage of the store is replaced when the store is back.
        """
        pause_s: float = _RENEWAL_S
        while True:
            if not self._lease and not await self._register():
                await anyio.sleep(RETRY_S)
                continue
            await anyio.sleep(pause_s)
            outcome = await self._store.call(
                interface.RenewLease(self._lease),
            )
            is_failed = isinstance(outcome, interface.StoreUnavailable)
            pause_s = RETRY_S if is_failed else _RENEWAL_S
            if isinstance(outcome, interface.LeaseLost):
                log_event('registration-lost', (('key', self._key),))
                self._lease = ''

    async def withdraw(self) -> None:
        """Revoke the lease, which removes the key."""
        if self._lease:
            await self._store.call(interface.RevokeLease(self._lease))

    async def _register(self) -> bool:
        granted = await self._store.call(interface.GrantLease(_LEASE_S))
        if not isinstance(granted, interface.LeaseHeld):
            return False
        outcome = await self._swap_key(0, granted.lease)
        if isinstance(outcome, interface.SwapConflict):
            # The key was written by an earlier incarnation of this entry.
            version = outcome.current.version
            outcome = await self._swap_key(version, granted.lease)
        if not isinstance(outcome, interface.Swapped):
            return False
        self._lease = granted.lease
        log_event('registered', (('key', self._key),))
        return True

    async def _swap_key(
        self,
        expected: int,
        lease: str,
    ) -> interface.StoreOutcome:
        operation = interface.CompareAndSwap(
            self._key,
            expected,
            self._content,
            lease,
        )
        return await self._store.call(operation)
