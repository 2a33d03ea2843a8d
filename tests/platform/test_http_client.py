"""Test the HTTP client against a local server."""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest
import trio
from anyio.abc import SocketAttribute
from anyio.lowlevel import checkpoint
from trio.testing import MockClock

from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio
RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
TIMEOUT_S = 30


class FakeServer:
    """Send `response` to each request; none if it is empty.

    Connections are closed after `requests_per_connection` requests.
    """

    def __init__(self) -> None:
        """Respond to each request at first."""
        self.response = RESPONSE
        self.requests_per_connection = 1_000
        self.connections = 0
        self.requests = 0

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                await self._serve(stream)

    async def _serve(self, stream: SocketStream) -> None:
        count = 0
        while count < self.requests_per_connection:
            count += 1
            await stream.receive()
            self.requests += 1
            if self.response:
                await stream.send(self.response)


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@contextlib.asynccontextmanager
async def run_server(server: FakeServer) -> AsyncIterator[PlatformClient]:
    """Run a server and provide a client of it."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.handle)
        yield PlatformClient(f'127.0.0.1:{port}')
        group.cancel_scope.cancel()


async def test_requests_share_a_connection() -> None:
    """Guards against opening a connection for each request."""
    server = FakeServer()
    async with run_server(server) as client:
        first = await client.request('GET', '/x', None, TIMEOUT_S)
        second = await client.request('GET', '/y', None, TIMEOUT_S)
        assert first == second == Response(200, b'{}')
    assert server.connections == 1


async def test_a_closed_connection_is_not_reused() -> None:
    """Guards against losing a request on a connection known to be closed."""
    server = FakeServer()
    server.requests_per_connection = 1
    async with run_server(server) as client:
        await client.request('GET', '/x', None, TIMEOUT_S)
        # The server's close arrives before the next request.
        while server.requests < 1:
            await anyio.sleep(0.01)
        await anyio.wait_all_tasks_blocked()
        response = await client.request('GET', '/x', None, TIMEOUT_S)
        assert response == Response(200, b'{}')
    assert server.connections == 2


async def test_a_timed_out_request_closes_its_connection() -> None:
    """Guards against treating a request without a response as not sent."""
    server = FakeServer()
    async with run_server(server) as client:
        await client.request('GET', '/x', None, TIMEOUT_S)
        server.response = b''
        response = await client.request('POST', '/x', b'{}', 0.05)
        assert response == NoResponse('request timed out', sent=True)
        server.response = RESPONSE
        second_response = await client.request('POST', '/x', b'{}', TIMEOUT_S)
        assert second_response == Response(200, b'{}')
    assert server.connections == 2


async def test_a_refused_connection_sends_nothing() -> None:
    """Guards against stopping a run whose start was never sent."""
    client = PlatformClient('127.0.0.1:1')
    response = await client.request('POST', '/x', b'{}', TIMEOUT_S)
    assert isinstance(response, NoResponse)
    assert not response.sent


async def test_a_truncated_response_is_unanswered() -> None:
    """Guards against taking a truncated response for a complete one."""
    server = FakeServer()
    server.response = b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}'
    server.requests_per_connection = 1
    async with run_server(server) as client:
        response = await client.request('POST', '/x', b'{}', TIMEOUT_S)
        assert isinstance(response, NoResponse)
        assert response.sent


async def test_a_chunked_response_is_put_together() -> None:
    """Guards against taking a part of a body for the whole one."""
    server = FakeServer()
    server.response = (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        b'1\r\n{\r\n1\r\n}\r\n0\r\n\r\n'
    )
    async with run_server(server) as client:
        response = await client.request('GET', '/x', None, TIMEOUT_S)
        assert response == Response(200, b'{}')


async def test_a_response_without_a_length_ends_with_the_connection() -> None:
    """Guards against losing the answer of a server that closes."""
    server = FakeServer()
    server.response = b'HTTP/1.1 200 OK\r\n\r\n{}'
    server.requests_per_connection = 1
    async with run_server(server) as client:
        response = await client.request('GET', '/x', None, TIMEOUT_S)
        assert response == Response(200, b'{}')
        assert await client.request('GET', '/x', None, TIMEOUT_S) == response
    assert server.connections == 2


async def test_a_connection_that_the_server_ends_is_not_reused() -> None:
    """Guards against losing a request on a connection that is closing."""
    server = FakeServer()
    server.response = RESPONSE.replace(
        b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
    )
    async with run_server(server) as client:
        await client.request('GET', '/x', None, TIMEOUT_S)
        await client.request('GET', '/x', None, TIMEOUT_S)
    assert server.connections == 2


async def test_a_garbled_response_is_unanswered() -> None:
    """Guards against a crash, or a verdict, from bytes that are not HTTP."""
    server = FakeServer()
    server.response = b'\x00\x01garbage\r\n\r\n'
    async with run_server(server) as client:
        response = await client.request('POST', '/x', b'{}', TIMEOUT_S)
        assert isinstance(response, NoResponse)
        assert response.sent


@pytest.mark.parametrize(
    ('path', 'instance'),
    [('/x', 'i\r\nx: y'), ('/x', 'ž'), ('/x y', 'i')],
)
async def test_line_breaks_do_not_reach_the_wire(
    path: str,
    instance: str,
) -> None:
    """Guards against a second request hidden in an executor's name."""
    server = FakeServer()
    async with run_server(server) as client:
        response = await client.request(
            'POST',
            path,
            b'{}',
            TIMEOUT_S,
            (('expect-instance', instance),),
        )
        assert isinstance(response, NoResponse)
        assert not response.sent
    assert server.requests == 0


class _SlowStream:
    """Deliver a response in parts, each after a delay in seconds."""

    def __init__(self, parts: list[tuple[float, bytes]]) -> None:
        """Take the parts with the delay before each."""
        self._parts = parts
        self.socket = socket.socket()

    async def send_all(self, content: bytes) -> None:
        """Accept a request."""
        await checkpoint()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next part of the response."""
        delay_s, part = self._parts.pop(0)
        await anyio.sleep(delay_s)
        return part


async def _connect_slowly(
    parts: list[tuple[float, bytes]],
    host: str,
    port: int,
) -> _SlowStream:
    await checkpoint()
    return _SlowStream(parts)


async def _request(progress_timeout_s: float) -> Response | NoResponse:
    client = PlatformClient('127.0.0.1:80')
    return await client.request(
        'GET',
        '/x',
        None,
        1,
        progress_timeout_s=progress_timeout_s,
    )


def _request_slowly(
    parts: list[tuple[float, bytes]],
    progress_timeout_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> Response | NoResponse:
    connect = partial(_connect_slowly, parts)
    monkeypatch.setattr(trio, 'open_tcp_stream', connect)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        _request,
        progress_timeout_s,
        backend='trio',
        backend_options={'clock': clock},
    )


HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n'


def test_a_long_response_may_take_longer_than_its_beginning(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that never reads a large configuration.

    Each try ended after a second, and the next one began anew.
    """
    parts = [(0.5, HEAD), (0.8, b'ab'), (0.8, b'cd'), (0.8, b'ef')]
    response = _request_slowly(parts, 1, monkeypatch)
    assert response == Response(200, b'abcdef')


def test_a_response_that_stops_arriving_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting forever on a connection that went silent."""
    parts = [(0.5, HEAD), (0.8, b'ab'), (1.2, b'cd'), (0.1, b'ef')]
    response = _request_slowly(parts, 1, monkeypatch)
    assert response == NoResponse('request timed out', sent=True)


def test_calls_to_an_executor_end_in_bounded_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that is unsettled while bytes trickle in."""
    parts = [(0.5, HEAD), (0.4, b'ab'), (0.4, b'cd'), (0.4, b'ef')]
    response = _request_slowly(parts, 0, monkeypatch)
    assert response == NoResponse('request timed out', sent=True)
