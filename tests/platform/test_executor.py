"""Test the executor client."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import Response
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from platform_fakes import FakeExecutorServer

    from savoryrudder.platform.executor import ExecutorClient

EXECUTOR = effects.ExecutorInstance('i-1', 'executor')
START = effects.StartRun(EXECUTOR, 'j.0.0.1', 2, 'spec', 5000, 7)


@pytest.mark.parametrize(
    ('response', 'verdict'),
    [
        (Response(200, b'{"clock_ms":9}'), verdicts.STARTED),
        (Response(409, b'{"clock_ms":9,"reason":"old"}'), verdicts.OUTDATED),
        (Response(409, b'{"clock_ms":9,"reason":"fence"}'), verdicts.FENCED),
        (Response(409, b'{"clock_ms":9,"reason":"late"}'), verdicts.REFUSED),
        (Response(421, b''), verdicts.OTHER_INSTANCE),
        (Response(503, b''), verdicts.REFUSED),
        (Response(500, b'{}'), verdicts.UNKNOWN),
        (Response(200, b'garbage'), verdicts.UNKNOWN),
        (NoResponse('reset', sent=True), verdicts.UNKNOWN),
        (NoResponse('no listener', sent=False), verdicts.REFUSED),
    ],
)
def test_responses_to_a_start_map_to_verdicts(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    response: Response | NoResponse,
    verdict: str,
) -> None:
    """Guards against starting a run again that may already be running."""
    executor_server.response = response
    actual, _ = anyio.run(executor.start, START, backend='trio')
    assert actual == verdict


@pytest.mark.parametrize(
    ('response', 'verdict', 'started_ms'),
    [
        (Response(200, b'{"clock_ms":9,"born":7}'), verdicts.PRESENT, 7),
        (Response(200, b'{"clock_ms":9,"born":"7"}'), verdicts.UNKNOWN, 0),
        (Response(200, b'garbage'), verdicts.UNKNOWN, 0),
        (Response(421, b'{}'), verdicts.ABSENT, 0),
        (Response(409, b'{"reason":"fence"}'), verdicts.FENCED, 0),
        (Response(503, b''), verdicts.UNKNOWN, 0),
        (NoResponse('no listener', sent=False), verdicts.UNKNOWN, 0),
        (NoResponse('timed out', sent=True), verdicts.UNKNOWN, 0),
    ],
)
def test_only_its_own_answer_tells_that_an_instance_is_there(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    response: Response | NoResponse,
    verdict: str,
    started_ms: int,
) -> None:
    """Guards against an executor that another writer has made up."""
    executor_server.response = response
    call = effects.ProbeInstance(EXECUTOR, 7)
    probed = anyio.run(executor.probe, call, backend='trio')
    assert probed.verdict == verdict
    assert probed.started_ms == started_ms
    path, body, headers = executor_server.requests[0]
    assert path == '/api/hold'
    assert 'deadline_ms' not in body
    assert headers == (('expect-instance', 'i-1'),)


async def _start_all(executor: ExecutorClient, count: int) -> None:
    async with anyio.create_task_group() as group:
        for number in range(count):
            call = START._replace(task=f'j.0.0.{number}')
            group.start_soon(executor.start, call)


def test_tasks_that_arrive_together_share_few_connections(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
) -> None:
    """Guards against a new connection for each task of a job."""
    anyio.run(_start_all, executor, 16, backend='trio')
    assert len(executor_server.requests) == 16
    assert executor_server.max_concurrent <= 4


def test_a_start_carries_the_instance_and_the_fence(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
) -> None:
    """Guards against a start by another instance of the executor."""
    anyio.run(executor.start, START, backend='trio')
    path, body, headers = executor_server.requests[0]
    assert path == '/api/run-start'
    assert body['fence'] == 7
    assert body['deadline_ms'] == 5000
    assert ('expect-instance', 'i-1') in headers


def test_running_and_ended_runs_are_decoded(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
) -> None:
    """Guards against reading an end from the wrong column."""
    body = {
        'clock_ms': 9,
        'running': [['j.0.0.1', 2, '', 41, 6000]],
        'ended': [[3, 'j.0.0.2', 1, 'done', ''], [4, 'k', 1, 'lapsed', '']],
    }
    executor_server.response = Response(200, msgspec.json.encode(body))
    call = effects.RenewLease(EXECUTOR, 5000, 7, 2, 300)
    event = anyio.run(executor.renew, call, 1.0, backend='trio')
    assert isinstance(event, events.RenewalAnswered)
    assert event.running == (events.RunProgress('j.0.0.1', 2, 41),)
    assert [end.outcome for end in event.ended] == [
        outcomes.DONE,
        outcomes.LOST,
    ]


@pytest.mark.parametrize(
    ('part', 'started_ms'), [(b',"born":86', 86), (b'', 0)]
)
def test_a_list_tells_when_its_executor_started(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    part: bytes,
    started_ms: int,
) -> None:
    """Guards against taking the list of a new instance for a former one's."""
    executor_server.response = Response(200, b'{"clock_ms":9%s}' % part)
    call = effects.RenewLease(EXECUTOR, 5000, 7, 2, 300)
    event = anyio.run(executor.renew, call, 1.0, backend='trio')
    assert isinstance(event, events.RenewalAnswered)
    assert event.started_ms == started_ms
    assert event.fence == 7


def test_a_fenced_renewal_is_reported_as_fenced(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
) -> None:
    """Guards against taking a fenced agent for a silent executor."""
    body = b'{"clock_ms":9,"reason":"fence"}'
    executor_server.response = Response(409, body)
    call = effects.RenewLease(EXECUTOR, 0, 7, 0, 0)
    event = anyio.run(executor.renew, call, 1.0, backend='trio')
    assert isinstance(event, events.RenewalFailed)
    assert event.fenced


def test_lists_that_cannot_be_read_are_no_answer(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
) -> None:
    """Guards against taking runs for ended after a malformed response."""
    executor_server.response = Response(
        200,
        b'{"running":[["x"]],"clock_ms":1}',
    )
    call = effects.RenewLease(EXECUTOR, 5000, 7, 2, 0)
    event = anyio.run(executor.renew, call, 1.0, backend='trio')
    assert isinstance(event, events.RenewalFailed)


@pytest.mark.parametrize(('ends', 'more_ends'), [(499, False), (500, True)])
def test_a_full_list_of_ends_may_not_hold_all(
    executor: ExecutorClient,
    executor_server: FakeExecutorServer,
    ends: int,
    more_ends: bool,
) -> None:
    """Guards against taking runs for lost whose ends follow later."""
    rows = [[number, f'j.{number}', 1, 'done', ''] for number in range(ends)]
    body = msgspec.json.encode({'clock_ms': 9, 'ended': rows})
    executor_server.response = Response(200, body)
    call = effects.RenewLease(EXECUTOR, 5000, 7, 2, 0)
    event = anyio.run(executor.renew, call, 1.0, backend='trio')
    assert isinstance(event, events.RenewalAnswered)
    assert event.more_ends is more_ends
