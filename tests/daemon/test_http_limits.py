"""Test the limits of requests at a server, with low limits of their own."""

from __future__ import annotations

import contextlib
import weakref
from collections import deque
from functools import partial
from typing import TYPE_CHECKING
from typing import cast

import anyio
import pytest

from savoryrudder.daemon import asgi
from savoryrudder.daemon.http_connection import Connection
from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.intake_limits import IntakeLimits
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.request_limits import RequestLimits
from savoryrudder.daemon.request_refusals import NO_MEMORY

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from savoryrudder.daemon.paced_stream import PacedStream

pytestmark = pytest.mark.anyio
LIMIT_S = 20
GET = b'GET /a HTTP/1.1\r\nhost: x\r\n\r\n'
POST = b'POST /job HTTP/1.1\r\nhost: x\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
CHUNK = b'100\r\n%s\r\n' % (b'x' * 256)
REQUESTS = RequestLimits(
    max_head_bytes=2048,
    max_headers=20,
    max_padding_bytes=1024,
    max_body_bytes=1000,
)
CONNECTIONS = 4


class CountingApp:
    """Answer each request, and count those that were passed on."""

    def __init__(self) -> None:
        """Start without requests."""
        self.served = 0
        self.has_request = anyio.Event()
        self.release = anyio.Event()

    async def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request; those to `/wait` wait to be released."""
        self.served += 1
        self.has_request.set()
        if scope['path'] == '/wait':
            await self.release.wait()
        body = await asgi.read_body(receive, REQUESTS.max_body_bytes)
        await asgi.respond(send, asgi.Reply(200, body or b'none'))


class Served:
    """Hold a running server and connect to it."""

    def __init__(self, app: CountingApp, url: str, counters: Counters) -> None:
        """Remember where the server listens."""
        self.app = app
        self.counters = counters
        self._port = int(url.rpartition(':')[-1])

    async def connect(self, content: bytes = b'') -> SocketStream:
        """Open a connection and send something."""
        stream = await anyio.connect_tcp('127.0.0.1', self._port)
        if content:
            await stream.send(content)
        return stream

    async def connect_many(
        self,
        count: int,
        content: bytes = b'',
    ) -> list[SocketStream]:
        """Open connections one after the other."""
        streams: list[SocketStream] = []
        while len(streams) < count:
            streams.append(await self.connect(content))
        return streams

    async def ask(self, content: bytes) -> bytes:
        """Send a request; return all until the server closes."""
        return await read_to_end(await self.connect(content))


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@contextlib.asynccontextmanager
async def run_server(requests: RequestLimits) -> AsyncIterator[Served]:
    """Run a server until the end of the block."""
    app = CountingApp()
    counters = Counters()
    limits = IntakeLimits(CONNECTIONS, 2**20, 2**20)
    intake = Intake(limits, counters, requests)
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            url = await group.start(
                serve_plain_http,
                app,
                '127.0.0.1:0',
                None,
                intake,
            )
            yield Served(app, url, counters)
            group.cancel_scope.cancel()


async def read_to_end(stream: SocketStream) -> bytes:
    """Return what arrives until the server closes the connection."""
    received = bytearray()
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            received.extend(await stream.receive())
    await stream.aclose()
    return bytes(received)


@pytest.mark.parametrize(
    ('content', 'status'),
    [
        (b'GET /%s' % (b'a' * 3000), 431),
        (b'GET / HTTP/1.1\r\n%s' % (b'a:b\r\n' * 25), 431),
        (b'GET / HTTP/1.1\r\nx: %s' % (b'a' * 3000), 431),
        (b'%scontent-length: 1001\r\n\r\n' % POST, 413),
        (b'%s%s%s' % (POST, CHUNKED, CHUNK * 4), 413),
    ],
)
async def test_a_request_over_a_limit_is_refused_before_its_end(
    content: bytes,
    status: int,
) -> None:
    """Guards against holding what will be refused anyway."""
    async with run_server(REQUESTS) as served:
        answered = await served.ask(content)
        assert answered.startswith(b'HTTP/1.1 %d ' % status)
        assert b'\r\n\r\n{"error":' in answered
        assert not served.app.served


@pytest.mark.parametrize(
    'content',
    [
        b'\r\n',
        b'%s%s0\r\na: b\r\n' % (POST, CHUNKED),
        b'%s%s1;' % (POST, CHUNKED),
    ],
)
async def test_bytes_of_no_request_are_bounded(content: bytes) -> None:
    """Guards against lines and chunk extensions without end."""
    async with run_server(REQUESTS) as served:
        stream = await served.connect(content)
        with contextlib.suppress(anyio.BrokenResourceError):
            while not served.counters.counts:
                await stream.send(b'\r\n' if content == b'\r\n' else b'a')
                await anyio.lowlevel.checkpoint()
        await stream.aclose()
        assert not served.app.served
        assert list(served.counters.counts) in (
            ['intake_refused_padding'],
            ['intake_refused_large_heads'],
        )


async def test_a_client_that_waits_is_told_of_a_large_body_at_once() -> None:
    """Guards against asking for a body that is refused."""
    head = b'%sexpect: 100-continue\r\ncontent-length: 1001\r\n\r\n' % POST
    async with run_server(REQUESTS) as served:
        answered = await served.ask(head)
    assert answered.startswith(b'HTTP/1.1 413 ')


@pytest.mark.parametrize(
    'content',
    [b'GET / HT', b'%scontent-length: 9\r\n\r\nbody' % POST],
)
async def test_a_request_that_does_not_end_is_refused(content: bytes) -> None:
    """Guards against a client that keeps a connection without a request."""
    short = REQUESTS._replace(head_s=0.01, body_pause_s=0.01)
    async with run_server(short) as served:
        answered = await served.ask(content)
        assert answered.startswith(b'HTTP/1.1 408 ')
        assert not served.app.served


async def test_a_new_connection_takes_the_place_of_an_idle_one() -> None:
    """Guards against idle connections that keep ordinary callers out."""
    async with run_server(REQUESTS) as served:
        idle = await served.connect_many(CONNECTIONS)
        await anyio.wait_all_tasks_blocked()
        stream = await served.connect(GET)
        assert (await stream.receive()).startswith(b'HTTP/1.1 200')
        assert await read_to_end(idle[0]) == b''
        assert served.counters.counts == {'intake_dropped_connections': 1}


async def test_a_served_request_keeps_its_connection() -> None:
    """Guards against closing a connection whose job was accepted."""
    wait = GET.replace(b'/a', b'/wait')
    async with run_server(REQUESTS) as served:
        waiting = await served.connect_many(CONNECTIONS, wait)
        while served.app.served < CONNECTIONS:
            await anyio.lowlevel.checkpoint()
        answered = await served.ask(GET)
        assert answered.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: 1' in answered
        served.app.release.set()
        while waiting:
            answered = await waiting.pop().receive()
            assert answered.startswith(b'HTTP/1.1 200')
        assert served.app.served == CONNECTIONS


class LateStream:
    """Receive the rest of a request just as its connection is dropped."""

    def __init__(self, parts: list[bytes]) -> None:
        """Receive the parts one after the other."""
        self.sent = b''
        self.on_last: Callable[[], None] = _do_nothing
        self._parts = deque(parts)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next part, or the end."""
        if len(self._parts) == 1:
            self.on_last()
        return self._parts.popleft() if self._parts else b''

    async def send_all(self, content: bytes) -> None:
        """Record what is sent."""
        self.sent += content

    async def send_eof(self) -> None:
        """Ignore the end."""


def _do_nothing() -> None:
    """Stand for a call that is not made yet."""


async def test_a_dropped_request_is_not_taken_for_another() -> None:
    """Guards against serving the rest of a request that was freed."""
    app = CountingApp()
    head = b'%scontent-length: 9\r\n\r\n' % POST
    stream = LateStream([head, b'part', b'of it'])
    intake = Intake(IntakeLimits(CONNECTIONS, 2**20, 2**20))
    connection = Connection(app, cast('PacedStream', stream), intake)
    intake.admit(connection, anyio.current_time())
    stream.on_last = partial(connection.drop, NO_MEMORY)
    await connection.serve()
    assert stream.sent.startswith(b'HTTP/1.1 503 ')
    assert not app.served


class WatchedStream(LateStream):
    """Tell, while the connection waits, whether a piece is still held."""

    def __init__(self) -> None:
        """Send the beginning of a request, and then wait."""
        super().__init__([])
        self.is_held = True
        self._piece: weakref.ref[memoryview] | None = None

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return a piece; the second time, look whether it is freed."""
        if self._piece is None:
            piece = memoryview(POST)
            self._piece = weakref.ref(piece)
            return cast('bytes', piece)
        self.is_held = self._piece() is not None
        return b''


async def test_a_connection_that_waits_holds_no_received_piece() -> None:
    """Guards against memory of waiting connections that nobody counts."""
    stream = WatchedStream()
    intake = Intake(IntakeLimits(CONNECTIONS, 2**20, 2**20))
    connection = Connection(CountingApp(), cast('PacedStream', stream), intake)
    intake.admit(connection, anyio.current_time())
    await connection.serve()
    assert not stream.is_held


class PipeliningStream:
    """Send a request and the beginning of another one, then wait."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent = bytearray()
        self._chunks = [GET, b'GET /b HTTP/1.1\r\nx: %s' % (b'a' * 900)]

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next piece, or wait for a client that sends no more."""
        if self._chunks:
            return self._chunks.pop(0)
        await anyio.sleep_forever()
        return b''

    async def send_all(self, content: bytes) -> None:
        """Keep what the server sends."""
        self.sent.extend(content)

    async def send_eof(self) -> None:
        """End the stream."""


class SlowApp:
    """Answer after a moment; note whether the client seems to have left."""

    def __init__(self) -> None:
        """Start without requests."""
        self.has_disconnected = False

    async def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request."""
        await receive()
        with anyio.move_on_after(0.1):
            await receive()
            self.has_disconnected = True
        await asgi.respond(send, asgi.Reply(200, b'done'))


class OtherClient:
    """Hold memory; it is finished, and so it is not dropped."""

    def drop(self, refusal: object) -> None:
        """Drop nothing."""


async def test_a_request_under_way_is_answered_without_memory() -> None:
    """Guards against a job that is given up for what its caller sends next."""
    app = SlowApp()
    stream = PipeliningStream()
    intake = Intake(IntakeLimits(CONNECTIONS, 2**20, 700))
    intake.hold(OtherClient(), 100, anyio.current_time(), is_unfinished=False)
    connection = Connection(app, cast('PacedStream', stream), intake)
    intake.admit(connection, anyio.current_time())
    with anyio.fail_after(LIMIT_S):
        await connection.serve()
    assert not app.has_disconnected
    assert stream.sent.startswith(b'HTTP/1.1 200 ')
