"""Keep the links of one process through a single listening port."""

from __future__ import annotations

import contextlib
import random
import secrets
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import cast

import anyio
import pynng
import trio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from savoryrudder.daemon.session import LinkEvents
from savoryrudder.daemon.session import LinkTiming
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionName
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savoryrudder.protocol.messages import Message

FAST_TIMING: Final = LinkTiming(
    heartbeat_s=0.25,
    silent_intervals=3,
    join_timeout_s=1,
    backoff_min_s=0.1,
    backoff_max_s=0.5,
)

_SESSION_BYTES: Final = 6
_MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
# Frames that a connection holds while its peer does not read.
_BUFFERED_FRAMES: Final = 64
_RECEIVES_PER_TURN: Final = 16


class PipeSocket:
    """Send and receive on one connection of a shared listening socket."""

    def __init__(self, socket: Any, pipe: Any) -> None:
        """Take over a connection."""
        self._socket = socket
        self._pipe = pipe
        self._frames: deque[bytes] = deque()
        self._arrived = anyio.Event()
        self._removed = anyio.Event()

    def put(self, content: bytes) -> None:
        """Take a frame that the shared socket has received."""
        self._frames.append(content)
        self._arrived.set()

    def mark_removed(self) -> None:
        """Note the end of the connection."""
        self._removed.set()

    async def receive(self) -> bytes:
        """Return the next message."""
        while not self._frames:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        return self._frames.popleft()

    def send_now(self, content: bytes) -> bool:
        """Send a message if the socket has room for it."""
        message = pynng.Message(content, pipe=self._pipe)
        try:
            self._socket.send_msg(message, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def send(self, content: bytes) -> None:
        """Send a message as soon as the socket has room for it."""
        while not self.send_now(content):
            await anyio.wait_readable(self._socket.send_fd)

    async def wait_attached(self) -> None:
        """Return at once: the connection is open."""
        await checkpoint()

    async def wait_removed(self) -> None:
        """Wait until the connection is gone."""
        await self._removed.wait()

    def close(self) -> None:
        """Close the connection; the shared socket stays open."""
        with contextlib.suppress(pynng.NNGException):
            self._pipe.close()


class HubListener:
    """Accept any number of sessions at one address.

    The dialling side names the session in its first frame; a link has the
    name of its session.
    """

    def __init__(
        self,
        address: str,
        events: LinkEvents,
        revision: Callable[[], int],
        timing: LinkTiming = FAST_TIMING,
    ) -> None:
        """Prepare to listen at `ip:port`."""
        self._address = address
        self._events = events
        self._revision = revision
        self._timing = timing
        self._sessions: dict[str, Session] = {}
        self._pipes: dict[int, PipeSocket] = {}
        self._token = trio.lowlevel.current_trio_token()

    def send(self, link: str, message: Message) -> bool:
        """Queue a message; return False if there is no such session."""
        session = self._sessions.get(link)
        return session is not None and session.send(message)

    def close(self, link: str, reason: str) -> None:
        """End a session, if it is open."""
        session = self._sessions.get(link)
        if session is not None:
            session.close(reason)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve sessions until cancelled; reports the bound address."""
        socket = pynng.Pair1(polyamorous=True)
        socket.recv_max_size = _MAX_FRAME_BYTES
        socket.recv_buffer_size = _BUFFERED_FRAMES
        socket.send_buffer_size = _BUFFERED_FRAMES
        socket.tcp_nodelay = True
        socket.add_post_pipe_remove_cb(self._note_removed)
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
                await anyio.wait_readable(socket.recv_fd)
                continue
            received += 1
            if received % _RECEIVES_PER_TURN == 0:
                await checkpoint()
            if message.pipe is not None:
                self._deliver(socket, group, message)

    def _deliver(self, socket: Any, group: TaskGroup, message: Any) -> None:
        number = cast('int', message.pipe.id)
        pipe = self._pipes.get(number)
        content = cast('bytes', message.bytes)
        if pipe is None:
            decoded = codec.decode_frame(content)
            name = '' if decoded.is_error() else decoded.ok.session
            pipe = PipeSocket(socket, message.pipe)
            if not name or name in self._sessions:
                pipe.close()
                return
            self._pipes[number] = pipe
            group.start_soon(self._serve, pipe, number, name)
        pipe.put(content)

    async def _serve(self, pipe: PipeSocket, number: int, name: str) -> None:
        session = Session(
            pipe,
            SessionName(name, name),
            self._events,
            self._revision,
            self._timing,
        )
        self._sessions[name] = session
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._pipes.pop, number, None)
            cleanup.callback(self._sessions.pop, name, None)
            await session.run()

    def _note_removed(self, pipe: Any) -> None:
        # Runs in a thread of NNG.
        with contextlib.suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._mark_removed, pipe.id)

    def _mark_removed(self, number: int) -> None:
        pipe = self._pipes.get(number)
        if pipe is not None:
            pipe.mark_removed()


class HubDialler:
    """Keep one session with the process that listens at an address."""

    def __init__(
        self,
        address: str,
        events: LinkEvents,
        revision: Callable[[], int],
        timing: LinkTiming = FAST_TIMING,
        randomness: random.Random | None = None,
    ) -> None:
        """Prepare to dial `ip:port`; `randomness` spreads the retries."""
        self._address = address
        self._events = events
        self._revision = revision
        self._timing = timing
        self._random = randomness or random.Random()
        self._session: Session | None = None
        self._scope = anyio.CancelScope()

    @property
    def link(self) -> str:
        """Return the open session; empty if there is none."""
        session = self._session
        if session is None or not session.was_up:
            return ''
        return session.name.session

    def send(self, link: str, message: Message) -> bool:
        """Queue a message; return False if there is no such session."""
        session = self._session
        if session is None or session.name.session != link:
            return False
        return session.send(message)

    def close(self, link: str, reason: str) -> None:
        """End a session, if it is open; a new one is dialled."""
        session = self._session
        if session is not None and session.name.session == link:
            session.close(reason)

    def stop(self) -> None:
        """End the open session, if any, and do not dial again."""
        if self._session is not None:
            self._session.close('address is no longer dialled')
        self._scope.cancel()

    async def run(self) -> None:
        """Dial and serve sessions until stopped or cancelled."""
        with self._scope:
            while True:
                await self._attempt()
                await anyio.sleep(
                    self._random.uniform(
                        self._timing.backoff_min_s,
                        self._timing.backoff_max_s,
                    ),
                )

    async def _attempt(self) -> None:
        name = secrets.token_hex(_SESSION_BYTES)
        socket = PairSocket(pynng.Pair1())
        try:
            socket.dial_once(self._address)
        except pynng.NNGException:
            socket.close()
            return
        self._session = Session(
            socket,
            SessionName(name, name),
            self._events,
            self._revision,
            self._timing,
        )
        await self._session.run()
        self._session = None


class DialledLinks:
    """Keep sessions with the processes at a changing set of addresses."""

    def __init__(
        self,
        events: LinkEvents,
        revision: Callable[[], int],
    ) -> None:
        """Start without addresses."""
        self._events = events
        self._revision = revision
        self._diallers: dict[str, HubDialler] = {}

    def has(self, link: str) -> bool:
        """Tell whether this process dialled an open session."""
        return any(one.link == link for one in self._diallers.values())

    def follow(self, group: TaskGroup, addresses: Iterable[str]) -> None:
        """Dial these addresses, and no others that are not linked."""
        wanted = set(addresses)
        for former in tuple(self._diallers):
            dialler = self._diallers[former]
            # An open session outlives a registration that has lapsed.
            if former not in wanted and not dialler.link:
                dialler.stop()
                self._diallers.pop(former)
        for address in sorted(wanted - self._diallers.keys()):
            added = HubDialler(address, self._events, self._revision)
            self._diallers[address] = added
            group.start_soon(added.run)

    def send(self, link: str, message: Message) -> bool:
        """Queue a message; return False if there is no such session."""
        return any(
            dialler.send(link, message) for dialler in self._diallers.values()
        )

    def close(self, link: str, reason: str) -> None:
        """End a session, if it is open; a new one is dialled."""
        for dialler in self._diallers.values():
            dialler.close(link, reason)
