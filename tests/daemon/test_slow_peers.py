"""Test that links lose no frame, however slowly a peer reads."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import anyio
import msgspec
import pynng
import pytest

from savoryrudder.daemon.dialled_links import DialledLinks
from savoryrudder.daemon.outgoing import Outbox
from savoryrudder.daemon.shared_port import SharedPortListener
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.protocol import codec
from savoryrudder.protocol import messages
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from conftest import Recorder

    from savoryrudder.daemon.liveness import LinkTiming

pytestmark = pytest.mark.anyio
# Bounds the wait of a test that hangs.
HANG_S = 20
SESSION = 'abc'
# Far more than a connection of a shared socket holds.
BURST = 400


def _no_revision() -> int:
    return int()


def _messages(count: int) -> list[work.RelinquishJob]:
    return [work.RelinquishJob(f'j{number}') for number in range(count)]


def _received(recorder: Recorder) -> list[object]:
    return [
        call.detail
        for call in recorder.of_kind('message')
        if isinstance(call.detail, work.RelinquishJob)
    ]


class Listening(NamedTuple):
    """Hold a listener, its outbox and its address."""

    listener: SharedPortListener
    outbox: Outbox
    address: str

    def send_burst(self, session: str, count: int) -> None:
        """Send each message in a turn of its own, without a pause."""
        for message in _messages(count):
            assert self.listener.send(session, message)
            self.outbox.flush()


@contextlib.asynccontextmanager
async def run_listener(
    recorder: Recorder,
    timing: LinkTiming,
) -> AsyncIterator[Listening]:
    """Run a listener that sends the messages of a turn at its end."""
    outbox = Outbox()
    listener = SharedPortListener(
        '127.0.0.1:0',
        recorder,
        _no_revision,
        timing,
        outbox,
    )
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        yield Listening(listener, outbox, address)
        group.cancel_scope.cancel()


class RawPeer:
    """Dial a listener, and read and write frames one by one."""

    def __init__(self, socket: PairSocket) -> None:
        """Take a connected socket."""
        self.taken = 0
        self._socket = socket
        self._sent = 0

    async def send(
        self,
        taken: object,
        message: messages.Message | None = None,
    ) -> None:
        """Send a frame that tells how many were taken."""
        frame = codec.Frame(
            SESSION,
            self._sent,
            0,
            (message or messages.Heartbeat(),),
        )
        self._sent += 1
        encoded = codec.encode_frame(frame._replace(taken=taken))
        await self._socket.send(encoded)

    async def receive(self) -> codec.Frame:
        """Take a frame."""
        frame = codec.decode_frame(await self._socket.receive())
        assert isinstance(frame, codec.Frame)
        self.taken += 1
        return frame


@contextlib.asynccontextmanager
async def dial_raw(
    listening: Listening,
    recorder: Recorder,
) -> AsyncIterator[RawPeer]:
    """Open a session whose frames are read and written by the test."""
    with contextlib.closing(PairSocket(pynng.Pair1())) as socket:
        socket.dial_once(listening.address)
        peer = RawPeer(socket)
        await peer.send(0)
        await recorder.wait_for('up')
        yield peer


async def test_a_burst_of_frames_arrives_whole(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against frames that the shared socket drops without an error.

    Agents closed links over missing frames, 14 times in 15 seconds, while
    thousands of tasks started again.
    """
    links = DialledLinks(agent_recorder, _no_revision)
    async with (
        run_listener(entry_recorder, timing) as listening,
        anyio.create_task_group() as group,
    ):
        links.set_addresses(group, [listening.address])
        up = await agent_recorder.wait_for('up')
        await entry_recorder.wait_for('up')
        listening.send_burst(up.session, BURST)
        with anyio.fail_after(HANG_S):
            await agent_recorder.wait_for(
                'message', detail=_messages(BURST)[-1]
            )
        assert _received(agent_recorder) == _messages(BURST)
        assert not agent_recorder.of_kind('down')
        group.cancel_scope.cancel()


async def test_a_peer_that_stands_still_gets_all_frames_later(
    entry_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against frames lost while a busy peer does not read."""
    async with (
        run_listener(entry_recorder, timing) as listening,
        dial_raw(listening, entry_recorder) as peer,
    ):
        listening.send_burst(SESSION, BURST)
        await anyio.sleep(0.2)
        received: list[object] = []
        with anyio.fail_after(HANG_S):
            while len(received) < BURST:
                frame = await peer.receive()
                assert frame.sequence == peer.taken - 1
                received.extend(
                    message
                    for message in frame.messages
                    if isinstance(message, work.RelinquishJob)
                )
                if frame.wants_acknowledgement:
                    await peer.send(peer.taken)
        assert received == _messages(BURST)


async def test_a_burst_from_the_dialling_end_arrives_whole(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against lost frames in the other direction."""
    outbox = Outbox()
    links = DialledLinks(agent_recorder, _no_revision, outbox)
    async with (
        run_listener(entry_recorder, timing) as listening,
        anyio.create_task_group() as group,
    ):
        links.set_addresses(group, [listening.address])
        up = await agent_recorder.wait_for('up')
        await entry_recorder.wait_for('up')
        for message in _messages(BURST):
            assert links.send(up.session, message)
            outbox.flush()
        with anyio.fail_after(HANG_S):
            await entry_recorder.wait_for(
                'message', detail=_messages(BURST)[-1]
            )
        assert _received(entry_recorder) == _messages(BURST)
        assert not entry_recorder.of_kind('down')
        group.cancel_scope.cancel()


async def test_a_slow_peer_does_not_delay_another_one(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against links that wait for a peer that takes nothing."""
    links = DialledLinks(agent_recorder, _no_revision)
    async with (
        run_listener(entry_recorder, timing) as listening,
        dial_raw(listening, entry_recorder),
        anyio.create_task_group() as group,
    ):
        links.set_addresses(group, [listening.address])
        up = await agent_recorder.wait_for('up')
        await entry_recorder.wait_for('up', up.session)
        listening.send_burst(SESSION, BURST)
        listening.send_burst(up.session, BURST)
        with anyio.fail_after(HANG_S):
            await agent_recorder.wait_for(
                'message', detail=_messages(BURST)[-1]
            )
        assert _received(agent_recorder) == _messages(BURST)
        assert not entry_recorder.of_kind('down')
        group.cancel_scope.cancel()


async def test_a_peer_that_takes_no_frames_is_lost_with_that_reason(
    entry_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against a link that waits forever for a peer that talks only."""
    impatient = timing._replace(quiet_heartbeat_s=0.01)
    async with (
        run_listener(entry_recorder, impatient) as listening,
        dial_raw(listening, entry_recorder) as peer,
    ):
        listening.send_burst(SESSION, BURST)
        ends_at = time.monotonic() + HANG_S
        while not entry_recorder.of_kind('down'):
            assert time.monotonic() < ends_at
            await peer.send(0)
            await anyio.sleep(0.02)
        down = entry_recorder.of_kind('down')[0]
        assert down.detail == 'send timeout: peer takes no frames'


@pytest.mark.parametrize('taken', [99, -5, 'x'])
async def test_a_count_that_cannot_be_closes_its_link_only(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
    taken: object,
) -> None:
    """Guard against bad data of a peer that reaches other links."""
    links = DialledLinks(agent_recorder, _no_revision)
    async with (
        run_listener(entry_recorder, timing) as listening,
        dial_raw(listening, entry_recorder) as peer,
        anyio.create_task_group() as group,
    ):
        links.set_addresses(group, [listening.address])
        up = await agent_recorder.wait_for('up')
        await peer.send(taken)
        down = await entry_recorder.wait_for('down', SESSION)
        assert 'taken' in str(down.detail)
        listening.send_burst(up.session, 1)
        await agent_recorder.wait_for('message', detail=_messages(1)[0])
        assert len(entry_recorder.of_kind('down')) == 1
        group.cancel_scope.cancel()


async def test_a_peer_of_an_earlier_release_gets_frames(
    entry_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against a link that stops during an upgrade."""
    former_frame = (codec.PROTOCOL_VERSION, SESSION, 0, 0, (), 0)
    async with run_listener(entry_recorder, timing) as listening:
        with contextlib.closing(PairSocket(pynng.Pair1())) as socket:
            socket.dial_once(listening.address)
            await socket.send(msgspec.msgpack.encode(former_frame))
            await entry_recorder.wait_for('up')
            peer = RawPeer(socket)
            received: list[object] = []
            with anyio.fail_after(HANG_S):
                while len(received) < 10:
                    listening.send_burst(SESSION, 1)
                    frame = await peer.receive()
                    assert not frame.wants_acknowledgement
                    received.extend(frame.messages)
