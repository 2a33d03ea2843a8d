"""Test the HTTP server of the platform's processes over loopback."""

from __future__ import annotations

import contextlib
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import anyio
import pytest

from savoryrudder.daemon import asgi
from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.loop import ReducerError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio
GET = b'GET /a%20b?c HTTP/1.1\r\nhost: x\r\n\r\n'
POST = b'POST /job HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody'
LIMIT_S = 20


class EchoApp:
    """Answer with the method, path and body; `/wait` waits, `/fail` fails."""

    def __init__(self) -> None:
        """Let requests to `/wait` wait."""
        self.release = anyio.Event()
        self.waiting = anyio.Event()
        self.disconnected = anyio.Event()
        self.error: Exception = ValueError('unexpected')

    async def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request."""
        body = await asgi.read_body(receive, 100) or b''
        if scope['path'] == '/fail':
            raise self.error
        if scope['path'] == '/wait':
            self.waiting.set()
            await self._wait(receive)
        if self.disconnected.is_set():
            return
        line = '{0} {1} '.format(scope['method'], scope['path'])
        await asgi.respond(send, asgi.Reply(200, line.encode() + body))

    async def _wait(self, receive: asgi.Receive) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_client, receive)
            await self.release.wait()
            group.cancel_scope.cancel()

    async def _watch_client(self, receive: asgi.Receive) -> None:
        await asgi.wait_disconnected(receive)
        self.disconnected.set()
        self.release.set()


class Served:
    """Hold a running server and connect to it."""

    def __init__(self, app: EchoApp, url: str, stopping: anyio.Event) -> None:
        """Remember where the server listens."""
        self.app = app
        self.stopping = stopping
        self._port = int(url.rpartition(':')[-1])

    async def connect(self) -> SocketStream:
        """Open a connection."""
        return await anyio.connect_tcp('127.0.0.1', self._port)

    async def exchange(self, *requests: bytes) -> bytes:
        """Send requests on a connection and return all that is answered."""
        async with await self.connect() as stream:
            async with anyio.create_task_group() as group:
                group.start_soon(send_all, stream, requests)
                return await read_to_end(stream)


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@contextlib.asynccontextmanager
async def run_server() -> AsyncIterator[Served]:
    """Run a server until the end of the block."""
    app = EchoApp()
    stopping = anyio.Event()
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            url = await group.start(
                serve_plain_http,
                app,
                '127.0.0.1:0',
                stopping,
            )
            yield Served(app, url, stopping)
            group.cancel_scope.cancel()


async def send_all(stream: SocketStream, pieces: Sequence[bytes]) -> None:
    """Send pieces one after the other, and the end of the requests."""
    unsent = deque(pieces)
    while unsent:
        await stream.send(unsent.popleft())
    await stream.send_eof()


async def read_to_end(stream: SocketStream) -> bytes:
    """Return what arrives until the server closes the connection."""
    received = bytearray()
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received.extend(await stream.receive())
    return bytes(received)


async def test_requests_of_a_connection_are_answered_in_order() -> None:
    """Guards against answers that go to another request."""
    async with run_server() as served:
        answered = await served.exchange(GET, POST, GET + POST)
    assert answered.count(b'HTTP/1.1 200 OK') == 4
    bodies = [part.partition(b'HTTP')[0] for part in answered.split(b'\n\r\n')]
    get, post = b'GET /a b ', b'POST /job body'
    assert bodies[1:] == [get, post, get, post]


async def test_a_request_may_arrive_in_pieces() -> None:
    """Guards against taking a part of a request for the whole one."""
    chunked = (
        b'POST /job HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
    )
    async with run_server() as served:
        pieces = [chunked[place : place + 5] for place in range(0, 90, 5)]
        answered = await served.exchange(*pieces)
    assert answered.endswith(b'POST /job body')


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'\x00\x01nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/9.9\r\n\r\n', b'400'),
        (b'POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nx: %s\r\n\r\n' % (b'y' * 2_000_000), b'431'),
        (GET * 100, b'429'),
    ],
)
async def test_bytes_that_are_no_request_are_refused(
    request_bytes: bytes,
    status: bytes,
) -> None:
    """Guards against a process that ends, or memory that grows, on them."""
    async with run_server() as served:
        answered = await served.exchange(request_bytes)
        assert b'HTTP/1.1 %s ' % status in answered or not answered
        assert (await served.exchange(GET)).startswith(b'HTTP/1.1 200')


async def test_a_client_that_waits_is_told_to_send_the_body() -> None:
    """Guards against a client and a server that wait for each other."""
    head, body = POST.replace(b'host: x', b'expect: 100-continue').split(
        b'\r\n\r\n',
    )
    async with run_server() as served, await served.connect() as stream:
        await stream.send(b'%s\r\n\r\n' % head)
        assert (await stream.receive()).startswith(b'HTTP/1.1 100')
        await stream.send(body)
        assert (await stream.receive()).endswith(b'POST /job body')


async def test_an_upgrade_is_declined() -> None:
    """Guards against a request that is lost for an unknown protocol."""
    upgrade = GET.replace(b'host: x', b'connection: upgrade\r\nupgrade: h2c')
    async with run_server() as served:
        answered = await served.exchange(upgrade)
    assert answered.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in answered


async def test_a_client_that_leaves_is_noticed() -> None:
    """Guards against work that goes on for a caller who has gone."""
    async with run_server() as served:
        stream = await served.connect()
        await stream.send(GET.replace(b'/a%20b?c', b'/wait'))
        await served.app.waiting.wait()
        await stream.aclose()
        await served.app.disconnected.wait()


async def _read_until(stream: SocketStream, end: bytes) -> bytes:
    received = bytearray()
    while not received.endswith(end):
        received.extend(await stream.receive())
    return bytes(received)


async def _send_waiting(served: Served) -> SocketStream:
    stream = await served.connect()
    await stream.send(GET.replace(b'/a%20b?c', b'/wait'))
    await served.app.waiting.wait()
    return stream


async def test_a_request_sent_early_is_served_after_the_first() -> None:
    """Guards against taking a client's next request for its leaving."""
    async with run_server() as served, await _send_waiting(served) as stream:
        await stream.send(POST)
        await anyio.wait_all_tasks_blocked()
        served.app.release.set()
        received = await _read_until(stream, b'POST /job body')
    assert received.count(b'HTTP/1.1 200 OK') == 2


async def test_a_stop_answers_what_it_has_received() -> None:
    """Guards against a planned stop that breaks off a request."""
    async with run_server() as served, await _send_waiting(served) as stream:
        served.stopping.set()
        with pytest.raises(OSError, match='All connection attempts failed'):
            while True:
                await served.connect()
        served.app.release.set()
        assert (await read_to_end(stream)).startswith(b'HTTP/1.1 200')


async def test_a_stop_closes_idle_connections() -> None:
    """Guards against a stop that waits for callers without a request."""
    async with run_server() as served, await served.connect() as stream:
        await stream.send(GET)
        await stream.receive()
        served.stopping.set()
        assert await read_to_end(stream) == b''


async def test_a_request_that_fails_ends_no_other() -> None:
    """Guards against one unexpected error that takes a process down."""
    fail = GET.replace(b'/a%20b?c', b'/fail')
    async with run_server() as served:
        answered = await served.exchange(fail)
        assert answered.startswith(b'HTTP/1.1 500')
        assert (await served.exchange(GET)).startswith(b'HTTP/1.1 200')


async def _serve_failing(url: str) -> None:
    port = int(url.rpartition(':')[-1])
    stream = await anyio.connect_tcp('127.0.0.1', port)
    await stream.send(GET.replace(b'/a%20b?c', b'/fail'))
    await read_to_end(stream)


async def test_a_reducer_that_fails_ends_the_process() -> None:
    """Guards against serving on with a state that may be wrong."""
    app = EchoApp()
    app.error = ReducerError('event failed')
    with pytest.raises(ExceptionGroup) as raised, anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            serve = partial(serve_plain_http, app, '127.0.0.1:0')
            await _serve_failing(await group.start(serve))
    assert raised.group_contains(ReducerError)
