"""Call the key-value service over HTTP with JSON."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import quote

import anyio
import httpx
import msgspec

from savoryrudder.store import interface

_MAX_CONNECTIONS: Final = 16
# The platform drops idle connections without notice; a write sent on such a
# connection would be lost, or its outcome would be unknown.
_KEEPALIVE_S: Final = 3
# A snapshot may hold many values of up to 1 MB.
_MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024


class _Request(NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    body: dict[str, Any] | None
    timeout_s: float


class _Response(NamedTuple):
    status: int
    content: bytes


class _KeyBody(msgspec.Struct):
    key: str
    version: int
    value: str | None


class _VersionBody(msgspec.Struct):
    version: int


class _LeaseBody(msgspec.Struct):
    lease: str
    ttl_s: float


class _SnapshotBody(msgspec.Struct):
    version: int
    entries: list[_KeyBody]


class HttpStore:
    """Call the store; sends each operation once, without retries.

    Keys: `GET /v1/keys/{key}`; `PUT` with the JSON fields `expected`, `value`
    and `lease`; `DELETE` with the query field `expected`. A conflict is 409
    with the current key, a lease that does not exist is 410. Leases:
    `POST /v1/leases` with `ttl_s`, `POST /v1/leases/{id}/renew`, `DELETE`.
    Watches: `GET /v1/watch` with `prefix`, `after` and `wait`.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        keepalive_s: float = _KEEPALIVE_S,
    ) -> None:
        """Create a client of the service at `base_url`.

        A connection idle longer than `keepalive_s` is not reused.
        """
        self._timeout_s = timeout_s
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=None,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=_MAX_CONNECTIONS,
                keepalive_expiry=keepalive_s,
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        """Execute an operation; a failure is `StoreUnavailable`."""
        try:
            response = await self._send(self._build_request(operation))
        except TimeoutError:
            return interface.StoreUnavailable('request timed out')
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            reason = str(error) or type(error).__name__
            return interface.StoreUnavailable(reason)
        try:
            return _decode_outcome(operation, response)
        except msgspec.MsgspecError as error:
            return interface.StoreUnavailable(f'unusable response: {error}')

    def _build_request(self, operation: interface.StoreOperation) -> _Request:
        timeout_s = self._timeout_s
        match operation:
            case interface.ReadKey(key):
                return _Request('GET', _key_path(key), {}, None, timeout_s)
            case interface.CompareAndSwap():
                return _swap_request(operation, timeout_s)
            case interface.WatchPrefix(prefix, after_version, wait_s):
                query = {
                    'prefix': prefix,
                    'after': str(after_version),
                    'wait': str(wait_s),
                }
                timeout_s += wait_s
                return _Request('GET', '/v1/watch', query, None, timeout_s)
            case _:
                return _lease_request(operation, timeout_s)

    async def _send(self, request: _Request) -> _Response:
        with anyio.fail_after(request.timeout_s):
            async with self._client.stream(
                request.method,
                request.path,
                params=request.query,
                json=request.body,
                headers={'accept-encoding': 'identity'},
            ) as response:
                return await _read_response(response)


async def _read_response(response: httpx.Response) -> _Response:
    content = bytearray()
    async for chunk in response.aiter_raw():
        content.extend(chunk)
        if len(content) > _MAX_RESPONSE_BYTES:
            raise httpx.ReadError('response is too large')
    return _Response(response.status_code, bytes(content))


def _key_path(key: str) -> str:
    return '/v1/keys/{0}'.format(quote(key, safe=''))


def _swap_request(
    operation: interface.CompareAndSwap,
    timeout_s: float,
) -> _Request:
    path = _key_path(operation.key)
    if operation.value is None:
        query = {'expected': str(operation.expected_version)}
        return _Request('DELETE', path, query, None, timeout_s)
    body = {
        'expected': operation.expected_version,
        'value': operation.value,
        'lease': operation.lease,
    }
    return _Request('PUT', path, {}, body, timeout_s)


def _lease_request(
    operation: interface.GrantLease
    | interface.RenewLease
    | interface.RevokeLease,
    timeout_s: float,
) -> _Request:
    match operation:
        case interface.GrantLease(ttl_s):
            body = {'ttl_s': ttl_s}
            return _Request('POST', '/v1/leases', {}, body, timeout_s)
        case interface.RenewLease(lease):
            path = f'/v1/leases/{quote(lease, safe="")}/renew'
            return _Request('POST', path, {}, None, timeout_s)
        case interface.RevokeLease(lease):
            path = f'/v1/leases/{quote(lease, safe="")}'
            return _Request('DELETE', path, {}, None, timeout_s)


def _decode_outcome(
    operation: interface.StoreOperation,
    response: _Response,
) -> interface.StoreOutcome:
    if response.status == HTTPStatus.OK:
        return _decode(operation, response.content)
    if response.status == HTTPStatus.CONFLICT:
        return interface.SwapConflict(_decode_key(response.content))
    if response.status == HTTPStatus.GONE:
        return interface.LeaseLost()
    return interface.StoreUnavailable(
        f'the store responded with status {response.status}',
    )


def _decode(
    operation: interface.StoreOperation,
    content: bytes,
) -> interface.StoreOutcome:
    match operation:
        case interface.ReadKey():
            return _decode_key(content)
        case interface.CompareAndSwap():
            swapped = msgspec.json.decode(content, type=_VersionBody)
            return interface.Swapped(swapped.version)
        case interface.WatchPrefix():
            return _decode_snapshot(content)
        case interface.RevokeLease():
            return interface.LeaseLost()
        case interface.GrantLease() | interface.RenewLease():
            granted = msgspec.json.decode(content, type=_LeaseBody)
            return interface.LeaseHeld(granted.lease, granted.ttl_s)


def _decode_key(content: bytes) -> interface.KeyValue:
    body = msgspec.json.decode(content, type=_KeyBody)
    return interface.KeyValue(body.key, body.version, body.value)


def _decode_snapshot(content: bytes) -> interface.Snapshot:
    snapshot = msgspec.json.decode(content, type=_SnapshotBody)
    entries = tuple(
        interface.KeyValue(entry.key, entry.version, entry.value)
        for entry in snapshot.entries
    )
    return interface.Snapshot(snapshot.version, entries)
