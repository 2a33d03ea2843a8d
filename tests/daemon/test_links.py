"""Check that links carry messages and end with their first fault."""

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

    from savoryrudder.daemon.session import LinkTiming

pytestmark = pytest.mark.anyio
REQUEST = join.JoinRequest(codec.PROTOCOL_VERSION, 'a1', 'agent')
MEGABYTE = 1 << 20
TURNS_BETWEEN_FAULTS = 20


@contextlib.asynccontextmanager
async def listening(
    events: Recorder,
    timing: LinkTiming,
) -> AsyncIterator[LinkListener]:
    """Run a listener."""
    listener = LinkListener('127.0.0.1:0', 'e1', events, lambda: 3, timing)
    async with anyio.create_task_group() as group:
        await group.start(listener.run)
        yield listener
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def dialling(
    listener: LinkListener,
    events: Recorder,
    timing: LinkTiming,
) -> AsyncIterator[LinkDialler]:
    """Run a dialler and wait until its first session is up."""
    dialler = LinkDialler(
        listener.address,
        REQUEST,
        events,
        lambda: 2,
        timing,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(dialler.run)
        await events.wait_for('up')
        yield dialler
        group.cancel_scope.cancel()


async def ask(address: str, request: bytes) -> join.JoinAnswer:
    """Send a join request and return the raw answer."""
    with contextlib.closing(MessageSocket(pynng.Req0())) as socket:
        socket.dial(address, redial_ms=(10, 10))
        await socket.send(request)
        raw = await socket.receive()
    return msgspec.msgpack.decode(raw, type=join.JoinAnswer)


@contextlib.asynccontextmanager
async def raw_peer(
    listener: LinkListener,
    events: Recorder,
) -> AsyncIterator[tuple[PairSocket, join.JoinAnswer]]:
    """Open a session whose frames the test writes itself."""
    answer = await ask(listener.address, join.encode_join(REQUEST))
    with contextlib.closing(PairSocket()) as socket:
        socket.dial_once(answer.address)
        await socket.send(heartbeat(answer.session, 0))
        await events.wait_for('up', session=answer.session)
        yield socket, answer


def heartbeat(session: str, sequence: int) -> bytes:
    """Encode a frame of one heartbeat."""
    frame = codec.Frame(session, sequence, 0, (messages.Heartbeat(),))
    return codec.encode_frame(frame)


async def test_messages_pass_both_ways_in_order(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
) -> None:
    """Guard against lost or reordered messages on a healthy link."""
    sent = [messages.Grant(number) for number in range(500)]
    async with (
        listening(at_entry, timing) as listener,
        dialling(listener, at_agent, timing) as dialler,
    ):
        await at_entry.wait_for('up')
        assert listener.send('a1', messages.Demand(4))
        assert all(dialler.send('e1', message) for message in sent)
        await at_agent.wait_for('message', detail=messages.Demand(4))
        await at_entry.wait_for('message', detail=sent[-1])
    received = [one.detail for one in at_entry.of_kind('message')]
    assert [one for one in received if one in sent] == sent
    assert at_entry.revisions == {2}


async def test_a_closed_session_is_followed_by_a_new_one(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
) -> None:
    """Guard against a session that goes on over another connection."""
    async with (
        listening(at_entry, timing) as listener,
        dialling(listener, at_agent, timing),
    ):
        first = await at_entry.wait_for('up')
        listener.close('a1', 'asked to')
        assert not listener.send('a1', messages.Demand(4))
        await at_agent.wait_for('down', session=first.session)
        await at_agent.wait_for('up', after=first.session)
    down = at_entry.of_kind('down')[0]
    assert (down.session, down.detail) == (first.session, 'asked to')


async def test_a_stopped_dialler_ends_and_does_not_dial_again(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
) -> None:
    """Guard against a dialler that keeps a forgotten address alive."""
    async with listening(at_entry, timing) as listener:
        async with anyio.create_task_group() as group:
            dialler = LinkDialler(
                listener.address,
                REQUEST,
                at_agent,
                lambda: 2,
                timing,
            )
            group.start_soon(dialler.run)
            await at_agent.wait_for('up')
            # The other end reports a session down only if it was up there.
            await at_entry.wait_for('up')
            dialler.stop()
        down = await at_entry.wait_for('down')
    assert down.detail == 'connection lost'
    ended = at_agent.of_kind('down')
    assert [one.detail for one in ended] == ['address is no longer dialled']


async def test_a_second_join_replaces_the_session(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against two open sessions of one peer."""
    async with listening(at_entry, timing) as listener:
        async with (
            raw_peer(listener, at_entry) as (_, first),
            raw_peer(listener, at_entry) as (_, second),
        ):
            assert listener.send('a1', messages.Demand(1))
    changes = [one for one in at_entry.seen if one.kind != 'message']
    assert [(one.kind, one.session) for one in changes[:3]] == [
        ('up', first.session),
        ('down', first.session),
        ('up', second.session),
    ]


async def test_a_join_that_is_not_followed_up_replaces_nothing(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against a delayed join request that ends a healthy session."""
    async with listening(at_entry, timing) as listener:
        async with raw_peer(listener, at_entry):
            await ask(listener.address, join.encode_join(REQUEST))
            assert listener.send('a1', messages.Demand(1))
            assert not at_entry.of_kind('down')


async def test_a_silent_link_is_closed(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against a peer that is frozen while its connection stays open."""
    async with listening(at_entry, timing) as listener:
        async with raw_peer(listener, at_entry):
            down = await at_entry.wait_for('down')
    assert down.detail == 'peer is silent'


async def test_a_link_that_is_not_read_is_closed(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against a peer that sends heartbeats and reads nothing."""
    load = messages.Config(1, 'x' * MEGABYTE)
    small = timing._replace(frame_bytes=MEGABYTE)
    async with listening(at_entry, small) as listener:
        async with raw_peer(listener, at_entry) as (socket, answer):
            async with anyio.create_task_group() as group:
                group.start_soon(send_heartbeats, socket, answer.session)
                assert all(listener.send('a1', load) for _ in range(30))
                down = await at_entry.wait_for('down')
                group.cancel_scope.cancel()
    assert down.detail == 'peer does not read'


async def send_heartbeats(socket: PairSocket, session: str) -> None:
    """Send heartbeats without end."""
    sequence = 1
    while True:
        await socket.send(heartbeat(session, sequence))
        sequence += 1
        await anyio.sleep(0.01)


async def test_a_full_queue_closes_the_session(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against memory that grows with a slow peer."""
    small = timing._replace(queue_bytes=1000)
    async with listening(at_entry, small) as listener:
        async with raw_peer(listener, at_entry):
            load = messages.Config(1, 'x' * 600)
            assert listener.send('a1', load)
            assert not listener.send('a1', load)
            down = await at_entry.wait_for('down')
    assert down.detail == 'outgoing queue is full'


@pytest.mark.parametrize(
    ('raw', 'reason'),
    [
        (b'\xc1', 'malformed frame'),
        (b'\x91' * 100_000, 'malformed frame'),
        (msgspec.msgpack.encode((1, '', 1, 'x', [])), 'foreign session'),
        (heartbeat('other', 1), 'foreign session'),
    ],
)
async def test_a_bad_frame_closes_the_session(
    timing: LinkTiming,
    at_entry: Recorder,
    raw: bytes,
    reason: str,
) -> None:
    """Guard against state built on frames that cannot be trusted."""
    async with listening(at_entry, timing) as listener:
        async with raw_peer(listener, at_entry) as (socket, _):
            await socket.send(raw)
            down = await at_entry.wait_for('down')
    assert reason in str(down.detail)


@pytest.mark.parametrize('sequence', [0, 2])
async def test_a_sequence_gap_closes_the_session(
    timing: LinkTiming,
    at_entry: Recorder,
    sequence: int,
) -> None:
    """Guard against frames that were lost or repeated."""
    async with listening(at_entry, timing) as listener:
        async with raw_peer(listener, at_entry) as (socket, answer):
            await socket.send(heartbeat(answer.session, sequence))
            down = await at_entry.wait_for('down')
    assert down.detail == f'frame {sequence} instead of 1'


async def test_a_lost_connection_ends_the_session(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against a second connection that takes over the session."""
    async with listening(at_entry, timing) as listener:
        async with raw_peer(listener, at_entry) as (_, answer):
            second = PairSocket()
            second.dial_once(answer.address)
        down = await at_entry.wait_for('down')
        second.close()
    assert down.detail == 'connection lost'


async def test_a_dialler_finds_a_restarted_listener(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
) -> None:
    """Guard against agents that stay away after an entry restarts."""
    first = LinkListener('127.0.0.1:0', 'e1', at_entry, lambda: 3, timing)
    async with anyio.create_task_group() as group:
        await group.start(run_until_up, first, at_entry, group, timing)
        second = LinkListener(
            first.address,
            'e1',
            at_agent,
            lambda: 3,
            timing,
        )
        group.start_soon(second.run)
        await at_agent.wait_for('up')
        assert second.send('a1', messages.Demand(1))
        group.cancel_scope.cancel()
    down = at_entry.of_kind('down')
    assert [one.detail for one in down] == ['process is stopping']


async def run_until_up(
    listener: LinkListener,
    events: Recorder,
    outer: TaskGroup,
    timing: LinkTiming,
    *,
    task_status: TaskStatus[None],
) -> None:
    """Run a listener until a session is up; the dialler goes on."""
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        dialler = LinkDialler(
            address,
            REQUEST,
            type(events)(),
            lambda: 2,
            timing,
        )
        outer.start_soon(dialler.run)
        await events.wait_for('up')
        group.cancel_scope.cancel()
    task_status.started()


@pytest.mark.parametrize('seed', range(3))
async def test_sessions_deliver_prefixes_under_repeated_faults(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
    seed: int,
) -> None:
    """Guard against gaps, repeats and overlaps when links keep failing."""
    draw = random.Random(seed)
    async with (
        listening(at_entry, timing) as listener,
        dialling(listener, at_agent, timing) as dialler,
    ):
        sent = 0
        while len(at_entry.of_kind('down')) < 10:
            sent += dialler.send('e1', messages.Grant(sent))
            if not draw.randrange(TURNS_BETWEEN_FAULTS):
                listener.close('a1', 'fault')
            if not draw.randrange(TURNS_BETWEEN_FAULTS):
                dialler.close('e1', 'fault')
            await anyio.sleep(0.001)
    assert_alternating(at_entry)
    assert_alternating(at_agent)
    numbers = [
        one.detail.credits
        for one in at_entry.of_kind('message')
        if isinstance(one.detail, messages.Grant)
    ]
    assert numbers == sorted(set(numbers))


def assert_alternating(events: Recorder) -> None:
    """Check that each session ends before the next one begins."""
    changes = [one for one in events.seen if one.kind != 'message']
    ups, downs = changes[::2], changes[1::2]
    assert {one.kind for one in ups} == {'up'}
    assert {one.kind for one in downs} == {'down'}
    assert [one.session for one in ups] == [one.session for one in downs]


@pytest.mark.parametrize(
    ('request_bytes', 'refusal'),
    [
        (join.encode_join(REQUEST._replace(version=99)), 'version 99'),
        (join.encode_join(REQUEST._replace(peer='')), 'without a peer id'),
        (b'\xc1', 'malformed join request'),
    ],
)
async def test_a_join_that_cannot_be_served_is_refused(
    timing: LinkTiming,
    at_entry: Recorder,
    request_bytes: bytes,
    refusal: str,
) -> None:
    """Guard against a process of another release that joins silently."""
    async with listening(at_entry, timing) as listener:
        answer = await ask(listener.address, request_bytes)
    assert refusal in answer.refusal


async def test_joins_are_refused_when_all_ports_are_taken(
    timing: LinkTiming,
    at_entry: Recorder,
) -> None:
    """Guard against a listener that fails when its port range is used up."""
    taken = PairSocket()
    port = int(taken.listen('127.0.0.1:0').rpartition(':')[2])
    listener = LinkListener(
        '127.0.0.1:0',
        'e1',
        at_entry,
        lambda: 3,
        timing,
        (port,),
    )
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        answer = await ask(address, join.encode_join(REQUEST))
        group.cancel_scope.cancel()
    taken.close()
    assert answer.refusal == 'no free port for a session'
