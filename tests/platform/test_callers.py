"""Test the callers' HTTP interface on the platform."""

from __future__ import annotations

import socket
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

import anyio
import msgspec
import pytest

from savoryrudder.daemon.dispatcher import Dispatcher
from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.metrics import Counters
from savoryrudder.dispatch import events
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.platform.callers import CallerApp

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.anyio
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
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return the response's status, headers and body."""
        connection = FakeConnection(messages or iter([BODY]))
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'headers': [(b'host', b'a.example:80')],
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
