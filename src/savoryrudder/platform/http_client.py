"""Send HTTP requests to a server of the platform."""

from __future__ import annotations

import contextlib
import re
import select
from functools import partial
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import httptools
import trio

from savoryrudder.utils.addresses import parse_dial_address

if TYPE_CHECKING:
    from collections.abc import Callable

_KEEPALIVE_S: Final = 8
_RECEIVE_BYTES: Final = 65_536
_MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
# What may stand in a path and in the value of a header.
_PATH: Final = re.compile('[!-~]+')
_HEADER_VALUE: Final = re.compile('[ -~]*')
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
# The resolver raises ValueError for a host that cannot be encoded.
_CONNECT_ERRORS: Final = (OSError, ValueError)
_CONNECTION_ERRORS: Final = (OSError, trio.BrokenResourceError)
_PARSE_ERRORS: Final = (
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
)


class Response(NamedTuple):
    """Hold the status and the body of a response."""

    status: int
    content: bytes


class NoResponse(NamedTuple):
    """Report a request that got no response.

    `sent` is False if the server cannot have received the request.
    """

    reason: str
    sent: bool


class _ResponseReceiver:
    """Collect one response after another from the callbacks of a parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.clear()

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether the body lasts until the connection is closed."""
        return self._has_headers and not self._is_length_known

    def clear(self) -> None:
        """Prepare for the next response."""
        self.status = 0
        self.content = bytearray()
        self.is_complete = False
        self.is_kept_alive = False
        self._is_length_known = False
        self._has_headers = False

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Note a header that tells where the body ends."""
        if name.lower() in _FRAMING_HEADERS:
            self._is_length_known = True

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        self._has_headers = True
        self.status = self.parser.get_status_code()
        self.is_kept_alive = self.parser.should_keep_alive()

    def on_body(self, received: bytes) -> None:
        """Append a part of the body."""
        self.content.extend(received)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        self.is_complete = True


class _Connection:
    """Send one HTTP/1.1 request at a time over a connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.used_at = trio.current_time()
        self._stream = stream
        self._response = _ResponseReceiver()
        self._is_kept_alive = True
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent."""
        is_fresh = trio.current_time() - self.used_at < _KEEPALIVE_S
        if not self._is_kept_alive or not is_fresh:
            return False
        # An idle connection is readable only once the server has closed it.
        return not self._poll.poll(0)

    async def exchange(
        self,
        request: bytes,
        on_progress: Callable[[], None],
    ) -> Response:
        """Send a request and return its response.

        `on_progress` is called for each part of the response but the last.
        """
        response = self._response
        response.clear()
        await self._stream.send_all(request)
        await self._receive()
        while not response.is_complete:
            on_progress()
            await self._receive()
        self._is_kept_alive = response.is_kept_alive
        self.used_at = trio.current_time()
        return Response(response.status, bytes(response.content))

    async def _receive(self) -> None:
        received = await self._stream.receive_some(_RECEIVE_BYTES)
        if received:
            self._response.parser.feed_data(received)
        elif self._response.ends_with_connection:
            self._response.on_message_complete()
        else:
            raise trio.BrokenResourceError('the server closed the connection')
        if len(self._response.content) > _MAX_RESPONSE_BYTES:
            raise httptools.HttpParserError('the response is too large')

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.socket.close()


class PlatformClient:
    """Send each request once, over persistent connections.

    After a request without a response, the next requests use new connections,
    since the idle ones may be dead, too. httpx takes many times the processor
    time, and an agent sends a request for each task.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the server at `ip:port`."""
        self._address = address
        self._idle: list[_Connection] = []
        self._generation = 0

    @property
    def address(self) -> str:
        """Return the address of the server."""
        return self._address

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: tuple[tuple[str, str], ...] = (),
        progress_timeout_s: float = 0,
    ) -> Response | NoResponse:
        """Send a request and return its response.

        A response may take longer than `timeout_s` as long as each part of it
        arrives within `progress_timeout_s` of the one before.
        """
        if not _is_well_formed(path, headers):
            return NoResponse('malformed path or header', sent=False)
        request = _encode_request(method, path, self._address, headers, body)
        connection: _Connection | NoResponse = NoResponse(
            'connection timed out',
            sent=False,
        )
        with trio.move_on_after(timeout_s) as limit:
            connection = await self._connect()
            if isinstance(connection, NoResponse):
                return connection
            return await self._exchange(
                connection,
                request,
                partial(_extend, limit, progress_timeout_s),
            )
        if isinstance(connection, NoResponse):
            return connection
        return NoResponse('request timed out', sent=True)

    async def _connect(self) -> _Connection | NoResponse:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        try:
            return await _open_connection(self._address)
        except _CONNECT_ERRORS as error:
            return NoResponse(f'cannot connect: {error}', sent=False)

    async def _exchange(
        self,
        connection: _Connection,
        request: bytes,
        on_progress: Callable[[], None],
    ) -> Response | NoResponse:
        generation = self._generation
        with contextlib.ExitStack() as failure:
            failure.callback(connection.close)
            failure.callback(self._retire_idle_connections)
            try:
                response = await connection.exchange(request, on_progress)
            except _CONNECTION_ERRORS as lost:
                return NoResponse(str(lost) or 'connection lost', sent=True)
            except _PARSE_ERRORS as error:
                return NoResponse(f'malformed response: {error}', sent=True)
            failure.pop_all()
        # After a failure on another connection, this one may be dead, too.
        if generation == self._generation:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def _retire_idle_connections(self) -> None:
        # `_connect` closes these connections as it finds them not reusable.
        self._generation += 1
        for connection in self._idle:
            connection.used_at = float('-inf')


async def _open_connection(address: str) -> _Connection:
    host, port = parse_dial_address(address)
    return _Connection(await trio.open_tcp_stream(host, port))


def _extend(limit: trio.CancelScope, duration_s: float) -> None:
    limit.deadline = max(limit.deadline, trio.current_time() + duration_s)


def _is_well_formed(path: str, headers: tuple[tuple[str, str], ...]) -> bool:
    return _PATH.fullmatch(path) is not None and all(
        _HEADER_VALUE.fullmatch(header_value) for _, header_value in headers
    )


def _encode_request(
    method: str,
    path: str,
    host: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes | None,
) -> bytes:
    content = body or b''
    lines = [
        f'{method} {path} HTTP/1.1',
        f'host: {host}',
        'content-type: application/json',
        f'content-length: {len(content)}',
    ]
    lines.extend(f'{name}: {header_value}' for name, header_value in headers)
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + content
