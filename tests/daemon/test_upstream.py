"""Test the outcomes that the upstream client reports."""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from typing import TYPE_CHECKING
from typing import Final

import anyio
import pytest
import trio
from anyio.abc import SocketAttribute

from savoryrudder.daemon.upstream import UpstreamClient
from savoryrudder.daemon.upstream import UpstreamResult
from stand_ins.upstream import StandInUpstream
from stand_ins.upstream import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import SocketStream

    from savoryrudder.protocol.messages import TaskKey

pytestmark = pytest.mark.anyio
TASK = (b'\xab', 3)
PAYLOAD: Final = b'{}'
DEADLINE_MS: Final = 30_000
SHORT_DEADLINE_MS: Final = 200
HOST: Final = '127.0.0.1'
COMPLETE_RESPONSE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
TRUNCATED_RESPONSE: Final = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n'
)


class ScriptedUpstream:
    """Answer the first request of a connection, then close it.

    With `reads_twice`, it also reads a second request, but closes the
    connection without an answer.
    """

    def __init__(self, answer: bytes, *, reads_twice: bool = False) -> None:
        """Create an upstream that sends `answer`."""
        self.requests: list[bytes] = []
        self._answer = answer
        self._reads_twice = reads_twice

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            await self._read_request(stream)
            await stream.send(self._answer)
            if self._reads_twice:
                with contextlib.suppress(anyio.EndOfStream):
                    await self._read_request(stream)

    async def _read_request(self, stream: SocketStream) -> None:
        # The headers and the body may arrive separately.
        request = b''
        while not request.endswith(PAYLOAD):
            request += await stream.receive()
        self.requests.append(request)


@contextlib.asynccontextmanager
async def client_for(
    handle: Callable[[SocketStream], Awaitable[None]],
    connections: int = 1,
) -> AsyncIterator[UpstreamClient]:
    """Open a client of an upstream that handles raw connections."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    client = UpstreamClient(f'http://{HOST}:{port}', connections)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        yield client
        await client.close()
        group.cancel_scope.cancel()
    await listener.aclose()


async def call(
    client: UpstreamClient,
    deadline_ms: int = DEADLINE_MS,
    task: TaskKey = TASK,
) -> UpstreamResult:
    """Call the upstream with a small payload."""
    return await client.call(task, 'cut', PAYLOAD, deadline_ms, '')


async def read_without_answering(stream: SocketStream) -> None:
    """Read all requests of a connection without answering."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                await stream.receive()


@pytest.mark.parametrize(
    ('answer', 'outcome'),
    [
        (COMPLETE_RESPONSE, 'complete'),
        (b'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n', 'failed'),
        (b'HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n', 'failed'),
        (b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n', 'failed'),
        (
            b'HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
            'not-run',
        ),
        (
            b'HTTP/1.1 500 Error\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n',
            'failed',
        ),
        (b'HTTP/1.1 204 Empty\r\n\r\n', 'unknown'),
        (b'HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n', 'unknown'),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort', 'unknown'),
        (TRUNCATED_RESPONSE, 'unknown'),
        (b'HTTP/1.1 200 OK\r\n\r\nno length', 'unknown'),
        (b'not http', 'unknown'),
        (b'', 'unknown'),
    ],
)
async def test_outcome_of_a_response(answer: bytes, outcome: str) -> None:
    """Guard against a partial result and a false "not run"."""
    upstream = ScriptedUpstream(answer)
    async with client_for(upstream.handle) as client:
        result = await call(client)
    assert result.outcome == outcome
    is_complete = outcome == 'complete'
    assert bool(result.result) == is_complete
    assert result.result in {b'', b'ok'}
    assert len(upstream.requests) == 1


async def test_headers_identify_the_task() -> None:
    """Guard against an upstream that cannot tell tasks apart."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE)
    async with client_for(upstream.handle) as client:
        await client.call(TASK, 'cut', PAYLOAD, DEADLINE_MS, 'trace')
    request = upstream.requests[0].lower()
    assert request.startswith(b'post /run/cut ')
    assert b'idempotency-key: ab/3\r\n' in request
    assert b'deadline-ms: 30000\r\n' in request
    assert b'traceparent: trace\r\n' in request


@pytest.mark.parametrize('trace', ['é', 'a\r\nx: y'])
async def test_callers_text_cannot_break_the_request(trace: str) -> None:
    """Guard against a call that fails on a caller's header."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE)
    async with client_for(upstream.handle) as client:
        result = await client.call(TASK, 'a/é?b', PAYLOAD, DEADLINE_MS, trace)
    assert result.outcome == 'complete'
    assert upstream.requests[0].startswith(b'POST /run/a%2F%C3%A9%3Fb ')
    assert b'traceparent' not in upstream.requests[0]


async def test_loss_of_a_reused_connection_is_unknown() -> None:
    """Guard against a second start by a retry on a new connection."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE, reads_twice=True)
    async with client_for(upstream.handle) as client:
        assert (await call(client)).outcome == 'complete'
        assert (await call(client)).outcome == 'unknown'
    assert len(upstream.requests) == 2


async def test_refused_connection_is_not_run() -> None:
    """Guard against "unknown" although nothing was sent."""
    with socket.create_server((HOST, 0)) as closed_socket:
        port = closed_socket.getsockname()[1]
    client = UpstreamClient(f'http://{HOST}:{port}', 1)
    assert (await call(client)).outcome == 'not-run'
    await client.close()


async def test_deadline_of_a_sent_request_is_unknown() -> None:
    """Guard against a false "not run" for work that may be running."""
    async with client_for(read_without_answering) as client:
        result = await call(client, SHORT_DEADLINE_MS)
    assert result.outcome == 'unknown'
    assert result.reason == 'deadline passed'


async def test_deadline_of_an_unsent_request_is_not_run() -> None:
    """Guard against a false "unknown" while all connections are busy."""
    request_received = anyio.Event()
    async with client_for(partial(signal_and_read, request_received)) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(call, client)
            await request_received.wait()
            result = await call(client, SHORT_DEADLINE_MS, (b'', 0))
            group.cancel_scope.cancel()
    assert result.outcome == 'not-run'
    assert result.reason == 'deadline passed'


async def signal_and_read(
    request_received: anyio.Event,
    stream: SocketStream,
) -> None:
    """Set `request_received` on a connection, then read without answering."""
    request_received.set()
    await read_without_answering(stream)


async def call_with_short_deadline(
    client: UpstreamClient,
    task: TaskKey,
    results: list[UpstreamResult],
) -> None:
    """Call with a short deadline and append the result."""
    results.append(await call(client, SHORT_DEADLINE_MS, task))


async def test_running_task_is_not_sent_again() -> None:
    """Guard against a second start of one task."""
    results: list[UpstreamResult] = []
    async with client_for(read_without_answering, connections=2) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(call_with_short_deadline, client, TASK, results)
            group.start_soon(call_with_short_deadline, client, TASK, results)
    reasons = sorted(result.reason for result in results)
    assert reasons == ['already running', 'deadline passed']


async def test_expired_deadline_sends_nothing() -> None:
    """Guard against work that starts after its caller's deadline."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE)
    async with client_for(upstream.handle) as client:
        assert (await call(client, 0)).outcome == 'not-run'
    assert not upstream.requests


async def test_idle_connection_is_not_reused() -> None:
    """Guard against requests on connections that died while idle."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE, reads_twice=True)
    async with client_for(upstream.handle) as client:
        short_lived = UpstreamClient(client.url, 1, keepalive_s=0)
        assert (await call(short_lived)).outcome == 'complete'
        assert (await call(short_lived)).outcome == 'complete'
        await short_lived.close()


async def test_result_beyond_the_size_limit_is_failed() -> None:
    """Guard against results that exceed the frame size limit."""
    upstream = ScriptedUpstream(COMPLETE_RESPONSE)
    async with client_for(upstream.handle) as client:
        limited = UpstreamClient(client.url, 1, max_result_bytes=1)
        assert (await call(limited)).outcome == 'failed'
        await limited.close()


async def test_stopped_call_frees_its_slot() -> None:
    """Guard against slots that stay occupied by cancelled tasks."""
    stand_in = StandInUpstream('pane', slots=1)
    stand_in.faults.hang = True
    stop = trio.Event()
    with socket.create_server((HOST, 0)) as listener_socket:
        port = listener_socket.getsockname()[1]
        client = UpstreamClient(f'http://{HOST}:{port}', 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, stand_in, listener_socket, stop)
            nursery.start_soon(stop_when_started, client, stand_in)
            payload = b'{"run_ms": 0}'
            args = ('offcut-check', payload, DEADLINE_MS, '')
            stopped = await client.call(TASK, *args)
            stand_in.faults.hang = False
            finished = await client.call((b'', 0), *args)
            stop.set()
        await client.close()
    assert stopped == UpstreamResult('unknown', b'', 'stopped')
    assert finished == UpstreamResult('complete', b'{"fits":true}', '')
    assert stand_in.starts == ['ab/3', '/0']


async def stop_when_started(
    client: UpstreamClient,
    stand_in: StandInUpstream,
) -> None:
    """Stop the first call once the upstream has started it."""
    while not stand_in.starts:
        await anyio.sleep(0.01)
    client.stop(TASK)
