"""Implement the store interface on the platform's key-value service."""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import Any
from typing import Final
from typing import TypeGuard
from urllib.parse import urlencode

import msgspec

from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.membership import RETRY_S
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.unexpected import contain_errors
from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response
from savoryrudder.store import interface
from savoryrudder.utils.checked import DECODE_ERRORS
from savoryrudder.utils.units import MS_PER_S

# Time limits for the beginning of a response, the second one after a request
# that got none, and for each further part of it. The time that a whole response
# takes depends on its size and on what else uses the machine's link. A request
# that may wait at the store for a change always has the first one on top of its
# wait: what follows one without an answer is to be sent soon.
_TIMEOUT_S: Final = 1.0
_RETRY_TIMEOUT_S: Final = 2.0
_PROGRESS_TIMEOUT_S: Final = 2.0
# Time for the answer to the first call that reaches the store again.
_ANSWER_S: Final = 0.5
_MIN_WATCH_S: Final = 0.2
_encoder: Final = msgspec.json.Encoder()


class _Item(msgspec.Struct):
    """Hold a key and its value; a deletion event has no value."""

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class _KeyBody(_Item, kw_only=True):
    current_rev: int


class _RangeBody(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    # Whether another page follows this one.
    more_pages: bool = False


class _WatchBody(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _TransactionBody(msgspec.Struct):
    revision: int


class _ConflictBody(msgspec.Struct):
    # The current state of the expected keys; an absent key has revision 0.
    items: list[_Item]


class _LeaseBody(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


def longest_watch_s(news_limit_s: float) -> float:
    """Return how long a watch may wait, to hear of a change within a limit.

    The limit counts from the end of an outage in which the store was silent. A
    watch that began before it gets no answer, and the next call tells the
    change. All times are in seconds.
    """
    others_s = _TIMEOUT_S + RETRY_S + _ANSWER_S
    return max(news_limit_s - others_s, _MIN_WATCH_S)


class PlatformStore:
    """Execute store operations; caches the keys of each watched prefix."""

    def __init__(self, address: str, counters: Counters | None = None) -> None:
        """Create a client of the store at `ip:port`."""
        self._client = PlatformClient(address)
        self._counters = counters or Counters()
        self._timeout_s = _TIMEOUT_S
        self._cached_prefixes: dict[str, dict[str, interface.KeyValue]] = {}

    def set_address(self, address: str) -> None:
        """Use the store at another address from the next operation on."""
        if address != self._client.address:
            self._client = PlatformClient(address)

    async def call(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        """Execute an operation; a failure is `StoreUnavailable`."""
        with contain_errors(self._counters, 'store'):
            try:
                return await self._execute(operation)
            except DECODE_ERRORS as error:
                return interface.StoreUnavailable(
                    f'unusable response: {error}',
                )
        return interface.StoreUnavailable('unexpected error')

    async def _execute(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        match operation:
            case interface.ReadKey(key):
                return await self._read(key)
            case interface.CompareAndSwap():
                return await self._swap(operation)
            case interface.WatchPrefix():
                return await self._watch(operation)
            case _:
                return await self._execute_lease(operation)

    async def _execute_lease(
        self,
        operation: interface.GrantLease
        | interface.RenewLease
        | interface.RevokeLease,
    ) -> interface.StoreOutcome:
        match operation:
            case interface.GrantLease(ttl_s):
                body = {'ttl_ms': int(ttl_s * MS_PER_S)}
                response = await self._send('POST', '/api/kv-lease', body)
                return _decode_lease(response, '')
            case interface.RenewLease(lease):
                response = await self._send('POST', f'/api/kv-keep/{lease}')
                return _decode_lease(response, lease)
            case interface.RevokeLease(lease):
                path = f'/api/kv-lease-end/{lease}'
                response = await self._send('DELETE', path)
                return _decode_lease(response, lease)

    async def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        wait_s: float = 0,
    ) -> Response | NoResponse:
        content = None if body is None else _encoder.encode(body)
        timeout_s = wait_s + _TIMEOUT_S if wait_s else self._timeout_s
        response = await self._client.request(
            method,
            path,
            content,
            timeout_s,
            progress_timeout_s=_PROGRESS_TIMEOUT_S,
        )
        is_unanswered = isinstance(response, NoResponse) and response.sent
        self._timeout_s = _RETRY_TIMEOUT_S if is_unanswered else _TIMEOUT_S
        return response

    async def _read(self, key: str) -> interface.StoreOutcome:
        query = urlencode({'key': key})
        response = await self._send('GET', f'/api/kv-key?{query}')
        if _has_status(response, HTTPStatus.NOT_FOUND):
            return interface.KeyValue(key, 0, None)
        if not _has_status(response, HTTPStatus.OK):
            return _unavailable(response)
        return _convert_item(msgspec.json.decode(response.content, type=_Item))

    async def _swap(
        self,
        operation: interface.CompareAndSwap,
    ) -> interface.StoreOutcome:
        body: dict[str, Any] = {
            'expect': [
                {'key': operation.key, 'revision': operation.expected_version},
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
        response = await self._send('POST', '/api/kv-txn', body)
        if _has_status(response, HTTPStatus.OK):
            transaction = msgspec.json.decode(
                response.content,
                type=_TransactionBody,
            )
            return interface.Swapped(transaction.revision)
        if _has_status(response, HTTPStatus.PRECONDITION_FAILED):
            conflict = msgspec.json.decode(response.content, type=_ConflictBody)
            matching = [
                item for item in conflict.items if item.key == operation.key
            ]
            current = (
                _convert_item(matching[0])
                if matching
                else interface.KeyValue(operation.key, 0, None)
            )
            return interface.SwapConflict(current)
        if _has_status(response, HTTPStatus.NOT_FOUND):
            return interface.LeaseLost()
        return _unavailable(response)

    async def _watch(
        self,
        operation: interface.WatchPrefix,
    ) -> interface.StoreOutcome:
        if (
            operation.after_version == 0
            or operation.prefix not in self._cached_prefixes
        ):
            return await self._read_all(operation.prefix)
        query = urlencode(
            {
                'prefix': operation.prefix,
                'after': operation.after_version,
                'wait_ms': int(operation.wait_s * MS_PER_S),
            },
        )
        response = await self._send(
            'GET',
            f'/api/kv-watch?{query}',
            wait_s=operation.wait_s,
        )
        if _has_status(response, HTTPStatus.GONE):
            # The store no longer has the changes since `after_version`.
            return await self._read_all(operation.prefix)
        if not _has_status(response, HTTPStatus.OK):
            return _unavailable(response)
        changes = msgspec.json.decode(response.content, type=_WatchBody)
        cached = self._cached_prefixes[operation.prefix]
        for item in changes.events:
            if item.deleted:
                cached.pop(item.key, None)
            else:
                cached[item.key] = _convert_item(item)
        return interface.Snapshot(changes.current_rev, tuple(cached.values()))

    async def _read_all(self, prefix: str) -> interface.StoreOutcome:
        cached: dict[str, interface.KeyValue] = {}
        # The pages are read at different revisions. The watch continues from
        # that of the first page, so that no change is missed.
        first_version = 0
        query = {'prefix': prefix}
        while True:
            path = f'/api/kv-range?{urlencode(query)}'
            response = await self._send('GET', path)
            if not _has_status(response, HTTPStatus.OK):
                return _unavailable(response)
            page = msgspec.json.decode(response.content, type=_RangeBody)
            first_version = first_version or page.current_rev
            cached.update(
                (item.key, _convert_item(item)) for item in page.items
            )
            if not page.more_pages or not page.items:
                break
            query['after'] = page.items[-1].key
        self._cached_prefixes[prefix] = cached
        return interface.Snapshot(first_version, tuple(cached.values()))


def _has_status(
    response: Response | NoResponse,
    status: HTTPStatus,
) -> TypeGuard[Response]:
    return isinstance(response, Response) and response.status == status


def _unavailable(
    response: Response | NoResponse,
) -> interface.StoreUnavailable:
    if isinstance(response, NoResponse):
        return interface.StoreUnavailable(response.reason)
    return interface.StoreUnavailable(
        f'the store responded with status {response.status}',
    )


def _convert_item(item: _Item) -> interface.KeyValue:
    content = _decode_value(item)
    is_present = item.revision > 0 and not item.deleted
    return interface.KeyValue(
        item.key,
        item.revision,
        content if is_present else None,
    )


def _decode_value(item: _Item) -> str:
    # Another writer may have left any bytes. An empty text holds nothing that
    # a reader takes for an entry, and the other keys are read as usual.
    try:
        return base64.b64decode(item.value, validate=True).decode()
    except ValueError as error:
        log_event(
            'store-value-unreadable',
            (('key', item.key), ('reason', str(error))),
        )
        return ''


def _decode_lease(
    response: Response | NoResponse,
    lease: str,
) -> interface.StoreOutcome:
    if _has_status(response, HTTPStatus.NOT_FOUND):
        return interface.LeaseLost()
    if isinstance(response, NoResponse) or response.status != HTTPStatus.OK:
        return _unavailable(response)
    if not response.content:
        return interface.LeaseHeld(lease, 0)
    granted = msgspec.json.decode(response.content, type=_LeaseBody)
    name = lease or str(granted.lease)
    return interface.LeaseHeld(name, granted.ttl_ms / MS_PER_S)
