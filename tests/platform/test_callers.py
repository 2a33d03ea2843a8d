"""Test the callers' HTTP interface on the platform."""

from __future__ import annotations

import contextlib
import itertools
import socket
import struct
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute
from trio.testing import MockClock

from savoryrudder.daemon import asgi
from savoryrudder.daemon.dispatcher import Dispatcher
from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.stall import StallDetector
from savoryrudder.dispatch import events
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.platform.callers import CallerApp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator

    from anyio.abc import SocketStream

pytestmark = pytest.mark.anyio
LIMIT_S = 20
STALL_S = 2
JOB_IDS = ('0123456789abcdef', 'fedcba9876543210')
QUEUE = Queue('r', 'a.example', '/p/', 's', 0, 2, 1.6, 60)
JOB = msgspec.json.encode(
    {'spec': 's', 'best_effort': True, 'steps': [{'count': 1}]},
)
BODY = MappingProxyType(
    {'type': 'http.request', 'body': JOB, 'more_body': False},
)


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


class FakeConnection:
    """Exchange prepared messages over a fake connection of a caller."""

    def __init__(self, messages: Iterator[Any]) -> None:
        """Send `messages`, then stay connected."""
        self.sent: list[Any] = []
        self._messages = messages

    async def receive(self) -> Any:
        """Return the caller's next message."""
        message = next(self._messages, None)
        if message is None:
            await anyio.sleep_forever()
        return message

    async def send(self, message: Any) -> None:
        """Record a part of the response."""
        await anyio.lowlevel.checkpoint()
        self.sent.append(message)


class Entry:
    """Run an entry without agents and send requests to it."""

    def __init__(self, *, configured: bool = True) -> None:
        """Create the entry; `configured` gives it one queue."""
        identity = DispatchIdentity('e1', 'e1#1', '127.0.0.1:0', 'zone')
        state = DispatchState(identity, DispatchTiming(1))
        self.dispatcher = Dispatcher(state, Counters())
        if configured:
            self.dispatcher.apply_configuration(Configuration(1, {'r': QUEUE}))

    async def call(
        self,
        method: str,
        path: str,
        messages: Iterator[Any] | None = None,
        has_disconnected: Callable[[], bool] = bool,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return the response's status, headers and body."""
        connection = FakeConnection(messages or iter([BODY]))
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'headers': [(b'host', b'a.example:80')],
            'extensions': {asgi.HAS_DISCONNECTED: has_disconnected},
        }
        app = CallerApp(self.dispatcher)
        await app(scope, connection.receive, connection.send)
        if not connection.sent:
            return 0, {}, b''
        head, body = connection.sent
        headers = {
            name.decode(): text.decode() for name, text in head['headers']
        }
        return head['status'], headers, body['body']


async def test_without_a_configuration_jobs_are_refused() -> None:
    """Guards against a 404 for a queue that the entry has yet to read."""
    entry = Entry(configured=False)
    status, headers, _ = await entry.call('POST', '/p/0123456789abcdef')
    assert status == 503
    assert headers['retry-after']
    status, _, _ = await entry.call('GET', '/api/ready')
    assert status == 503


async def test_an_unknown_queue_is_not_found() -> None:
    """Guards against accepting a job for a queue that does not exist."""
    status, _, _ = await Entry().call('POST', '/q/0123456789abcdef')
    assert status == 404


async def test_without_an_executor_a_job_is_refused_at_once() -> None:
    """Guards against callers that wait for a job that cannot start."""
    status, headers, _ = await Entry().call('POST', '/p/0123456789abcdef')
    assert status == 503
    assert headers['retry-after'] == '1'


async def test_the_refusal_of_a_malformed_job_names_the_field() -> None:
    """Guards against a crash on a malformed job."""
    malformed = {'type': 'http.request', 'body': b'{"spec":1}'}
    status, _, body = await Entry().call(
        'POST', '/p/0123456789abcdef', iter([malformed])
    )
    assert status == 400
    assert b'spec' in body


async def test_queue_lengths_and_unknown_jobs_are_reported() -> None:
    """Guards against reporting a state of a job that was never submitted."""
    status, _, body = await Entry().call('GET', '/p/')
    assert (status, body) == (200, b'{"waiting":0}')
    status, _, _ = await Entry().call('GET', '/p/0123456789abcdef')
    assert status == 410


async def test_a_disconnect_ends_the_request() -> None:
    """Guards against keeping requests whose callers have disconnected."""
    disconnect = iter([{'type': 'http.disconnect'}])
    entry = Entry()
    assert await entry.call('POST', '/p/0123456789abcdef', disconnect) == (
        0,
        {},
        b'',
    )
    assert not entry.dispatcher.state.open_requests


async def test_a_disconnect_ends_a_request_that_waits() -> None:
    """Guards against tasks that run on for a caller that has left."""
    entry = Entry()
    events: list[Any] = []
    entry.dispatcher.handle = events.append
    messages = iter([BODY, BODY, {'type': 'http.disconnect'}])
    assert await entry.call('POST', '/p/0123456789abcdef', messages) == (
        0,
        {},
        b'',
    )
    assert [type(event).__name__ for event in events] == [
        'JobSubmitted',
        'CallerDisconnected',
    ]


async def test_a_request_is_ignored_once_its_caller_has_left() -> None:
    """Guards against a job that starts while its caller submits it elsewhere.

    A request may wait on the network, or in the socket of an entry that does
    not run, until after its caller has left.
    """
    entry = Entry()
    handled: list[Any] = []
    entry.dispatcher.handle = lambda *received: handled.extend(received)
    head = 'POST /p/0123456789abcdef HTTP/1.1\r\nhost: a.example\r\n'
    request = f'{head}content-length: {len(JOB)}\r\n\r\n'.encode() + JOB
    async with anyio.create_task_group() as group:
        app = CallerApp(entry.dispatcher)
        url = await group.start(serve_plain_http, app, '127.0.0.1:0')
        port = int(url.rpartition(':')[-1])
        # The server does not run meanwhile.
        with socket.create_connection(('127.0.0.1', port)) as caller:
            caller.sendall(request)
        with anyio.move_on_after(1):
            while not handled:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    submitted = [
        event for event in handled if isinstance(event, events.JobSubmitted)
    ]
    assert not submitted


class ServedEntry:
    """Hold an entry that serves callers over loopback, and its events."""

    def __init__(self, dispatcher: Dispatcher, url: str) -> None:
        """Record the events that the dispatcher handles."""
        self.handled: list[Any] = []
        self._port = int(url.rpartition(':')[-1])
        self._handle = dispatcher.handle
        dispatcher.handle = self._record

    @property
    def submitted(self) -> list[str]:
        """Return the jobs that were submitted."""
        return [
            event.job.job_id
            for event in self.handled
            if isinstance(event, events.JobSubmitted)
        ]

    async def connect(self) -> SocketStream:
        """Open a connection of a caller who stays."""
        return await anyio.connect_tcp('127.0.0.1', self._port)

    def submit_and_leave(self, requests: bytes, *, is_reset: bool) -> None:
        """Send requests and leave before the entry can run."""
        with socket.create_connection(('127.0.0.1', self._port)) as caller:
            caller.sendall(requests)
            if is_reset:
                # Closing the connection then resets it.
                lingering = struct.pack('ii', 1, 0)
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, lingering
                )

    def _record(self, *received: Any) -> None:
        self.handled.extend(received)
        self._handle(*received)


@contextlib.asynccontextmanager
async def run_entry() -> AsyncIterator[ServedEntry]:
    """Serve callers until the end of the block."""
    dispatcher = Entry().dispatcher
    app = CallerApp(dispatcher)
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            url = await group.start(serve_plain_http, app, '127.0.0.1:0')
            yield ServedEntry(dispatcher, url)
            group.cancel_scope.cancel()


def encode_submission(job_id: str) -> bytes:
    """Return the bytes of a request that submits a job."""
    head = f'POST /p/{job_id} HTTP/1.1\r\nhost: a.example\r\n'
    return f'{head}content-length: {len(JOB)}\r\n\r\n'.encode() + JOB


async def read_responses(caller: SocketStream, count: int) -> bytes:
    """Return what arrives until `count` responses have begun."""
    received = bytearray()
    while received.count(b'HTTP/1.1 ') < count:
        received.extend(await caller.receive())
    return bytes(received)


@pytest.mark.parametrize('is_reset', [False, True])
async def test_no_request_is_submitted_after_its_caller_has_left(
    *,
    is_reset: bool,
) -> None:
    """Guards against overlooking a reset, or an end behind other requests."""
    requests = b''.join(encode_submission(job_id) for job_id in JOB_IDS)
    async with run_entry() as served:
        served.submit_and_leave(requests, is_reset=is_reset)
        await anyio.wait_all_tasks_blocked()
        assert not served.submitted
        async with await served.connect() as caller:
            await caller.send(encode_submission(JOB_IDS[0]))
            await read_responses(caller, 1)
        assert served.submitted == [JOB_IDS[0]]


async def test_requests_that_were_sent_early_are_all_submitted() -> None:
    """Guards against taking a caller's next request for its leaving."""
    requests = b''.join(encode_submission(job_id) for job_id in JOB_IDS)
    async with run_entry() as served, await served.connect() as caller:
        await caller.send(requests)
        received = await read_responses(caller, len(JOB_IDS))
        assert served.submitted == list(JOB_IDS)
    assert received.count(b'HTTP/1.1 503') == len(JOB_IDS)


async def test_a_caller_that_stays_is_served_again() -> None:
    """Guards against taking a quiet connection for a closed one."""
    first, second = JOB_IDS
    async with run_entry() as served, await served.connect() as caller:
        await caller.send(encode_submission(first))
        assert b'HTTP/1.1 503' in await read_responses(caller, 1)
        await caller.send(encode_submission(second))
        assert b'HTTP/1.1 503' in await read_responses(caller, 1)
        assert served.submitted == [first, second]


async def test_the_end_of_the_requests_counts_as_leaving() -> None:
    """Guards against a rule for waiting requests that new ones do not follow.

    A caller who shuts down its sending side is taken to have left.
    """
    async with run_entry() as served, await served.connect() as caller:
        # The server does not run between the two.
        raw_caller = caller.extra(SocketAttribute.raw_socket)
        raw_caller.send(encode_submission(JOB_IDS[0]))
        await caller.send_eof()
        with pytest.raises(anyio.EndOfStream):
            await caller.receive()
        assert not served.submitted


async def submit_after_stall(
    read_after_s: float,
    left_after_s: float,
) -> tuple[list[str], float]:
    """Return the events of a request after a stall, and their delay."""
    entry = Entry()
    await entry.call('GET', '/p/')
    await anyio.sleep(read_after_s)
    handled: list[str] = []
    entry.dispatcher.handle = lambda event: handled.append(type(event).__name__)
    read_at = anyio.current_time()
    left_at = read_at + left_after_s
    await entry.call(
        'POST',
        '/p/0123456789abcdef',
        iter([BODY, {'type': asgi.DISCONNECT}]),
        lambda: anyio.current_time() >= left_at,
    )
    return handled, anyio.current_time() - read_at


@pytest.mark.parametrize(
    ('read_after_s', 'left_after_s', 'is_submitted', 'is_delayed'),
    [
        (0, 0.005, False, True),
        (0.9 * STALL_S, 0.005, False, True),
        (0, 0.05, True, True),
        (1.1 * STALL_S, 0.005, True, False),
    ],
)
def test_after_a_stall_an_entry_waits_for_a_late_leaving(
    monkeypatch: pytest.MonkeyPatch,
    read_after_s: float,
    left_after_s: float,
    *,
    is_submitted: bool,
    is_delayed: bool,
) -> None:
    """Guards against a leaving that reaches a thawed machine too late."""
    stalls = itertools.chain([STALL_S], itertools.repeat(0))
    monkeypatch.setattr(StallDetector, 'measure', lambda _: next(stalls))
    handled, delay_s = anyio.run(
        submit_after_stall,
        read_after_s,
        left_after_s,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
    assert ('JobSubmitted' in handled) == is_submitted
    assert bool(delay_s) == is_delayed
