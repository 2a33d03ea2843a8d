"""Adapt non-blocking pynng sockets to the event loop."""

from __future__ import annotations

import contextlib
import functools
from typing import Any
from typing import Final
from typing import cast

import anyio
import pynng
import trio
from anyio.lowlevel import checkpoint

_MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
_BUFFERED_FRAMES: Final = 4
# NNG redials a broken connection by itself; a session has to end with its
# connection, so the redial is put off beyond the life of the socket.
_NO_REDIAL_MS: Final = 3_600_000
# A peer that sends without pause must not keep other tasks from running.
_RECEIVES_PER_TURN: Final = 16


class MessageSocket:
    """Send and receive whole messages on one pynng socket.

    The pollable descriptors are used instead of the asynchronous calls of
    pynng, which leak the message when a send is cancelled or fails.
    """

    def __init__(self, socket: Any) -> None:
        """Take over a socket; `close` has to be called at the end."""
        self._socket = socket
        self._socket.recv_max_size = _MAX_FRAME_BYTES
        self._socket.recv_buffer_size = _BUFFERED_FRAMES
        self._socket.send_buffer_size = _BUFFERED_FRAMES
        self._socket.tcp_nodelay = True
        self._received = 0

    @functools.cached_property
    def _receivable(self) -> int:
        return cast('int', self._socket.recv_fd)

    @functools.cached_property
    def _sendable(self) -> int:
        return cast('int', self._socket.send_fd)

    async def receive(self) -> bytes:
        """Return the next message."""
        self._received += 1
        if self._received % _RECEIVES_PER_TURN == 0:
            await checkpoint()
        while True:
            with contextlib.suppress(pynng.TryAgain):
                return cast('bytes', self._socket.recv(block=False))
            await anyio.wait_readable(self._receivable)

    def send_now(self, content: bytes) -> bool:
        """Send a message if the socket has room for it."""
        try:
            self._socket.send(content, block=False)
        except pynng.TryAgain:
            return False
        return True

    async def send(self, content: bytes) -> None:
        """Send a message as soon as the socket has room for it."""
        while not self.send_now(content):
            await anyio.wait_readable(self._sendable)

    def dial(self, address: str, *, redial_ms: tuple[int, int]) -> None:
        """Start to dial `ip:port` in the background."""
        shortest, longest = redial_ms
        self._socket.reconnect_time_min = shortest
        self._socket.reconnect_time_max = longest
        self._socket.dial(f'tcp://{address}', block=False)

    def listen(self, address: str) -> str:
        """Listen at `ip:port` and return the bound address."""
        listener = self._socket.listen(f'tcp://{address}')
        return str(listener.local_address)

    def close(self) -> None:
        """Close the socket; no task may still be waiting on it."""
        self._socket.close()


class PairSocket(MessageSocket):
    """Send and receive on a pair socket bound to its first connection."""

    def __init__(self, socket: Any = None) -> None:
        """Open a socket that is not connected yet, by default a Pair0."""
        super().__init__(pynng.Pair0() if socket is None else socket)
        self._attached = anyio.Event()
        self._removed = anyio.Event()
        self._taken = False
        self._token = trio.lowlevel.current_trio_token()
        self._socket.add_pre_pipe_connect_cb(self._admit)
        self._socket.add_post_pipe_connect_cb(self._note_attached)
        self._socket.add_post_pipe_remove_cb(self._note_removed)

    async def wait_attached(self) -> None:
        """Wait until the connection is open."""
        await self._attached.wait()

    async def wait_removed(self) -> None:
        """Wait until the connection is gone."""
        await self._removed.wait()

    def dial_once(self, address: str) -> None:
        """Dial `ip:port` without a later redial."""
        self.dial(address, redial_ms=(_NO_REDIAL_MS, _NO_REDIAL_MS))

    def _admit(self, pipe: Any) -> None:
        # Runs in a thread of NNG that holds the lock of the socket.
        if self._taken:
            pipe.close()
        self._taken = True

    def _note_attached(self, pipe: Any) -> None:
        self._run_in_loop(self._attached)

    def _note_removed(self, pipe: Any) -> None:
        self._run_in_loop(self._removed)

    def _run_in_loop(self, event: anyio.Event) -> None:
        with contextlib.suppress(trio.RunFinishedError):
            self._token.run_sync_soon(event.set)
