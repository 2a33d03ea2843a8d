"""Reach the platform's store through the product's interface."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
from typing import Any
from typing import Final
from typing import TypeGuard
from urllib.parse import urlencode

import msgspec

from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response
from savoryrudder.platform.http_client import Unanswered
from savoryrudder.store import interface
from savoryrudder.utils.units import MS_PER_S

_TIMEOUT_S: Final = 1.0
_JSON: Final = msgspec.json.Encoder()


class _Item(msgspec.Struct):
    """Read one key; an event of a deletion has no value."""

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class _ItemAnswer(_Item, kw_only=True):
    current_rev: int


class _RangeAnswer(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    # Named for whether another page follows this one.
    more_pages: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _TransactionAnswer(msgspec.Struct):
    revision: int


class _ConflictAnswer(msgspec.Struct):
    # The expected keys as they are now; a key that is absent has revision 0.
    items: list[_Item]


class _LeaseAnswer(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class PlatformStore:
    """Carry out store operations; keeps a copy of each watched prefix."""

    def __init__(self, address: str) -> None:
        """Prepare to call the store at `ip:port`."""
        self._client = PlatformClient(address)
        self._copies: dict[str, dict[str, interface.KeyValue]] = {}

    def move(self, address: str) -> None:
        """Use the store at another address from the next call on."""
        if address != self._client.address:
            self._client = PlatformClient(address)

    async def call(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        """Carry out one operation; a failure is `StoreUnavailable`."""
        try:
            return await self._carry_out(operation)
        except (msgspec.MsgspecError, binascii.Error, ValueError) as error:
            return interface.StoreUnavailable(f'unusable answer: {error}')

    async def _carry_out(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        match operation:
            case interface.ReadKey(key):
                return await self._read(key)
            case interface.SwapKey():
                return await self._swap(operation)
            case interface.WatchPrefix():
                return await self._watch(operation)
            case _:
                return await self._lease(operation)

    async def _lease(
        self,
        operation: interface.GrantLease
        | interface.RenewLease
        | interface.RevokeLease,
    ) -> interface.StoreOutcome:
        match operation:
            case interface.GrantLease(ttl_s):
                body = {'ttl_ms': int(ttl_s * MS_PER_S)}
                answer = await self._send('POST', '/api/kv-lease', body)
                return _lease_of(answer, '')
            case interface.RenewLease(lease):
                answer = await self._send('POST', f'/api/kv-keep/{lease}')
                return _lease_of(answer, lease)
            case interface.RevokeLease(lease):
                path = f'/api/kv-lease-end/{lease}'
                answer = await self._send('DELETE', path)
                return _lease_of(answer, lease)

    async def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> Response | Unanswered:
        content = None if body is None else _JSON.encode(body)
        return await self._client.call(method, path, content, timeout_s)

    async def _read(self, key: str) -> interface.StoreOutcome:
        query = urlencode({'key': key})
        answer = await self._send('GET', f'/api/kv-key?{query}')
        if _has_status(answer, HTTPStatus.NOT_FOUND):
            return interface.KeyValue(key, 0, None)
        if not _has_status(answer, HTTPStatus.OK):
            return _unavailable(answer)
        return _key_value(msgspec.json.decode(answer.content, type=_Item))

    async def _swap(
        self,
        operation: interface.SwapKey,
    ) -> interface.StoreOutcome:
        body: dict[str, Any] = {
            'expect': [
                {'key': operation.key, 'revision': operation.expected},
            ],
            'set_keys': [],
            'remove': [],
        }
        if operation.value is None:
            body['remove'].append(operation.key)
        else:
            content = base64.b64encode(operation.value.encode()).decode()
            body['set_keys'].append(
                {
                    'key': operation.key,
                    'value': content,
                    'lease': int(operation.lease or 0),
                },
            )
        answer = await self._send('POST', '/api/kv-txn', body)
        if _has_status(answer, HTTPStatus.OK):
            written = msgspec.json.decode(
                answer.content,
                type=_TransactionAnswer,
            )
            return interface.Swapped(written.revision)
        if _has_status(answer, HTTPStatus.PRECONDITION_FAILED):
            conflict = msgspec.json.decode(answer.content, type=_ConflictAnswer)
            found = [one for one in conflict.items if one.key == operation.key]
            current = (
                _key_value(found[0])
                if found
                else interface.KeyValue(operation.key, 0, None)
            )
            return interface.SwapConflict(current)
        if _has_status(answer, HTTPStatus.NOT_FOUND):
            return interface.LeaseLost()
        return _unavailable(answer)

    async def _watch(
        self,
        operation: interface.WatchPrefix,
    ) -> interface.StoreOutcome:
        if operation.after == 0 or operation.prefix not in self._copies:
            return await self._read_all(operation.prefix)
        query = urlencode(
            {
                'prefix': operation.prefix,
                'after': operation.after,
                'wait_ms': int(operation.wait_s * MS_PER_S),
            },
        )
        answer = await self._send(
            'GET',
            f'/api/kv-watch?{query}',
            timeout_s=operation.wait_s + _TIMEOUT_S,
        )
        if _has_status(answer, HTTPStatus.GONE):
            # The history since `after` is gone.
            return await self._read_all(operation.prefix)
        if not _has_status(answer, HTTPStatus.OK):
            return _unavailable(answer)
        changes = msgspec.json.decode(answer.content, type=_WatchAnswer)
        copy = self._copies[operation.prefix]
        for item in changes.events:
            if item.deleted:
                copy.pop(item.key, None)
            else:
                copy[item.key] = _key_value(item)
        return interface.Snapshot(changes.current_rev, tuple(copy.values()))

    async def _read_all(self, prefix: str) -> interface.StoreOutcome:
        copy: dict[str, interface.KeyValue] = {}
        # Pages are not a snapshot; the watch goes on from the first one.
        first_version = 0
        query = {'prefix': prefix}
        while True:
            path = f'/api/kv-range?{urlencode(query)}'
            answer = await self._send('GET', path)
            if not _has_status(answer, HTTPStatus.OK):
                return _unavailable(answer)
            page = msgspec.json.decode(answer.content, type=_RangeAnswer)
            first_version = first_version or page.current_rev
            copy.update((item.key, _key_value(item)) for item in page.items)
            if not page.more_pages or not page.items:
                break
            query['after'] = page.items[-1].key
        self._copies[prefix] = copy
        return interface.Snapshot(first_version, tuple(copy.values()))


def _has_status(
    answer: Response | Unanswered,
    status: HTTPStatus,
) -> TypeGuard[Response]:
    return isinstance(answer, Response) and answer.status == status


def _unavailable(
    answer: Response | Unanswered,
) -> interface.StoreUnavailable:
    if isinstance(answer, Unanswered):
        return interface.StoreUnavailable(answer.reason)
    return interface.StoreUnavailable(f'the store answered {answer.status}')


def _key_value(item: _Item) -> interface.KeyValue:
    content = base64.b64decode(item.value, validate=True).decode()
    is_present = item.revision > 0 and not item.deleted
    return interface.KeyValue(
        item.key,
        item.revision,
        content if is_present else None,
    )


def _lease_of(
    answer: Response | Unanswered,
    lease: str,
) -> interface.StoreOutcome:
    if _has_status(answer, HTTPStatus.NOT_FOUND):
        return interface.LeaseLost()
    if isinstance(answer, Unanswered) or answer.status != HTTPStatus.OK:
        return _unavailable(answer)
    if not answer.content:
        return interface.LeaseHeld(lease, 0)
    held = msgspec.json.decode(answer.content, type=_LeaseAnswer)
    name = lease or str(held.lease)
    return interface.LeaseHeld(name, held.ttl_ms / MS_PER_S)
