"""Check what the upstream client says about calls that go wrong."""

from __future__ import annotations

import contextlib
import socket
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
SHORT_MS: Final = 200
HOST: Final = '127.0.0.1'
WHOLE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED_CUT_SHORT: Final = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n'
)


class ScriptedUpstream:
    """Answer the first request on a connection, then close.

    With `reads_again`, it first reads another request, unanswered.
    """

    def __init__(self, answer: bytes, *, reads_again: bool = False) -> None:
        """Answer with these bytes."""
        self.seen: list[bytes] = []
        self._answer = answer
        self._reads_again = reads_again

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            await self._read_request(stream)
            await stream.send(self._answer)
            if self._reads_again:
                with contextlib.suppress(anyio.EndOfStream):
                    await self._read_request(stream)

    async def _read_request(self, stream: SocketStream) -> None:
        # The head and the body may arrive one after the other.
        request = b''
        while not request.endswith(PAYLOAD):
            request += await stream.receive()
        self.seen.append(request)


@contextlib.asynccontextmanager
async def client_of(
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
    """Call with a small payload."""
    return await client.call(task, 'cut', PAYLOAD, deadline_ms, '')


async def hold(stream: SocketStream) -> None:
    """Read without ever answering."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                await stream.receive()


@pytest.mark.parametrize(
    ('answer', 'outcome'),
    [
        (WHOLE, 'complete'),
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
        (CHUNKED_CUT_SHORT, 'unknown'),
        (b'HTTP/1.1 200 OK\r\n\r\nno length', 'unknown'),
        (b'not http', 'unknown'),
        (b'', 'unknown'),
    ],
)
async def test_outcome_of_an_answer(answer: bytes, outcome: str) -> None:
    """Guard against a partial result and a false "not run"."""
    upstream = ScriptedUpstream(answer)
    async with client_of(upstream.handle) as client:
        result = await call(client)
    assert result.outcome == outcome
    is_complete = outcome == 'complete'
    assert bool(result.result) == is_complete
    assert result.result in {b'', b'ok'}
    assert len(upstream.seen) == 1


async def test_headers_name_the_task() -> None:
    """Guard against an upstream that cannot tell tasks apart."""
    upstream = ScriptedUpstream(WHOLE)
    async with client_of(upstream.handle) as client:
        await client.call(TASK, 'cut', PAYLOAD, DEADLINE_MS, 'trace')
    request = upstream.seen[0].lower()
    assert request.startswith(b'post /run/cut ')
    assert b'idempotency-key: ab/3\r\n' in request
    assert b'deadline-ms: 30000\r\n' in request
    assert b'traceparent: trace\r\n' in request


@pytest.mark.parametrize('trace', ['é', 'a\r\nx: y'])
async def test_text_from_callers_cannot_break_the_request(trace: str) -> None:
    """Guard against an agent that fails on a caller's header."""
    upstream = ScriptedUpstream(WHOLE)
    async with client_of(upstream.handle) as client:
        result = await client.call(TASK, 'a/é?b', PAYLOAD, DEADLINE_MS, trace)
    assert result.outcome == 'complete'
    assert upstream.seen[0].startswith(b'POST /run/a%2F%C3%A9%3Fb ')
    assert b'traceparent' not in upstream.seen[0]


async def test_a_connection_lost_when_reused_is_unknown() -> None:
    """Guard against a second start by a retry on a new connection."""
    upstream = ScriptedUpstream(WHOLE, reads_again=True)
    async with client_of(upstream.handle) as client:
        assert (await call(client)).outcome == 'complete'
        assert (await call(client)).outcome == 'unknown'
    assert len(upstream.seen) == 2


async def test_a_refused_connection_is_not_run() -> None:
    """Guard against "unknown" where the upstream saw nothing."""
    with socket.create_server((HOST, 0)) as closed:
        port = closed.getsockname()[1]
    client = UpstreamClient(f'http://{HOST}:{port}', 1)
    assert (await call(client)).outcome == 'not-run'
    await client.close()


async def test_the_deadline_is_unknown_only_for_a_sent_request() -> None:
    """Guard against a false "not run" and a false "unknown"."""
    results: list[UpstreamResult] = []
    async with client_of(hold) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(call_shortly, client, TASK, results)
            group.start_soon(call_shortly, client, (b'', 0), results)
    outcomes = sorted(one.outcome for one in results)
    assert outcomes == ['not-run', 'unknown']
    assert {one.reason for one in results} == {'deadline passed'}


async def call_shortly(
    client: UpstreamClient,
    task: TaskKey,
    results: list[UpstreamResult],
) -> None:
    """Call with a short deadline."""
    results.append(await call(client, SHORT_MS, task))


async def test_a_running_task_is_not_sent_again() -> None:
    """Guard against a second start of one task."""
    results: list[UpstreamResult] = []
    async with client_of(hold, connections=2) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(call_shortly, client, TASK, results)
            group.start_soon(call_shortly, client, TASK, results)
    reasons = sorted(one.reason for one in results)
    assert reasons == ['already running', 'deadline passed']


async def test_a_passed_deadline_sends_nothing() -> None:
    """Guard against work that starts after its caller's deadline."""
    upstream = ScriptedUpstream(WHOLE)
    async with client_of(upstream.handle) as client:
        assert (await call(client, 0)).outcome == 'not-run'
    assert not upstream.seen


async def test_an_idle_connection_is_not_used_again() -> None:
    """Guard against requests on connections that went silent while idle."""
    upstream = ScriptedUpstream(WHOLE, reads_again=True)
    async with client_of(upstream.handle) as client:
        fresh = UpstreamClient(client.url, 1, keepalive_s=0)
        assert (await call(fresh)).outcome == 'complete'
        assert (await call(fresh)).outcome == 'complete'
        await fresh.close()


async def test_a_result_beyond_the_limit_is_failed() -> None:
    """Guard against results that no frame can carry."""
    upstream = ScriptedUpstream(WHOLE)
    async with client_of(upstream.handle) as client:
        bounded = UpstreamClient(client.url, 1, max_result_bytes=1)
        assert (await call(bounded)).outcome == 'failed'
        await bounded.close()


async def test_a_stopped_call_frees_its_slot() -> None:
    """Guard against slots that stay taken by cancelled tasks."""
    stand_in = StandInUpstream('pane', slots=1)
    stand_in.faults.hang = True
    stop = trio.Event()
    with socket.create_server((HOST, 0)) as listening:
        port = listening.getsockname()[1]
        client = UpstreamClient(f'http://{HOST}:{port}', 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, stand_in, listening, stop)
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
    """Stop the first call once it has started."""
    while not stand_in.starts:
        await anyio.sleep(0.01)
    client.stop(TASK)
