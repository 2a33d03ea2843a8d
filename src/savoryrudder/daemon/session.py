"""Run one session of a link over one connection."""

from __future__ import annotations

import contextlib
from itertools import accumulate
from itertools import takewhile
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import Protocol

import anyio
import pynng
from anyio.lowlevel import checkpoint

from savoryrudder.protocol import codec
from savoryrudder.protocol.messages import Heartbeat
from savoryrudder.protocol.messages import Message

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

_MAX_MESSAGE_BYTES: Final = 48 * 1024 * 1024


class LinkTiming(NamedTuple):
    """Set the intervals and bounds of links (seconds and bytes)."""

    heartbeat_s: float = 1
    silent_intervals: int = 3
    join_timeout_s: float = 3
    backoff_min_s: float = 0.1
    backoff_max_s: float = 2
    queue_bytes: int = 32 * 1024 * 1024
    frame_bytes: int = 4 * 1024 * 1024


DEFAULT_TIMING: Final = LinkTiming()


class LinkEvents(Protocol):
    """Receive what happens on links; called in the event loop, in order."""

    def on_up(self, peer: str, session: str) -> None:
        """A session is open in both directions."""

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Messages arrived with the sender's configuration revision."""

    def on_down(self, peer: str, session: str, reason: str) -> None:
        """A session that was up has ended; nothing more arrives on it."""


class FrameSocket(Protocol):
    """Send and receive whole frames on one connection."""

    async def receive(self) -> bytes:
        """Return the next frame."""

    def send_now(self, content: bytes) -> bool:
        """Send a frame if there is room for it."""

    async def send(self, content: bytes) -> None:
        """Send a frame as soon as there is room for it."""

    async def wait_attached(self) -> None:
        """Wait until the connection is open."""

    async def wait_removed(self) -> None:
        """Wait until the connection is gone."""

    def close(self) -> None:
        """Close the connection."""


class SessionName(NamedTuple):
    """Name a session and the peer at its other end."""

    peer: str
    session: str


class OutgoingQueue:
    """Hold messages up to a number of bytes."""

    def __init__(self, limit: int) -> None:
        """Start empty."""
        self._limit = limit
        self._bytes = 0
        self._messages: list[Message] = []
        self._filled = anyio.Event()

    def put(self, message: Message, size: int) -> bool:
        """Append a message; return False if the queue is full."""
        if self._bytes + size > self._limit:
            return False
        if not self._messages:
            self._filled.set()
        self._bytes += size
        self._messages.append(message)
        return True

    async def take(self, limit: int) -> tuple[Message, ...]:
        """Wait for messages and take up to `limit` bytes, at least one."""
        await self._filled.wait()
        taken = tuple(self._messages)
        if self._bytes > limit:
            taken = taken[: _count_within(taken, limit)]
        self._messages = self._messages[len(taken) :]
        if self._messages:
            self._bytes -= sum(map(codec.message_size, taken))
        else:
            self._bytes = 0
            self._filled = anyio.Event()
        return taken


def _count_within(messages: Sequence[Message], limit: int) -> int:
    totals = accumulate(map(codec.message_size, messages))
    return max(1, sum(1 for _ in takewhile(limit.__ge__, totals)))


class Session:
    """Exchange frames with one peer until the first fault.

    The session is up with the first valid frame from the peer, which shows
    that both sides agree on the session.
    """

    def __init__(
        self,
        socket: FrameSocket,
        name: SessionName,
        events: LinkEvents,
        revision: Callable[[], int],
        timing: LinkTiming,
    ) -> None:
        """Take over a socket that listens or dials."""
        self._socket = socket
        self._name = name
        self._events = events
        self._revision = revision
        self._timing = timing
        self._queue = OutgoingQueue(timing.queue_bytes)
        self._scope = anyio.CancelScope()
        self._received = 0
        self._sent = 0
        self._heard_at = float(0)
        self._silence_s = timing.heartbeat_s * timing.silent_intervals
        self._is_up = False
        self._is_reported = False
        self._reason = ''

    @property
    def name(self) -> SessionName:
        """Return the names of the session and its peer."""
        return self._name

    @property
    def reason(self) -> str:
        """Return why the session ended; empty while it is open."""
        return self._reason

    @property
    def was_up(self) -> bool:
        """Return whether the session was ever up."""
        return self._is_up

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the session is closed."""
        if self._reason:
            return False
        size = codec.message_size(message)
        if size > _MAX_MESSAGE_BYTES:
            self.close('message larger than a frame may be')
            return False
        if not self._queue.put(message, size):
            self.close('outgoing queue is full')
            return False
        return True

    def close(self, reason: str) -> None:
        """End the session; `on_down` follows in a later turn."""
        if not self._reason:
            self._reason = reason
            self._scope.cancel()

    def end(self, reason: str) -> None:
        """End the session and report it at once."""
        self.close(reason)
        if self._is_up and not self._is_reported:
            self._is_reported = True
            self._events.on_down(*self._name, self._reason)

    async def run(self) -> None:
        """Serve the session until it ends, then close the socket."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.end, 'process is stopping')
            cleanup.callback(self._socket.close)
            cleanup.enter_context(self._scope)
            await self._serve()

    async def _serve(self) -> None:
        try:
            with anyio.fail_after(self._timing.join_timeout_s):
                await self._socket.wait_attached()
        except TimeoutError:
            self.close('peer did not connect')
            return
        self._heard_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(self._guard, self._read)
            group.start_soon(self._guard, self._write)
            group.start_soon(self._watch_connection)
            group.start_soon(self._watch_silence)
            group.start_soon(self._keep_alive)

    async def _guard(self, exchange: Callable[[], Awaitable[None]]) -> None:
        try:
            await exchange()
        except pynng.NNGException as error:
            self.close(f'socket error: {error}')

    async def _read(self) -> None:
        while not self._reason:
            raw = await self._socket.receive()
            if not self._reason:
                self._accept(raw)

    def _accept(self, raw: bytes) -> None:
        decoded = codec.decode_frame(raw)
        if decoded.is_error():
            self.close(decoded.error.detail)
            return
        frame = decoded.ok
        fault = self._fault_of(frame)
        if fault:
            self.close(fault)
            return
        self._received += 1
        self._heard_at = anyio.current_time()
        if not self._is_up:
            self._is_up = True
            self._events.on_up(*self._name)
        if self._reason:
            return
        self._events.on_frame(*self._name, frame.revision, frame.messages)

    def _fault_of(self, frame: codec.Frame) -> str:
        if frame.session != self._name.session:
            return 'frame of a foreign session'
        if frame.sequence != self._received:
            return f'frame {frame.sequence} instead of {self._received}'
        if not isinstance(frame.revision, int):
            return 'malformed frame: revision is not a number'
        return ''

    async def _write(self) -> None:
        while True:
            batch = await self._queue.take(self._timing.frame_bytes)
            frame = codec.Frame(
                self._name.session,
                self._sent,
                self._revision(),
                batch,
            )
            raw = codec.encode_frame(frame)
            self._sent += 1
            if not self._socket.send_now(raw):
                await self._send_patiently(raw)

    async def _send_patiently(self, raw: bytes) -> None:
        try:
            with anyio.fail_after(self._silence_s):
                await self._socket.send(raw)
        except TimeoutError:
            self.close('peer does not read')

    async def _watch_connection(self) -> None:
        await self._socket.wait_removed()
        self.close('connection lost')

    async def _watch_silence(self) -> None:
        while not self._reason:
            deadline = self._heard_at + self._silence_s
            await anyio.sleep(deadline - anyio.current_time())
            # After a stall of this process, frames may wait to be read.
            await checkpoint()
            if self._heard_at + self._silence_s <= anyio.current_time():
                self.close('peer is silent')

    async def _keep_alive(self) -> None:
        seen = -1
        while True:
            if seen in {-1, self._sent}:
                self.send(Heartbeat())
            seen = self._sent
            await anyio.sleep(self._timing.heartbeat_s)
