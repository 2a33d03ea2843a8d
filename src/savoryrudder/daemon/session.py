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
from savoryrudder.daemon.frame_writer import FrameWriter
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.liveness import Liveness
from savoryrudder.protocol import codec
from savoryrudder.protocol.messages import Heartbeat
from savoryrudder.protocol.messages import Message

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from savoryrudder.daemon.outgoing import Outbox
    from savoryrudder.daemon.send_window import SendWindow

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
        self._timing = timing
        self._outbox = outbox
        self._is_connected = False
        self._scope = trio.CancelScope()
        self._liveness = Liveness(timing)
        self._writer = FrameWriter(
            socket,
            ids.session,
            revision,
            timing,
            self._liveness,
            window,
        )
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
        error = self._writer.put(message)
        if error:
            self.close(error)
            return False
        if self._outbox is None:
            self._writer.wake()
        else:
            self._outbox.add(self)
        return True

    def flush(self) -> None:
        """Send the queued messages, as far as the send buffer takes them."""
        if not self._is_connected or self._reason:
            return
        try:
            self._writer.flush()
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
        blocked_since = self._writer.blocked_since
        error = self._frame_error(frame) or self._writer.record_taken(
            frame.taken,
            now,
        )
        if error:
            self.close(error)
            return
        if blocked_since < self._writer.blocked_since:
            self._record_wait(now - blocked_since)
        self._accept_frame(frame, now)
        if blocked_since <= now or frame.wants_acknowledgement:
            self.flush()
        self._timer.bring_forward(self._next_due_at)

    def _accept_frame(self, frame: codec.Frame, now: float) -> None:
        self._writer.record_received(
            wants_acknowledgement=frame.wants_acknowledgement,
        )
        self._liveness.record_received(now, frame.silence_ms)
        if not self._is_up:
            self._is_up = True
            self._handler.on_link_up(*self._ids)
        if not self._reason:
            self._handler.on_frame(*self._ids, frame.revision, frame.messages)

    def _record_wait(self, seconds: float) -> None:
        if self._outbox is not None and self._writer.must_write:
            self._outbox.record_wait(seconds)

    def _frame_error(self, frame: codec.Frame) -> str:
        if frame.session != self._ids.session:
            return 'frame belongs to a foreign session'
        expected = self._writer.frames_taken
        if frame.sequence != expected:
            return f'received frame {frame.sequence}, expected {expected}'
        if not isinstance(frame.revision, int):
            return 'malformed frame: revision is not a number'
        if not isinstance(frame.silence_ms, int) or frame.silence_ms < 0:
            return 'malformed frame: silence is not a duration'
        return ''

    async def _write(self) -> None:
        try:
            await self._writer.run()
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
                if not self._writer.must_write:
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
        elif self._writer.overdue_at <= now:
            self.close('send timeout: peer takes no frames')

    @property
    def _next_due_at(self) -> float:
        return min(self._liveness.next_due_at, self._writer.overdue_at)
