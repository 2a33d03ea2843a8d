"""Check calls to the platform's servers over real connections."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.abc import SocketAttribute

from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response
from savoryrudder.platform.http_client import Unanswered

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
PATIENT_S = 30


class Server:
    """Answer requests, or stay silent, or close, as told."""

    def __init__(self) -> None:
        """Start by answering."""
        self.answer = ANSWER
        self.closes_after = 1_000
        self.connections = 0
        self.requests = 0

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                await self._serve(stream)

    async def _serve(self, stream: SocketStream) -> None:
        served = 0
        while served < self.closes_after:
            served += 1
            await stream.receive()
            self.requests += 1
            if self.answer:
                await stream.send(self.answer)


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@contextlib.asynccontextmanager
async def serving(server: Server) -> AsyncIterator[PlatformClient]:
    """Run a server and return a client of it."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, server.handle)
        yield PlatformClient(f'127.0.0.1:{port}')
        group.cancel_scope.cancel()


async def test_calls_share_a_connection() -> None:
    """Guards against a new connection for each call."""
    server = Server()
    async with serving(server) as client:
        first = await client.call('GET', '/x', None, PATIENT_S)
        second = await client.call('GET', '/y', None, PATIENT_S)
        assert first == second == Response(200, b'{}')
    assert server.connections == 1


async def test_a_closed_connection_is_not_used_again() -> None:
    """Guards against a call that is lost on a connection known to be dead."""
    server = Server()
    server.closes_after = 1
    async with serving(server) as client:
        await client.call('GET', '/x', None, PATIENT_S)
        # The server's close arrives before the next call.
        while server.requests < 1:
            await anyio.sleep(0.01)
        await anyio.wait_all_tasks_blocked()
        found = await client.call('GET', '/x', None, PATIENT_S)
        assert found == Response(200, b'{}')
    assert server.connections == 2


async def test_silence_is_unanswered_and_ends_the_connection() -> None:
    """Guards against a lost answer that is taken for an order not sent."""
    server = Server()
    async with serving(server) as client:
        await client.call('GET', '/x', None, PATIENT_S)
        server.answer = b''
        found = await client.call('POST', '/x', b'{}', 0.05)
        assert found == Unanswered('request timed out', sent=True)
        server.answer = ANSWER
        again = await client.call('POST', '/x', b'{}', PATIENT_S)
        assert again == Response(200, b'{}')
    assert server.connections == 2


async def test_a_refused_connection_has_sent_nothing() -> None:
    """Guards against a stop of a run that nobody was told to start."""
    client = PlatformClient('127.0.0.1:1')
    found = await client.call('POST', '/x', b'{}', PATIENT_S)
    assert isinstance(found, Unanswered)
    assert not found.sent


async def test_a_cut_answer_is_unanswered() -> None:
    """Guards against an answer that was cut and looks whole."""
    server = Server()
    server.answer = b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}'
    server.closes_after = 1
    async with serving(server) as client:
        found = await client.call('POST', '/x', b'{}', PATIENT_S)
        assert isinstance(found, Unanswered)
        assert found.sent
