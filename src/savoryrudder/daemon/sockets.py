"""Adapt non-blocking pynng sockets to the event loop."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import cast

import pynng
import trio

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
_BUFFERED_FRAMES: Final = 4
# NNG always redials a broken connection, but a session has to end with its
# connection: the delay outlasts the lifetime of the socket.
_NO_REDIAL_MS: Final = 3_600_000
# Keeps a peer that sends continuously from starving other tasks.
_RECEIVES_PER_CHECKPOINT: Final = 16


class MessageSocket:
    """Send and receive whole messages on one pynng socket.

    Polls the file descriptors of the socket, because the asynchronous calls
    of pynng leak the message when a send is cancelled or fails.
    """

    def __init__(self, socket: Any) -> None:
        """Take ownership of a socket, which `close` releases."""
        self._socket = socket
        self._dialer: Any = None
        self._socket.recv_max_size = _MAX_FRAME_BYTES
        self._socket.recv_buffer_size = _BUFFERED_FRAMES
        self._socket.send_buffer_size = _BUFFERED_FRAMES
        self._socket.tcp_nodelay = True
        self._received = 0

    @functools.cached_property
    def _receive_fd(self) -> int:
        return cast('int', self._socket.recv_fd)

    @functools.cached_property
    def _send_fd(self) -> int:
        return cast('int', self._socket.send_fd)

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        self._received += 1
        if self._received % _RECEIVES_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
        while True:
            with contextlib.suppress(pynng.TryAgain):
                return cast('bytes', self._socket.recv(block=False))
            await trio.lowlevel.wait_readable(self._receive_fd)

    async def pass_frames(self, handle: Callable[[bytes], None]) -> None:
        """Pass each received message to a function, until cancelled."""
        while True:
            handle(await self.receive())

    def try_send(self, content: bytes) -> bool:
        """Send a message; return False if the send buffer is full."""
        try:
            self._socket.send(content, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def send(self, content: bytes) -> None:
        """Send a message, waiting for room in the send buffer."""
        while not self.try_send(content):
            await trio.lowlevel.wait_readable(self._send_fd)

    def dial(self, address: str, *, redial_ms: tuple[int, int]) -> None:
        """Dial `ip:port` in the background; `redial_ms` bounds the delays."""
        min_ms, max_ms = redial_ms
        self._socket.reconnect_time_min = min_ms
        self._socket.reconnect_time_max = max_ms
        self._dialer = self._socket.dial(f'tcp://{address}', block=False)

    def listen(self, address: str) -> str:
        """Listen on `ip:port` and return the bound address."""
        listener = self._socket.listen(f'tcp://{address}')
        return str(listener.local_address)

    def close(self) -> None:
        """Close the socket; no task may be waiting on it."""
        self._socket.close()


class PairSocket(MessageSocket):
    """Send and receive on a pair socket that accepts one connection."""

    def __init__(self, socket: Any = None) -> None:
        """Wrap an unconnected socket, by default a new Pair0."""
        super().__init__(pynng.Pair0() if socket is None else socket)
        self._connected = trio.Event()
        self._disconnected = trio.Event()
        self._has_pipe = False
        self._trio_token = trio.lowlevel.current_trio_token()
        self._socket.add_pre_pipe_connect_cb(self._accept_first_pipe)
        self._socket.add_post_pipe_connect_cb(self._on_pipe_connected)
        self._socket.add_post_pipe_remove_cb(self._on_pipe_removed)

    async def wait_connected(self) -> None:
        """Wait until the connection is open; it is not redialled then."""
        await self._connected.wait()
        if self._dialer is not None:
            self._dialer.reconnect_time_min = _NO_REDIAL_MS
            self._dialer.reconnect_time_max = _NO_REDIAL_MS

    async def wait_disconnected(self) -> None:
        """Wait until the connection is closed or lost."""
        await self._disconnected.wait()

    def dial_once(
        self,
        address: str,
        *,
        redial_ms: tuple[int, int] = (_NO_REDIAL_MS, _NO_REDIAL_MS),
    ) -> None:
        """Dial `ip:port` for one connection, which is not redialled if lost.

        `redial_ms` bounds the delays between attempts while nobody listens.
        """
        self.dial(address, redial_ms=redial_ms)

    def _accept_first_pipe(self, pipe: Any) -> None:
        # Called in an NNG thread that holds the lock of the socket.
        if self._has_pipe:
            pipe.close()
        self._has_pipe = True

    def _on_pipe_connected(self, pipe: Any) -> None:
        self._set_in_event_loop(self._connected)

    def _on_pipe_removed(self, pipe: Any) -> None:
        self._set_in_event_loop(self._disconnected)

    def _set_in_event_loop(self, event: trio.Event) -> None:
        with contextlib.suppress(trio.RunFinishedError):
            self._trio_token.run_sync_soon(event.set)
