"""Call the upstream on the same host, over HTTP on loopback."""

from __future__ import annotations

import contextlib
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import quote

import anyio
import httpx

from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import TaskKey

_KEEPALIVE_S: Final = 5
_CONNECT_TIMEOUT_S: Final = 1
_MAX_RESULT_BYTES: Final = 16 * 1024 * 1024
# httpcore emits this trace event before it writes the first byte of a request.
_REQUEST_STARTED_EVENT: Final = 'send_request_headers.started'


class UpstreamResult(NamedTuple):
    """Hold the result of a call: complete, failed, unknown or not-run."""

    outcome: str
    result: bytes
    reason: str


class _Call:
    """Track a call in progress and whether its request may have been sent."""

    def __init__(self, deadline_ms: int) -> None:
        self.is_sent = False
        self.is_stopped = False
        self.scope = anyio.CancelScope(
            deadline=anyio.current_time() + deadline_ms / MS_PER_S,
        )

    async def on_trace_event(self, event: str, details: dict[str, Any]) -> None:
        """Handle a trace event of httpcore."""
        if event.endswith(_REQUEST_STARTED_EVENT):
            self.is_sent = True

    def failure(self, reason: str) -> UpstreamResult:
        """Return the result of a call that ended without a response."""
        outcome = 'unknown' if self.is_sent else 'not-run'
        return UpstreamResult(outcome, b'', reason)


class UpstreamClient:
    """Call one upstream; a request is sent once and never retried."""

    def __init__(
        self,
        url: str,
        connections: int,
        max_result_bytes: int = _MAX_RESULT_BYTES,
        keepalive_s: float = _KEEPALIVE_S,
    ) -> None:
        """Prepare to call the upstream at `url`.

        A connection that was idle for longer than `keepalive_s` is not reused.
        """
        self._url = url
        self._max_result_bytes = max_result_bytes
        self._calls: dict[TaskKey, _Call] = {}
        self._client = httpx.AsyncClient(
            base_url=url,
            trust_env=False,
            timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_S),
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=keepalive_s,
            ),
        )

    @property
    def url(self) -> str:
        """Return the base URL of the upstream."""
        return self._url

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def stop(self, task: TaskKey) -> None:
        """Cancel a running call; its outcome is unknown if it was sent."""
        call = self._calls.get(task)
        if call is not None:
            call.is_stopped = True
            call.scope.cancel()

    async def call(
        self,
        task: TaskKey,
        operation: str,
        payload: bytes,
        deadline_ms: int,
        trace: str,
    ) -> UpstreamResult:
        """Run a task within its deadline and return the result.

        A task whose call is still running is not sent again.
        """
        if task in self._calls:
            return UpstreamResult('unknown', b'', 'already running')
        submission, position = task
        headers = {
            'accept-encoding': 'identity',
            'content-type': 'application/octet-stream',
            'idempotency-key': f'{submission.hex()}/{position}',
            'deadline-ms': str(deadline_ms),
        }
        # The value comes from callers, and httpx raises on invalid header text.
        if trace and trace.isascii() and trace.isprintable():
            headers['traceparent'] = trace
        call = _Call(deadline_ms)
        with contextlib.ExitStack() as cleanup:
            self._calls[task] = call
            cleanup.callback(self._calls.pop, task)
            return await self._exchange(call, operation, payload, headers)

    async def _exchange(
        self,
        call: _Call,
        operation: str,
        payload: bytes,
        headers: dict[str, str],
    ) -> UpstreamResult:
        request = self._client.build_request(
            'POST',
            f'/run/{quote(operation, safe="")}',
            content=payload,
            headers=headers,
            extensions={'trace': call.on_trace_event},
        )
        with call.scope:
            try:
                return await self._send(request)
            except httpx.HTTPError as error:
                return call.failure(type(error).__name__)
        return call.failure('stopped' if call.is_stopped else 'deadline passed')

    async def _send(self, request: httpx.Request) -> UpstreamResult:
        response = await self._client.send(request, stream=True)
        async with contextlib.aclosing(response):
            return await self._read(response)

    async def _read(self, response: httpx.Response) -> UpstreamResult:
        if response.status_code != HTTPStatus.OK:
            return _error_result(response)
        if not _has_framing(response):
            return UpstreamResult('unknown', b'', 'answer without a length')
        content = bytearray()
        async for chunk in response.aiter_raw():
            content.extend(chunk)
            if len(content) > self._max_result_bytes:
                return UpstreamResult('failed', b'', 'result is too large')
        return UpstreamResult('complete', bytes(content), '')


def _error_result(response: httpx.Response) -> UpstreamResult:
    status = response.status_code
    reason = f'upstream answered {status}'
    if status < HTTPStatus.BAD_REQUEST:
        return UpstreamResult('unknown', b'', reason)
    is_unavailable = status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_unavailable and response.headers.get('not-run') == '1':
        return UpstreamResult('not-run', b'', reason)
    return UpstreamResult('failed', b'', reason)


def _has_framing(response: httpx.Response) -> bool:
    # Without framing, a truncated body looks complete.
    headers = response.headers
    return 'content-length' in headers or 'transfer-encoding' in headers
