"""Serve and send HTTP/1.1 requests with asyncio."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import urlsplit


class Request(NamedTuple):
    """Hold a request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b'{}')


Reply = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Reply]]
_BACKLOG = 128
_listening: set[asyncio.Task[None]] = set()


async def serve(
    host: str,
    port: int,
    handler: Handler,
    max_channels: int = 1000,
) -> None:
    """Begin to serve requests on an address.

    Of more channels than the limit, the others wait to be accepted.
    """
    listener = socket.create_server((host, port), backlog=_BACKLOG)
    listener.setblocking(False)
    _listening.add(
        asyncio.create_task(_accept(listener, handler, max_channels)),
    )


async def _accept(
    listener: socket.socket,
    handler: Handler,
    max_channels: int,
) -> None:
    loop = asyncio.get_running_loop()
    free = asyncio.Semaphore(max_channels)
    serving: set[asyncio.Task[None]] = set()

    def end(task: asyncio.Task[None]) -> None:
        serving.discard(task)
        free.release()

    while True:
        await free.acquire()
        channel, _ = await loop.sock_accept(listener)
        task = asyncio.create_task(_serve_channel(channel, handler))
        serving.add(task)
        task.add_done_callback(end)


async def _serve_channel(channel: socket.socket, handler: Handler) -> None:
    reader, writer = await asyncio.open_connection(sock=channel)
    try:
        while True:
            request = await _read_request(reader)
            if request is None:
                break
            status, body = await handler(request)
            content = json.dumps(body).encode()
            head = (
                f'HTTP/1.1 {status} X\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(content)}\r\n\r\n'
            )
            writer.write(head.encode() + content)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        # The client has gone.
        return
    finally:
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    return Request(method, parts.path, query, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            return headers
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()


class Response(NamedTuple):
    """Hold a response, or status 0 and why there was none."""

    status: int
    text: str


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any = None,
    leave_after_s: float = 60,
) -> Response:
    """Send a request on a new connection; close it after a time."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, headers, body),
            leave_after_s,
        )
    except TimeoutError:
        return Response(0, 'the client closed the connection')
    except (OSError, asyncio.IncompleteReadError) as error:
        return Response(0, f'no response: {error!r}')


async def _exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any,
) -> Response:
    reader, writer = await asyncio.open_connection(*address)
    try:
        content = b'' if body is None else json.dumps(body).encode()
        fields = {
            'Host': address[0],
            'Content-Type': 'application/json',
            'Content-Length': str(len(content)),
            **headers,
        }
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in fields.items())
        head = '\r\n'.join((*lines, '', ''))
        writer.write(head.encode() + content)
        await writer.drain()
        status_line = await reader.readline()
        if not status_line:
            raise ConnectionError('the server closed the connection')
        received = await _read_headers(reader)
        length = int(received.get('content-length', 0))
        text = (await reader.readexactly(length)).decode()
        return Response(int(status_line.split()[1]), text)
    finally:
        writer.close()
