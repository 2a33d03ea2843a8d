"""Test that odd data from outside is refused, and ends nothing.

Other writers may leave any entry in the store, and any process may send any
bytes. What is refused names no job, member or executor; the others hold.
"""

from __future__ import annotations

import base64
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import anyio
import msgspec
import pytest
from anyio.lowlevel import checkpoint
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.daemon.membership import read_members
from savoryrudder.daemon.metrics import Counters
from savoryrudder.platform.configuration import decode_configuration
from savoryrudder.platform.heartbeats import HeartbeatApp
from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response
from savoryrudder.platform.job_bodies import decode_job
from savoryrudder.protocol.members import Member
from savoryrudder.protocol.members import decode_member
from savoryrudder.protocol.members import encode_member
from savoryrudder.store import interface
from savoryrudder.utils.checked import MAX_INTEGER
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from platform_fakes import FakeExecutorServer
    from platform_fakes import FakeStoreServer

    from savoryrudder.platform.executor import ExecutorClient
    from savoryrudder.platform.store import PlatformStore

DEEP = b'[' * 100_000
HUGE = b'9' * 400
TOO_LONG = b'9' * 5000
JOB = '0123456789abcdef'
MEMBER = Member('entry-1', '10.0.0.1:7720', 'zone')
EXECUTOR = effects.ExecutorInstance('i-1', 'executor')
ODD_VALUES = (
    b'',
    b'null',
    b'-1',
    b'"text"',
    b'\xff\xfe',
    DEEP,
    HUGE,
    TOO_LONG,
    b'1e999',
    b'{"a":',
    b'[[]]',
)
# What stands where a number is expected.
ODD_NUMBERS = (b'-1', b'"x"', b'null', b'[]', b'1.5', HUGE, TOO_LONG, DEEP)
ODD_ADDRESSES = (
    '',
    'nohost',
    ':',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:99999',
    '10.0.0.1:{0}'.format('9' * 5000),
    '10.0.0.1:80 x',
    'ipc:///tmp/x',
    '\0:80',
    'fe80::1%\u00e9:80',
    'fe80::1%{0}:80'.format('a' * 70),
    'fe80::1%a..b:80',
    '[fe80::1%lo]:80',
    '::1:80',
    '[::1:80',
    '::1]:80',
    '[127.0.0.1]:80',
    '127.0.0.1]:80',
    '\u0661.0.0.1:80',
)
HEARTBEAT_PARTS = (
    b'service',
    b'address',
    b'zone',
    b'version',
    b'slots',
    b'state',
    b'cold_remaining_ms',
    b'seq',
    b'clock_ms',
    b'capacity',
    b'labels',
)
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=12,
)


def _configuration(version: bytes = b'1', attempts: bytes = b'1') -> bytes:
    return (
        b'{"version":%s,"routes":[{"name":"r","host":"h","prefix":"/p",'
        b'"service":"s","attempts":%s}]}' % (version, attempts)
    )


def _job(number: bytes) -> bytes:
    return b'{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":%s}]}' % (
        number
    )


def _heartbeat(
    number: bytes = b'1',
    address: str = '10.0.0.1:80',
    part: bytes = b'seq',
    missing: bytes = b'',
) -> bytes:
    fields = {
        b'service': b'"s"',
        b'address': msgspec.json.encode(address),
        b'zone': b'"z"',
        b'version': b'"v1"',
        b'slots': b'8',
        b'state': b'"ready"',
        b'cold_remaining_ms': b'0',
        b'seq': b'1',
        b'clock_ms': b'1',
        b'born': b'1',
        b'capacity': b'{"cpu":1,"mem_mb":1,"gpu":0}',
        b'labels': b'["a"]',
        part: number,
    }
    fields.pop(missing, None)
    content = b','.join(b'"%s":%s' % field for field in fields.items())
    return b'{%s}' % content


@pytest.mark.parametrize('odd', ODD_VALUES)
def test_odd_texts_are_refused_by_each_decoder(odd: bytes) -> None:
    """Guards against an error that no decoder tells its caller."""
    assert decode_configuration(odd).is_error()
    assert decode_job(JOB, odd).is_error()
    assert decode_member(odd.decode('latin-1')).is_error()


@pytest.mark.parametrize('number', ODD_NUMBERS)
def test_odd_numbers_are_refused(number: bytes) -> None:
    """Guards against numbers that overflow where they are used or sent."""
    assert decode_configuration(_configuration(version=number)).is_error()
    assert decode_configuration(_configuration(attempts=number)).is_error()
    assert decode_job(JOB, _job(number)).is_error()


def test_sound_values_are_accepted() -> None:
    """Guards against checks that refuse everything."""
    assert decode_configuration(_configuration()).is_ok()
    assert decode_job(JOB, _job(b'1')).is_ok()
    assert decode_member(encode_member(MEMBER)).ok == MEMBER


@pytest.mark.parametrize('name', ['', 'a.b', JOB[1:], f'{JOB}0', 'x' * 16])
def test_a_job_with_an_odd_name_is_refused(name: str) -> None:
    """Guards against a job whose tasks are not found by their names."""
    assert decode_job(name, _job(b'1')).is_error()


def test_a_job_of_too_many_tasks_is_refused() -> None:
    """Guards against memory that one small request takes."""
    steps = [{'count': 10_000} for _ in range(1000)]
    body = {'spec': 's', 'best_effort': True, 'steps': steps}
    decoded = decode_job(JOB, msgspec.json.encode(body))
    assert decoded.is_error()


@pytest.mark.parametrize(
    'steps',
    [
        [{'count': 1} for _ in range(1001)],
        [{'count': 1001}],
        [{'count': 1}, {'count': 1, 'after': [0 for _ in range(20_001)]}],
    ],
)
def test_a_job_far_over_the_target_size_is_refused(
    steps: list[dict[str, Any]],
) -> None:
    """Guards against work that grows with the steps of one request."""
    body = {'spec': 's', 'best_effort': True, 'steps': steps}
    assert decode_job(JOB, msgspec.json.encode(body)).is_error()


def test_a_job_of_the_target_size_is_accepted() -> None:
    """Guards against limits that a legal job meets."""
    steps = [{'count': 1, 'after': list(range(step))} for step in range(170)]
    body = {'spec': 's', 'best_effort': True, 'steps': steps}
    assert decode_job(JOB, msgspec.json.encode(body)).is_ok()


@given(json_values, st.sampled_from(('version', 'routes', 'steps', 'spec')))
def test_any_json_is_decoded_or_refused(document: Any, name: str) -> None:
    """Guards against an error that is neither, and ends the process."""
    bodies: list[dict[str, Any]] = [
        {'version': 1, 'routes': [], name: document},
        {'spec': 's', 'best_effort': True, 'steps': [{'count': 1}]},
    ]
    bodies[1][name] = document
    for body in (document, *bodies):
        content = msgspec.json.encode(_bounded(body))
        decode_configuration(content)
        decode_job(JOB, content)
        decode_member(content.decode())


def _bounded(document: Any) -> Any:
    # msgspec encodes no integers beyond 64 bits; they are tested above.
    match document:
        case bool():
            return document
        case int():
            return document % 2**63
        case list():
            return [_bounded(part) for part in document]
        case dict():
            return {key: _bounded(part) for key, part in document.items()}
    return document


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_an_odd_address_is_refused_where_it_is_read(address: str) -> None:
    """Guards against a process that dials it and ends."""
    member = MEMBER._replace(address=address)
    assert decode_member(encode_member(member)).is_error()
    assert _put(_heartbeat(address=address)) == 400


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_a_call_to_an_odd_address_gets_no_response(address: str) -> None:
    """Guards against an agent that ends when it calls its executor."""
    client = PlatformClient(address)
    response = anyio.run(
        client.request,
        'GET',
        '/x',
        None,
        1,
        backend='trio',
    )
    assert isinstance(response, NoResponse)
    assert not response.sent


class FakeWorker:
    """Record the events of an agent."""

    def __init__(self) -> None:
        """Start without events."""
        self.counters = Counters()
        self.handled: list[Any] = []

    def handle(self, event: Any) -> None:
        """Record an event."""
        self.handled.append(event)


class FakeExchange:
    """Exchange one request and its response with an application."""

    def __init__(self, content: bytes) -> None:
        """Send a body."""
        self.sent: list[Any] = []
        self._content = content

    async def receive(self) -> Any:
        """Return the request."""
        await checkpoint()
        return {'type': 'http.request', 'body': self._content}

    async def send(self, message: Any) -> None:
        """Record a part of the response."""
        await checkpoint()
        self.sent.append(message)


async def _send_to(worker: Any, content: bytes, method: str) -> int:
    exchange = FakeExchange(content)
    scope = {'type': 'http', 'method': method, 'path': '/api/instances/i-1'}
    await HeartbeatApp(worker)(scope, exchange.receive, exchange.send)
    return int(exchange.sent[0]['status'])


def _put(content: bytes, worker: FakeWorker | None = None) -> int:
    sender = partial(_send_to, worker or FakeWorker(), content, 'PUT')
    return anyio.run(sender, backend='trio')


def _delete(content: bytes, worker: FakeWorker) -> int:
    sender = partial(_send_to, worker, content, 'DELETE')
    return anyio.run(sender, backend='trio')


@pytest.mark.parametrize(
    'content',
    [
        *ODD_VALUES,
        *(_heartbeat(number) for number in ODD_NUMBERS),
        *(_heartbeat(number, part=b'clock_ms') for number in ODD_NUMBERS),
        *(_heartbeat(number, part=b'born') for number in ODD_NUMBERS),
        _heartbeat(b'{"cpu":%s}' % HUGE, part=b'capacity'),
        _heartbeat(b'"gone"', part=b'state'),
        *(_heartbeat(missing=part) for part in HEARTBEAT_PARTS),
        *(_heartbeat(b'{}', part=part) for part in HEARTBEAT_PARTS),
        _heartbeat(b'{"cpu":1,"mem_mb":1}', part=b'capacity'),
        _heartbeat(b'7', part=b'version'),
    ],
)
def test_an_odd_heartbeat_is_no_executor(content: bytes) -> None:
    """Guards against an agent that ends, or takes it for its executor."""
    worker = FakeWorker()
    assert _put(content, worker) == 400
    assert not worker.handled
    assert worker.counters.counts['refused_heartbeats'] == 1


@pytest.mark.parametrize(
    'content',
    [
        *(odd for odd in ODD_VALUES if odd),
        *(b'{"born":%s}' % number for number in ODD_NUMBERS),
    ],
)
def test_an_odd_departure_ends_no_executor(content: bytes) -> None:
    """Guards against runs that are lost because of what cannot be read."""
    worker = FakeWorker()
    assert _delete(content, worker) == 400
    assert not worker.handled


@pytest.mark.parametrize(
    ('content', 'started_ms'),
    [(b'', 0), (b'{}', 0), (b'{"born":86}', 86)],
)
def test_a_departure_tells_which_instance_leaves(
    content: bytes,
    started_ms: int,
) -> None:
    """Guards against taking a former instance for the current one."""
    worker = FakeWorker()
    assert _delete(content, worker) == 200
    assert worker.handled[0].started_ms == started_ms


def test_a_sound_heartbeat_reaches_the_agent() -> None:
    """Guards against checks that refuse every executor."""
    worker = FakeWorker()
    assert _put(_heartbeat(), worker) == 200
    assert len(worker.handled) == 1


@pytest.mark.parametrize(
    'content',
    [
        *ODD_VALUES,
        *(b'{"clock_ms":%s}' % number for number in ODD_NUMBERS),
        *(b'{"clock_ms":1,"born":%s}' % number for number in ODD_NUMBERS),
        b'{"clock_ms":1,"born":%d}' % (MAX_INTEGER + 1),
        b'{"clock_ms":1,"running":[["t"]]}',
        b'{"clock_ms":1,"running":[["t",%s,"",0]]}' % HUGE,
        b'{"clock_ms":1,"running":[["t","%s","",0]]}' % TOO_LONG,
        b'{"clock_ms":1,"ended":[[1]]}',
        b'{"clock_ms":1,"ended":[[%s,"t",1,"done",""]]}' % HUGE,
        b'{"clock_ms":1,"ended":[[1,"t",1,["done"],""]]}',
        b'{"clock_ms":1,"ended":{}}',
    ],
)
def test_an_odd_list_of_runs_is_no_answer(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    content: bytes,
) -> None:
    """Guards against an agent that ends, or takes its runs for ended."""
    executor_server.response = Response(200, content)
    call = effects.RenewLease(EXECUTOR, 0, 1, 0, 0)
    answer = anyio.run(executor.renew, call, float(0), backend='trio')
    assert isinstance(answer, events.RenewalFailed)


@pytest.mark.parametrize('content', ODD_VALUES)
def test_an_odd_answer_to_a_start_leaves_it_open(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    content: bytes,
) -> None:
    """Guards against taking a run for not started that may be running."""
    executor_server.response = Response(200, content)
    call = effects.StartRun(EXECUTOR, 'j.0.0.1', 2, 'spec', 5000, 7)
    verdict, _ = anyio.run(executor.start, call, backend='trio')
    assert verdict == verdicts.UNKNOWN


@pytest.mark.parametrize('odd', ODD_VALUES)
def test_an_odd_entry_does_not_hide_the_others(
    store: PlatformStore,
    store_server: FakeStoreServer,
    odd: bytes,
) -> None:
    """Guards against a process that stops to follow the list."""
    store_server.put('m/1', encode_member(MEMBER))
    store_server.put('m/2', '')
    store_server.items['m/2']['value'] = base64.b64encode(odd).decode()
    first = _watch(store, 0)
    later = MEMBER._replace(name='entry-3')
    store_server.put('m/3', encode_member(later))
    second = _watch(store, first.version)
    counters = Counters()
    assert read_members(second.entries, counters) == [MEMBER, later]
    assert counters.counts['refused_members'] == 1


def _watch(store: PlatformStore, after: int) -> interface.Snapshot:
    operation = interface.WatchPrefix('m/', after, 1)
    outcome = anyio.run(store.call, operation, backend='trio')
    assert isinstance(outcome, interface.Snapshot)
    return outcome


@pytest.mark.parametrize('content', ODD_VALUES)
def test_an_odd_answer_of_the_store_is_no_answer(
    store: PlatformStore,
    store_server: FakeStoreServer,
    content: bytes,
) -> None:
    """Guards against an entry that ends when the store answers oddly."""
    store_server.failure = Response(200, content)
    for operation in (
        interface.WatchPrefix('a/', 0, 1),
        interface.ReadKey('a'),
        interface.GrantLease(6),
        interface.CompareAndSwap('a', 0, 'x', ''),
    ):
        outcome = anyio.run(store.call, operation, backend='trio')
        assert isinstance(
            outcome,
            interface.StoreUnavailable | interface.LeaseHeld,
        )
