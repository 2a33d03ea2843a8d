"""Listen for links that share one port per process."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import cast

import anyio
import pynng
import trio
from anyio.abc import TaskGroup

from savoryrudder.daemon.liveness import FAST_TIMING
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.outgoing import Outbox
from savoryrudder.daemon.send_window import SendWindow
from savoryrudder.daemon.session import LinkHandler
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionIds
from savoryrudder.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from savoryrudder.protocol.messages import Message

_MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
# Received frames that wait for this process, of all connections.
_RECEIVE_BUFFER_FRAMES: Final = 64
# Frames on their way to their connections.
_SEND_BUFFER_FRAMES: Final = 512
# What each connection holds beside the frame that it is sending. Further ones
# are dropped.
_MAX_UNTAKEN_FRAMES: Final = 2
_RECEIVES_PER_CHECKPOINT: Final = 16
# Pause before another attempt to send on a connection without room.
_SEND_RETRY_S: Final = 0.01


class PipeSocket:
    """Send and receive on one connection (NNG pipe) of a shared socket."""

    def __init__(self, socket: Any, pipe: Any) -> None:
        """Take ownership of a pipe of the shared socket."""
        self._socket = socket
        self._pipe = pipe
        self._early_frames: list[bytes] = []
        self._handle: Callable[[bytes], None] = self._early_frames.append
        self._disconnected = trio.Event()

    def put(self, content: bytes) -> None:
        """Handle a frame that the shared socket received on this pipe."""
        self._handle(content)

    def mark_disconnected(self) -> None:
        """Record that the pipe was removed from the shared socket."""
        self._disconnected.set()

    async def pass_frames(self, handle: Callable[[bytes], None]) -> None:
        """Pass each received frame to a function, until cancelled."""
        self._handle = handle
        for content in self._early_frames:
            handle(content)
        await trio.sleep_forever()

    def try_send(self, content: bytes) -> bool:
        """Send a frame; return False if the send buffer is full."""
        message = pynng.Message(content, pipe=self._pipe)
        try:
            self._socket.send_msg(message, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def send(self, content: bytes) -> None:
        """Send a frame, waiting for room in the send buffer."""
        while not self.try_send(content):
            # Sessions that wait for room cannot share the file descriptor.
            await anyio.sleep(_SEND_RETRY_S)

    async def wait_connected(self) -> None:
        """Return at once, as the pipe is already connected."""
        await trio.lowlevel.checkpoint()

    async def wait_disconnected(self) -> None:
        """Wait until the connection is closed or lost."""
        await self._disconnected.wait()

    def close(self) -> None:
        """Close the pipe; the shared socket stays open."""
        with contextlib.suppress(pynng.NNGException):
            self._pipe.close()


class SharedPortListener:
    """Accept any number of sessions on one address.

    The dialling side chooses the session identifier and sends it in its first
    frame; it identifies the link as well.
    """

    def __init__(
        self,
        address: str,
        handler: LinkHandler,
        revision: Callable[[], int],
        timing: LinkTiming = FAST_TIMING,
        outbox: Outbox | None = None,
    ) -> None:
        """Prepare to listen on `ip:port`."""
        self._outbox = outbox
        self._address = address
        self._handler = handler
        self._revision = revision
        self._timing = timing
        self._sessions: dict[str, Session] = {}
        self._pipes: dict[int, PipeSocket] = {}
        self._trio_token = trio.lowlevel.current_trio_token()

    def send(self, session_id: str, message: Message) -> bool:
        """Queue a message; return False if there is no such session."""
        session = self._sessions.get(session_id)
        return session is not None and session.send(message)

    def set_carries_work(self, session_id: str, *, carries_work: bool) -> None:
        """Record whether a session carries work."""
        session = self._sessions.get(session_id)
        if session is not None:
            session.set_carries_work(carries_work=carries_work)

    def close(self, session_id: str, reason: str) -> None:
        """Close a session, if it is open."""
        session = self._sessions.get(session_id)
        if session is not None:
            session.close(reason)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve sessions until cancelled.

        The task status receives the bound address.
        """
        socket = pynng.Pair1(polyamorous=True)
        socket.recv_max_size = _MAX_FRAME_BYTES
        socket.recv_buffer_size = _RECEIVE_BUFFER_FRAMES
        socket.send_buffer_size = _SEND_BUFFER_FRAMES
        socket.tcp_nodelay = True
        socket.add_post_pipe_remove_cb(self._on_pipe_removed)
        with contextlib.closing(socket):
            listener = socket.listen(f'tcp://{self._address}')
            self._address = str(listener.local_address)
            task_status.started(self._address)
            async with anyio.create_task_group() as group:
                await self._receive_all(socket, group)

    async def _receive_all(self, socket: Any, group: TaskGroup) -> None:
        received = 0
        while True:
            try:
                message = socket.recv_msg(block=False)
            except pynng.TryAgain:
                await trio.lowlevel.wait_readable(socket.recv_fd)
                continue
            received += 1
            if received % _RECEIVES_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            if message.pipe is not None:
                self._route(socket, group, message)

    def _route(self, socket: Any, group: TaskGroup, message: Any) -> None:
        pipe_id = cast('int', message.pipe.id)
        pipe = self._pipes.get(pipe_id)
        content = cast('bytes', message.bytes)
        if pipe is None:
            decoded = codec.decode_frame(content)
            session_id = ''
            if isinstance(decoded, codec.Frame):
                session_id = decoded.session
            pipe = PipeSocket(socket, message.pipe)
            if not session_id or session_id in self._sessions:
                pipe.close()
                return
            self._pipes[pipe_id] = pipe
            group.start_soon(self._serve, pipe, pipe_id, session_id)
        pipe.put(content)

    async def _serve(
        self,
        pipe: PipeSocket,
        pipe_id: int,
        session_id: str,
    ) -> None:
        session = Session(
            pipe,
            SessionIds(session_id, session_id),
            self._handler,
            self._revision,
            self._timing,
            self._outbox,
            SendWindow(_MAX_UNTAKEN_FRAMES),
        )
        self._sessions[session_id] = session
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._pipes.pop, pipe_id, None)
            cleanup.callback(self._sessions.pop, session_id, None)
            await session.run()

    def _on_pipe_removed(self, pipe: Any) -> None:
        # Called in an NNG thread.
        with contextlib.suppress(trio.RunFinishedError):
            self._trio_token.run_sync_soon(self._mark_pipe_removed, pipe.id)

    def _mark_pipe_removed(self, pipe_id: int) -> None:
        pipe = self._pipes.get(pipe_id)
        if pipe is not None:
            pipe.mark_disconnected()
