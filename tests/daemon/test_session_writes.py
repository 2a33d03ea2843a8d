"""Test when a session sends its messages, and in which order."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from fakes.link_handler import IgnoringHandler
from trio.testing import MockClock

from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.outgoing import Outbox
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionIds
from savoryrudder.protocol import codec
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Message

TIMING = LinkTiming(heartbeat_s=60)
MESSAGES = tuple(work.RelinquishJob(f'j{number}') for number in range(6))


class _RecordingSocket:
    """Record the frames that are sent; `full` fills the send buffer."""

    def __init__(self) -> None:
        self.frames: list[codec.Frame] = []
        self.full = False

    @property
    def messages(self) -> list[Message]:
        """Return the recorded messages but heartbeats."""
        return [
            message
            for frame in self.frames
            for message in frame.messages
            if isinstance(message, work.RelinquishJob)
        ]

    async def pass_frames(self, handle: Callable[[bytes], None]) -> None:
        """Receive nothing."""
        await anyio.sleep_forever()

    def try_send(self, content: bytes) -> bool:
        """Record a frame unless the send buffer is full."""
        if not self.full:
            decoded = codec.decode_frame(content)
            assert isinstance(decoded, codec.Frame)
            self.frames.append(decoded)
        return not self.full

    async def send(self, content: bytes) -> None:
        """Record a frame once the send buffer has room."""
        while not self.try_send(content):
            await anyio.sleep(0.1)

    async def wait_connected(self) -> None:
        """Connect after a while."""
        await anyio.sleep(0.5)

    async def wait_disconnected(self) -> None:
        """Never return."""
        await anyio.sleep_forever()

    def close(self) -> None:
        """Do nothing."""


_Script: TypeAlias = Callable[
    [Outbox, Session, _RecordingSocket],
    Awaitable[None],
]


async def _play(outbox: Outbox | None, script: _Script) -> None:
    socket = _RecordingSocket()
    ids = SessionIds('peer', 'session')
    session = Session(socket, ids, IgnoringHandler(), int, TIMING, outbox)
    async with anyio.create_task_group() as group:
        group.start_soon(session.run)
        await script(outbox or Outbox(), session, socket)
        group.cancel_scope.cancel()


def _run(outbox: Outbox | None, script: _Script) -> None:
    anyio.run(
        partial(_play, outbox, script),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


async def _send_in_one_turn(
    outbox: Outbox,
    session: Session,
    socket: _RecordingSocket,
) -> None:
    await anyio.sleep(1)
    sent = len(socket.frames)
    for message in MESSAGES:
        session.send(message)
    outbox.flush()
    assert socket.messages == list(MESSAGES)
    assert len(socket.frames) == sent + 1
    await anyio.sleep(1)
    assert len(socket.frames) == sent + 1


async def _send_to_a_slow_reader(
    outbox: Outbox,
    session: Session,
    socket: _RecordingSocket,
) -> None:
    session.send(MESSAGES[0])
    outbox.flush()
    await anyio.sleep(1)
    socket.full = True
    for message in MESSAGES[1:4]:
        session.send(message)
        outbox.flush()
    await anyio.sleep(1)
    session.send(MESSAGES[4])
    outbox.flush()
    socket.full = False
    await anyio.sleep(1)
    session.send(MESSAGES[5])
    outbox.flush()
    assert socket.messages == list(MESSAGES)
    numbers = [frame.sequence for frame in socket.frames]
    assert numbers == list(range(len(numbers)))


async def _send_without_an_outbox(
    _: Outbox,
    session: Session,
    socket: _RecordingSocket,
) -> None:
    session.send(MESSAGES[0])
    await anyio.sleep(1)
    session.send(MESSAGES[1])
    await anyio.sleep(1)
    assert socket.messages == list(MESSAGES[:2])


def test_the_messages_of_a_turn_are_sent_within_it_in_one_frame() -> None:
    """Guard against a pass of the event loop, and a frame, for each message."""
    _run(Outbox(), _send_in_one_turn)


def test_messages_keep_their_order_while_the_peer_does_not_read() -> None:
    """Guard against an end of a run that arrives before its start."""
    _run(Outbox(), _send_to_a_slow_reader)


def test_a_session_without_an_outbox_sends_by_itself() -> None:
    """Guard against messages that nobody flushes."""
    _run(None, _send_without_an_outbox)
