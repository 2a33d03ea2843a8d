"""Send the messages of a session in frames."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio
import trio

from savoryrudder.daemon.outgoing import OutgoingQueue
from savoryrudder.daemon.send_window import SendWindow
from savoryrudder.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from savoryrudder.daemon.liveness import LinkTiming
    from savoryrudder.daemon.liveness import Liveness
    from savoryrudder.daemon.session import FrameSocket
    from savoryrudder.protocol.messages import Message

MAX_MESSAGE_BYTES: Final = 48 * 1024 * 1024


class FrameWriter:
    """Send queued messages as far as the socket and the peer take them.

    Each frame tells how many frames of the peer were taken.
    """

    def __init__(
        self,
        socket: FrameSocket,
        session: str,
        revision: Callable[[], int],
        timing: LinkTiming,
        liveness: Liveness,
        window: SendWindow | None,
    ) -> None:
        """Initialize without messages.

        A window is needed if the socket does not tell when it has no room.
        """
        self._socket = socket
        self._session = session
        self._revision = revision
        self._timing = timing
        self._liveness = liveness
        self._window = window or SendWindow()
        self._queue = OutgoingQueue(timing.queue_bytes)
        self._wanted = trio.Event()
        # A frame that the send buffer did not take yet.
        self._unsent = b''
        self._frames_taken = 0
        self._is_acknowledgement_due = False

    @property
    def frames_taken(self) -> int:
        """Return the number of frames of the peer that were taken."""
        return self._frames_taken

    @property
    def must_write(self) -> bool:
        """Return whether messages or an acknowledgement are to be sent."""
        return self._is_acknowledgement_due or not self._queue.is_empty

    @property
    def overdue_at(self) -> float:
        """Return when the peer should have taken the frames sent."""
        return self._window.closed_at + self._timing.quiet_timeout_s

    @property
    def blocked_since(self) -> float:
        """Return since when messages wait for the peer; infinity if not."""
        return self._window.closed_at

    def put(self, message: Message) -> str:
        """Queue a message; return why that is not possible, if so."""
        size = codec.estimate_message_size(message)
        if size > MAX_MESSAGE_BYTES:
            return 'message exceeds the size limit of a frame'
        if not self._queue.put(message, size):
            return 'outgoing queue is full'
        return ''

    def record_taken(self, taken: object, now: float) -> str:
        """Record how many frames the peer has taken; return an error, if any.

        `now` is in seconds.
        """
        return self._window.record_taken(taken, now)

    def record_received(self, *, wants_acknowledgement: bool) -> None:
        """Record that a frame of the peer was taken."""
        self._frames_taken += 1
        if wants_acknowledgement:
            self._is_acknowledgement_due = True

    def wake(self) -> None:
        """Send the queued messages in the next turn."""
        self._wanted.set()

    def flush(self) -> None:
        """Send the queued messages now, as far as they are taken."""
        if not self._unsent:
            self._send_queued()

    async def run(self) -> None:
        """Send what waits for room; raise TimeoutError if there is none."""
        while True:
            self._wanted = trio.Event()
            if self._unsent:
                with anyio.fail_after(self._timing.idle_timeout_s):
                    await self._socket.send(self._unsent)
                self._unsent = b''
            self._send_queued()
            if not self._unsent:
                await self._wanted.wait()

    def _send_queued(self) -> None:
        while self._window.is_open and self.must_write:
            batch = self._queue.take(self._timing.frame_bytes)
            encoded = self._encode(batch)
            if not self._socket.try_send(encoded):
                self._unsent = encoded
                self._wanted.set()
                return

    def _encode(self, batch: tuple[Message, ...]) -> bytes:
        now = trio.current_time()
        sequence = self._window.frames_sent
        self._window.record_sent(now)
        self._is_acknowledgement_due = False
        frame = codec.Frame(
            self._session,
            sequence,
            self._revision(),
            batch,
            self._liveness.record_sent(now),
            self._frames_taken,
            wants_acknowledgement=not self._window.is_open,
        )
        return codec.encode_frame(frame)
