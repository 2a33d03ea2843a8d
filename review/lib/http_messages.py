"""Serve and send HTTP/1.1 messages with asyncio, for stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit


class Request(NamedTuple):
    """Hold a request; the names of headers are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body; an empty one is an empty object."""
        decoded: dict[str, Any] = json.loads(self.body or b'{}')
        return decoded


class Response(NamedTuple):
    """Hold a response."""

    status: int
    body: dict[str, Any]


# A handler that returns None leaves the request unanswered.
Handler = Callable[[Request], Awaitable[Response | None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serve requests; one connection serves one request at a time."""

    def __init__(self, handler: Handler) -> None:
        """Create a server that `start` starts."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port
        )

    def stop(self) -> None:
        """Reset all connections and accept no more, as after a crash."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await _serve_requests(reader, writer, self._handler)
        self._writers.discard(writer)
        writer.close()


async def _serve_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    while True:
        message = await read_message(reader)
        if message is None:
            return
        method, target, _ = message[0].split(' ', 2)
        parts = urlsplit(target)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        request = Request(method, parts.path, query, message[1], message[2])
        response = await handler(request)
        if response is None:
            # The channel returns nothing further.
            await reader.read()
            return
        body = json.dumps(response.body).encode()
        writer.write(
            b'HTTP/1.1 %d Status\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n' % (response.status, len(body)) + body
        )
        await writer.drain()


def encode_request(
    method: str,
    path: str,
    host: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request."""
    content = b'' if body is None else json.dumps(body).encode()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        'Content-Type: application/json',
        f'Content-Length: {len(content)}',
        *(f'{name}: {text}' for name, text in (headers or {}).items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode() + content


async def call(
    address: str,
    request: bytes,
    timeout_s: float,
) -> Response | None:
    """Send a request on a new connection; return None without a response."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            await writer.drain()
            message = await read_message(reader)
    except (TimeoutError, OSError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    status = int(message[0].split(' ')[1])
    return Response(status, json.loads(message[2] or b'{}'))
