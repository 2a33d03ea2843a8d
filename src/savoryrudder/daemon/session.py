"""Run one session of a link over one connection."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import Protocol

import anyio
import pynng
import trio

from savoryrudder.daemon.due_timer import DueTimer
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.liveness import Liveness
from savoryrudder.daemon.outgoing import OutgoingQueue
from savoryrudder.daemon.send_window import SendWindow
from savoryrudder.protocol import codec
from savoryrudder.protocol.messages import Heartbeat
from savoryrudder.protocol.messages import Message

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from savoryrudder.daemon.outgoing import Outbox

_MAX_MESSAGE_BYTES: Final = 48 * 1024 * 1024


DEFAULT_TIMING: Final = LinkTiming()


class LinkHandler(Protocol):
    """Receive the callbacks of links, in the event loop and in order."""

    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a session that is open in both directions."""

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Handle messages and the sender's configuration revision."""

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Handle the end of a session that was up; no frames follow."""


class FrameSocket(Protocol):
    """Send and receive frames on one connection."""

    async def pass_frames(self, handle: Callable[[bytes], None]) -> None:
        """Pass each received frame to a function, until cancelled."""

    def try_send(self, content: bytes) -> bool:
        """Send a frame; return False if the send buffer is full."""

    async def send(self, content: bytes) -> None:
        """Send a frame, waiting for room in the send buffer."""

    async def wait_connected(self) -> None:
        """Wait until the connection is open."""

    async def wait_disconnected(self) -> None:
        """Wait until the connection is closed or lost."""

    def close(self) -> None:
        """Close the connection."""


class SessionIds(NamedTuple):
    """Identify a session and the peer at its other end."""

    peer: str
    session: str


class Session:
    """Exchange frames with one peer until the first error.

    The session is up once the first valid frame from the peer arrives, which
    shows that both sides agree on the session.
    """

    def __init__(
        self,
        socket: FrameSocket,
        ids: SessionIds,
        handler: LinkHandler,
        revision: Callable[[], int],
        timing: LinkTiming,
        outbox: Outbox | None = None,
        window: SendWindow | None = None,
    ) -> None:
        """Take ownership of a socket that listens or dials.

        Without an outbox, queued messages are sent in the next turn. A window
        is needed if the socket does not tell when it has no room.
        """
        self._socket = socket
        self._ids = ids
        self._handler = handler
        self._revision = revision
        self._timing = timing
        self._outbox = outbox
        self._queue = OutgoingQueue(timing.queue_bytes)
        self._writer_wanted = trio.Event()
        self._is_connected = False
        # A frame that the send buffer did not take yet.
        self._unsent = b''
        self._scope = trio.CancelScope()
        self._frames_received = 0
        self._window = window or SendWindow()
        self._is_acknowledgement_due = False
        self._liveness = Liveness(timing)
        self._timer = DueTimer()
        self._is_up = False
        self._is_down_reported = False
        self._reason = ''

    @property
    def ids(self) -> SessionIds:
        """Return the identifiers of the session and its peer."""
        return self._ids

    @property
    def reason(self) -> str:
        """Return why the session was closed; empty while it is open."""
        return self._reason

    @property
    def was_up(self) -> bool:
        """Return whether the session has been up."""
        return self._is_up

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the session is closed."""
        if self._reason:
            return False
        size = codec.estimate_message_size(message)
        if size > _MAX_MESSAGE_BYTES:
            self.close('message exceeds the size limit of a frame')
            return False
        if not self._queue.put(message, size):
            self.close('outgoing queue is full')
            return False
        if self._outbox is None:
            self._writer_wanted.set()
        else:
            self._outbox.add(self)
        return True

    def flush(self) -> None:
        """Send the queued messages, as far as the send buffer takes them."""
        if not self._is_connected or self._unsent or self._reason:
            return
        try:
            self._send_queued()
        except pynng.NNGException as error:
            self.close(f'socket error: {error}')
        # A frame of this turn may have made a heartbeat needless.
        self._timer.bring_forward(self._next_due_at)

    def set_carries_work(self, *, carries_work: bool) -> None:
        """Record whether the peer has work of this end, or the reverse."""
        now = trio.current_time()
        self._liveness.record_work(now, carries_work=carries_work)
        if self._outbox is None:
            self._timer.bring_forward(self._next_due_at)
        else:
            self._outbox.add(self)

    def close(self, reason: str) -> None:
        """Close the session; `on_link_down` is called later by `run`."""
        if not self._reason:
            self._reason = reason
            self._scope.cancel()

    def close_now(self, reason: str) -> None:
        """Close the session and call `on_link_down` at once."""
        self.close(reason)
        if self._is_up and not self._is_down_reported:
            self._is_down_reported = True
            self._handler.on_link_down(*self._ids, self._reason)

    async def run(self) -> None:
        """Serve the session until it is closed, then close the socket."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.close_now, 'process is stopping')
            cleanup.callback(self._socket.close)
            cleanup.enter_context(self._scope)
            await self._serve()

    async def _serve(self) -> None:
        try:
            with anyio.fail_after(self._timing.join_timeout_s):
                await self._socket.wait_connected()
        except TimeoutError:
            self.close('peer did not connect')
            return
        self._liveness.record_received(trio.current_time(), 0)
        self._is_connected = True
        async with anyio.create_task_group() as group:
            group.start_soon(self._close_on_socket_error, self._read)
            group.start_soon(self._close_on_socket_error, self._write)
            group.start_soon(self._watch_connection)
            group.start_soon(self._watch_liveness)

    async def _close_on_socket_error(
        self,
        transfer: Callable[[], Awaitable[None]],
    ) -> None:
        try:
            await transfer()
        except pynng.NNGException as error:
            self.close(f'socket error: {error}')

    async def _read(self) -> None:
        await self._socket.pass_frames(self._handle_frame)

    def _handle_frame(self, encoded: bytes) -> None:
        if self._reason:
            return
        frame = codec.decode_frame(encoded)
        if isinstance(frame, codec.FrameError):
            self.close(frame.detail)
            return
        now = trio.current_time()
        closed_at = self._window.closed_at
        error = self._frame_error(frame) or self._window.record_taken(
            frame.taken,
            now,
        )
        if error:
            self.close(error)
            return
        if closed_at < self._window.closed_at:
            self._record_wait(now - closed_at)
        self._accept_frame(frame, now)
        if closed_at <= now or self._is_acknowledgement_due:
            self.flush()
        self._timer.bring_forward(self._next_due_at)

    def _accept_frame(self, frame: codec.Frame, now: float) -> None:
        self._frames_received += 1
        if frame.wants_acknowledgement:
            self._is_acknowledgement_due = True
        self._liveness.record_received(now, frame.silence_ms)
        if not self._is_up:
            self._is_up = True
            self._handler.on_link_up(*self._ids)
        if not self._reason:
            self._handler.on_frame(*self._ids, frame.revision, frame.messages)

    def _record_wait(self, seconds: float) -> None:
        if self._outbox is not None and not self._queue.is_empty:
            self._outbox.record_wait(seconds)

    def _frame_error(self, frame: codec.Frame) -> str:
        if frame.session != self._ids.session:
            return 'frame belongs to a foreign session'
        if frame.sequence != self._frames_received:
            return (
                f'received frame {frame.sequence}, '
                f'expected {self._frames_received}'
            )
        if not isinstance(frame.revision, int):
            return 'malformed frame: revision is not a number'
        if not isinstance(frame.silence_ms, int) or frame.silence_ms < 0:
            return 'malformed frame: silence is not a duration'
        return ''

    async def _write(self) -> None:
        while True:
            self._writer_wanted = trio.Event()
            if self._unsent:
                await self._send_or_time_out(self._unsent)
                self._unsent = b''
            self._send_queued()
            if not self._unsent:
                await self._writer_wanted.wait()

    def _send_queued(self) -> None:
        while self._window.is_open:
            batch = self._queue.take(self._timing.frame_bytes)
            if not batch and not self._is_acknowledgement_due:
                return
            encoded = self._encode(batch)
            if not self._socket.try_send(encoded):
                self._unsent = encoded
                self._writer_wanted.set()
                return

    def _encode(self, batch: tuple[Message, ...]) -> bytes:
        now = trio.current_time()
        sequence = self._window.frames_sent
        self._window.record_sent(now)
        self._is_acknowledgement_due = False
        frame = codec.Frame(
            self._ids.session,
            sequence,
            self._revision(),
            batch,
            self._liveness.record_sent(now),
            self._frames_received,
            wants_acknowledgement=not self._window.is_open,
        )
        return codec.encode_frame(frame)

    async def _send_or_time_out(self, encoded: bytes) -> None:
        try:
            with anyio.fail_after(self._timing.idle_timeout_s):
                await self._socket.send(encoded)
        except TimeoutError:
            self.close('send timeout: peer is not reading')

    async def _watch_connection(self) -> None:
        await self._socket.wait_disconnected()
        self.close('connection lost')

    async def _watch_liveness(self) -> None:
        liveness = self._liveness
        while not self._reason:
            now = trio.current_time()
            if liveness.heartbeat_due_at <= now:
                if self._window.is_open or self._queue.is_empty:
                    self.send(Heartbeat())
                self.flush()
                liveness.record_sent(now)
            await self._timer.sleep_until(self._next_due_at)
            # After a stall of this process, there may be frames left to read.
            await trio.lowlevel.checkpoint()
            self._close_if_overdue(trio.current_time())

    def _close_if_overdue(self, now: float) -> None:
        if self._liveness.lost_at <= now:
            self.close('heartbeat timeout')
        elif self._acknowledgement_due_by <= now:
            self.close('send timeout: peer takes no frames')

    @property
    def _acknowledgement_due_by(self) -> float:
        return self._window.closed_at + self._timing.quiet_timeout_s

    @property
    def _next_due_at(self) -> float:
        return min(self._liveness.next_due_at, self._acknowledgement_due_by)
