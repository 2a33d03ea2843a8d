"""Test links that use one port per session."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import anyio
import msgspec
import pynng
import pytest

from savoryrudder.daemon import join
from savoryrudder.daemon.links import LinkDialler
from savoryrudder.daemon.links import LinkListener
from savoryrudder.daemon.sockets import MessageSocket
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.protocol import codec
from savoryrudder.protocol import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus
    from conftest import Recorder

    from savoryrudder.daemon.liveness import LinkTiming

pytestmark = pytest.mark.anyio
REQUEST = join.JoinRequest(codec.PROTOCOL_VERSION, 'a1', 'agent')
MEGABYTE = 1 << 20
MEAN_STEPS_BETWEEN_FAULTS = 20


@contextlib.asynccontextmanager
async def run_listener(
    recorder: Recorder,
    timing: LinkTiming,
) -> AsyncIterator[LinkListener]:
    """Run a listener in the background."""
    listener = LinkListener('127.0.0.1:0', 'e1', recorder, lambda: 3, timing)
    async with anyio.create_task_group() as group:
        await group.start(listener.run)
        yield listener
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_dialler(
    listener: LinkListener,
    recorder: Recorder,
    timing: LinkTiming,
) -> AsyncIterator[LinkDialler]:
    """Run a dialler and wait until its first session is up."""
    dialler = LinkDialler(
        listener.address,
        REQUEST,
        recorder,
        lambda: 2,
        timing,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(dialler.run)
        await recorder.wait_for('up')
        yield dialler
        group.cancel_scope.cancel()


async def send_join_request(address: str, request: bytes) -> join.JoinAnswer:
    """Send an encoded join request and return the decoded answer."""
    with contextlib.closing(MessageSocket(pynng.Req0())) as socket:
        socket.dial(address, redial_ms=(10, 10))
        await socket.send(request)
        encoded = await socket.receive()
    return msgspec.msgpack.decode(encoded, type=join.JoinAnswer)


@contextlib.asynccontextmanager
async def raw_session(
    listener: LinkListener,
    recorder: Recorder,
) -> AsyncIterator[tuple[PairSocket, join.JoinAnswer]]:
    """Open a session whose frames are written by the test."""
    answer = await send_join_request(
        listener.address,
        join.encode_join(REQUEST),
    )
    with contextlib.closing(PairSocket()) as socket:
        socket.dial_once(answer.address)
        await socket.send(heartbeat(answer.session, 0))
        await recorder.wait_for('up', session=answer.session)
        yield socket, answer


def heartbeat(session: str, sequence: int) -> bytes:
    """Return an encoded frame with one heartbeat."""
    frame = codec.Frame(session, sequence, 0, (messages.Heartbeat(),))
    return codec.encode_frame(frame)


async def test_messages_arrive_in_order_in_both_directions(
    timing: LinkTiming,
    entry_recorder: Recorder,
    agent_recorder: Recorder,
) -> None:
    """Guard against lost or reordered messages on a healthy link."""
    sent = [messages.GrantCredits(number) for number in range(500)]
    async with (
        run_listener(entry_recorder, timing) as listener,
        run_dialler(listener, agent_recorder, timing) as dialler,
    ):
        await entry_recorder.wait_for('up')
        assert listener.send('a1', messages.Demand(4))
        assert all(dialler.send('e1', message) for message in sent)
        await agent_recorder.wait_for('message', detail=messages.Demand(4))
        await entry_recorder.wait_for('message', detail=sent[-1])
    received = [call.detail for call in entry_recorder.of_kind('message')]
    assert [detail for detail in received if detail in sent] == sent
    assert entry_recorder.revisions == {2}


async def test_closed_session_is_followed_by_a_new_one(
    timing: LinkTiming,
    entry_recorder: Recorder,
    agent_recorder: Recorder,
) -> None:
    """Guard against a session that continues on another connection."""
    async with (
        run_listener(entry_recorder, timing) as listener,
        run_dialler(listener, agent_recorder, timing),
    ):
        first = await entry_recorder.wait_for('up')
        listener.close('a1', 'closed by test')
        assert not listener.send('a1', messages.Demand(4))
        await agent_recorder.wait_for('down', session=first.session)
        await agent_recorder.wait_for('up', excluded_session=first.session)
    down = entry_recorder.of_kind('down')[0]
    assert (down.session, down.detail) == (first.session, 'closed by test')


async def test_stopped_dialler_closes_its_session_and_returns(
    timing: LinkTiming,
    entry_recorder: Recorder,
    agent_recorder: Recorder,
) -> None:
    """Guard against a dialler that keeps dialling a removed address."""
    async with run_listener(entry_recorder, timing) as listener:
        async with anyio.create_task_group() as group:
            dialler = LinkDialler(
                listener.address,
                REQUEST,
                agent_recorder,
                lambda: 2,
                timing,
            )
            group.start_soon(dialler.run)
            await agent_recorder.wait_for('up')
            # A side reports the end of a session only if it was up there.
            await entry_recorder.wait_for('up')
            dialler.stop()
        down = await entry_recorder.wait_for('down')
    assert down.detail == 'connection lost'
    downs = agent_recorder.of_kind('down')
    assert [call.detail for call in downs] == ['address is no longer dialled']


async def test_second_join_replaces_the_session(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against two open sessions of one peer."""
    async with run_listener(entry_recorder, timing) as listener:
        async with (
            raw_session(listener, entry_recorder) as (_, first),
            raw_session(listener, entry_recorder) as (_, second),
        ):
            assert listener.send('a1', messages.Demand(1))
    session_calls = [
        call for call in entry_recorder.calls if call.kind != 'message'
    ]
    assert [(call.kind, call.session) for call in session_calls[:3]] == [
        ('up', first.session),
        ('down', first.session),
        ('up', second.session),
    ]


async def test_join_without_a_connection_replaces_nothing(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against a delayed join request that closes a healthy session."""
    async with run_listener(entry_recorder, timing) as listener:
        async with raw_session(listener, entry_recorder):
            await send_join_request(listener.address, join.encode_join(REQUEST))
            assert listener.send('a1', messages.Demand(1))
            assert not entry_recorder.of_kind('down')


async def test_session_without_heartbeats_is_closed(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against a peer that hangs while its connection stays open."""
    async with run_listener(entry_recorder, timing) as listener:
        async with raw_session(listener, entry_recorder):
            down = await entry_recorder.wait_for('down')
    assert down.detail == 'heartbeat timeout'


async def test_peer_that_does_not_read_is_disconnected(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against a peer that sends heartbeats but reads nothing."""
    message = messages.Config(1, 'x' * MEGABYTE)
    small_limits = timing._replace(frame_bytes=MEGABYTE)
    async with run_listener(entry_recorder, small_limits) as listener:
        async with raw_session(listener, entry_recorder) as (socket, answer):
            async with anyio.create_task_group() as group:
                group.start_soon(send_heartbeats, socket, answer.session)
                assert all(listener.send('a1', message) for _ in range(30))
                down = await entry_recorder.wait_for('down')
                group.cancel_scope.cancel()
    assert down.detail == 'send timeout: peer is not reading'


async def send_heartbeats(socket: PairSocket, session: str) -> None:
    """Send heartbeats until cancelled."""
    sequence = 1
    while True:
        await socket.send(heartbeat(session, sequence))
        sequence += 1
        await anyio.sleep(0.01)


async def test_full_queue_closes_the_session(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against memory that grows with a slow peer."""
    small_limits = timing._replace(queue_bytes=1000)
    async with run_listener(entry_recorder, small_limits) as listener:
        async with raw_session(listener, entry_recorder):
            message = messages.Config(1, 'x' * 600)
            assert listener.send('a1', message)
            assert not listener.send('a1', message)
            down = await entry_recorder.wait_for('down')
    assert down.detail == 'outgoing queue is full'


@pytest.mark.parametrize(
    ('frame', 'reason'),
    [
        (b'\xc1', 'malformed frame'),
        (b'\x91' * 100_000, 'malformed frame'),
        (msgspec.msgpack.encode((1, '', 1, 'x', [])), 'foreign session'),
        (heartbeat('other', 1), 'foreign session'),
    ],
)
async def test_invalid_frame_closes_the_session(
    timing: LinkTiming,
    entry_recorder: Recorder,
    frame: bytes,
    reason: str,
) -> None:
    """Guard against state that is built on invalid frames."""
    async with run_listener(entry_recorder, timing) as listener:
        async with raw_session(listener, entry_recorder) as (socket, _):
            await socket.send(frame)
            down = await entry_recorder.wait_for('down')
    assert reason in str(down.detail)


@pytest.mark.parametrize('sequence', [0, 2])
async def test_unexpected_sequence_closes_the_session(
    timing: LinkTiming,
    entry_recorder: Recorder,
    sequence: int,
) -> None:
    """Guard against lost or repeated frames."""
    async with run_listener(entry_recorder, timing) as listener:
        async with raw_session(listener, entry_recorder) as (socket, answer):
            await socket.send(heartbeat(answer.session, sequence))
            down = await entry_recorder.wait_for('down')
    assert down.detail == f'received frame {sequence}, expected 1'


async def test_lost_connection_ends_the_session(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against a second connection that takes over the session."""
    async with run_listener(entry_recorder, timing) as listener:
        async with raw_session(listener, entry_recorder) as (_, answer):
            second = PairSocket()
            second.dial_once(answer.address)
        down = await entry_recorder.wait_for('down')
        second.close()
    assert down.detail == 'connection lost'


async def test_dialler_reconnects_to_a_restarted_listener(
    timing: LinkTiming,
    entry_recorder: Recorder,
    agent_recorder: Recorder,
) -> None:
    """Guard against agents that do not reconnect to a restarted entry."""
    first = LinkListener('127.0.0.1:0', 'e1', entry_recorder, lambda: 3, timing)
    async with anyio.create_task_group() as group:
        await group.start(run_until_up, first, entry_recorder, group, timing)
        second = LinkListener(
            first.address,
            'e1',
            agent_recorder,
            lambda: 3,
            timing,
        )
        group.start_soon(second.run)
        await agent_recorder.wait_for('up')
        assert second.send('a1', messages.Demand(1))
        group.cancel_scope.cancel()
    down = entry_recorder.of_kind('down')
    assert [call.detail for call in down] == ['process is stopping']


async def run_until_up(
    listener: LinkListener,
    recorder: Recorder,
    outer: TaskGroup,
    timing: LinkTiming,
    *,
    task_status: TaskStatus[None],
) -> None:
    """Run a listener until a session is up; the dialler keeps running."""
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        dialler = LinkDialler(
            address,
            REQUEST,
            type(recorder)(),
            lambda: 2,
            timing,
        )
        outer.start_soon(dialler.run)
        await recorder.wait_for('up')
        group.cancel_scope.cancel()
    task_status.started()


@pytest.mark.parametrize('seed', range(3))
async def test_sessions_deliver_prefixes_under_repeated_faults(
    timing: LinkTiming,
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    seed: int,
) -> None:
    """Guard against gaps, repeats and overlaps when links keep failing."""
    rng = random.Random(seed)
    async with (
        run_listener(entry_recorder, timing) as listener,
        run_dialler(listener, agent_recorder, timing) as dialler,
    ):
        sent = 0
        while len(entry_recorder.of_kind('down')) < 10:
            sent += dialler.send('e1', messages.GrantCredits(sent))
            if not rng.randrange(MEAN_STEPS_BETWEEN_FAULTS):
                listener.close('a1', 'fault')
            if not rng.randrange(MEAN_STEPS_BETWEEN_FAULTS):
                dialler.close('e1', 'fault')
            await anyio.sleep(0.001)
    assert_sessions_do_not_overlap(entry_recorder)
    assert_sessions_do_not_overlap(agent_recorder)
    received = [
        call.detail.credits
        for call in entry_recorder.of_kind('message')
        if isinstance(call.detail, messages.GrantCredits)
    ]
    assert received == sorted(set(received))


def assert_sessions_do_not_overlap(recorder: Recorder) -> None:
    """Check that each session ends before the next one starts."""
    session_calls = [call for call in recorder.calls if call.kind != 'message']
    ups, downs = session_calls[::2], session_calls[1::2]
    assert {call.kind for call in ups} == {'up'}
    assert {call.kind for call in downs} == {'down'}
    assert [call.session for call in ups] == [call.session for call in downs]


@pytest.mark.parametrize(
    ('request_bytes', 'refusal'),
    [
        (join.encode_join(REQUEST._replace(version=99)), 'version 99'),
        (join.encode_join(REQUEST._replace(peer='')), 'without a peer id'),
        (b'\xc1', 'malformed join request'),
    ],
)
async def test_invalid_join_is_refused(
    timing: LinkTiming,
    entry_recorder: Recorder,
    request_bytes: bytes,
    refusal: str,
) -> None:
    """Guard against sessions with peers of another protocol version."""
    async with run_listener(entry_recorder, timing) as listener:
        answer = await send_join_request(listener.address, request_bytes)
    assert refusal in answer.refusal


async def test_join_is_refused_when_all_ports_are_in_use(
    timing: LinkTiming,
    entry_recorder: Recorder,
) -> None:
    """Guard against a listener that fails when its port range is exhausted."""
    occupied = PairSocket()
    port = int(occupied.listen('127.0.0.1:0').rpartition(':')[2])
    listener = LinkListener(
        '127.0.0.1:0',
        'e1',
        entry_recorder,
        lambda: 3,
        timing,
        (port,),
    )
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        answer = await send_join_request(address, join.encode_join(REQUEST))
        group.cancel_scope.cancel()
    occupied.close()
    assert answer.refusal == 'no free port for a session'
