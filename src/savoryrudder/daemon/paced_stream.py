"""Read from the connections of a listener so that all get their turn.

What is received is parsed at once, and a few bytes of legal framing may cost
much to parse. Connections that send no more than small requests are read
whenever they have something; the others share one read at a time, so that small
requests, links and leases go on between two of their pieces.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

# Received at most at once, and by a connection that shares a turn.
READ_BYTES: Final = 16_384
_PIECE_BYTES: Final = 4096


class SmallRequestAllowance:
    """Tell by a leaky bucket whether a connection sends small requests only.

    A bucket that has run over counts as full until it is empty.
    """

    _BURST_BYTES: Final = 16_384
    # Low: the buckets of a crowd that is read in turns must not get empty.
    _BYTES_PER_S: Final = 1024

    def __init__(self, now: float) -> None:
        """Begin with an empty bucket."""
        self._filled_bytes = float(0)
        self._updated_at = now
        self._is_full = False

    def is_spent(self, now: float) -> bool:
        """Return whether the connection has sent more than it allows."""
        self._leak(now)
        return self._is_full

    def spend(self, size: int, now: float) -> None:
        """Note that so many bytes were received."""
        self._leak(now)
        self._filled_bytes += size
        self._is_full = self._is_full or self._filled_bytes >= self._BURST_BYTES

    def _leak(self, now: float) -> None:
        leaked = (now - self._updated_at) * self._BYTES_PER_S
        self._filled_bytes = max(self._filled_bytes - leaked, 0)
        self._updated_at = now
        if not self._filled_bytes:
            self._is_full = False


class PacedStream(trio.abc.HalfCloseableStream):
    """Receive from a connection; wait for a turn once it sends much."""

    def __init__(self, stream: trio.SocketStream, turn: trio.Lock) -> None:
        """Take ownership of a stream; all of a listener share a `turn`."""
        self._stream = stream
        self._turn = turn
        self._allowance = SmallRequestAllowance(trio.current_time())
        self._on_received: Callable[[int], None] | None = None

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection."""
        return self._stream.socket

    def set_receive_callback(self, on_received: Callable[[int], None]) -> None:
        """Set a function to call with the size of each piece received."""
        self._on_received = on_received

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return what was received, at most 16 KiB; nothing at the end.

        Raises `trio.BrokenResourceError` and `trio.ClosedResourceError`.
        """
        limit = min(max_bytes or READ_BYTES, READ_BYTES)
        if self._allowance.is_spent(trio.current_time()):
            received = await self._receive_in_turn(min(limit, _PIECE_BYTES))
        else:
            received = await self._stream.receive_some(limit)
        self._allowance.spend(len(received), trio.current_time())
        if self._on_received is not None:
            self._on_received(len(received))
        return received

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all bytes."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until some bytes can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def _receive_in_turn(self, limit: int) -> bytes:
        # A connection that has nothing to read takes no turn.
        if self._stream.socket.fileno() < 0:
            # The event loop would take all closed sockets for the same one.
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(self._stream.socket)
        # The next one in turn is woken in the next round of the event loop,
        # after this one has parsed what it receives.
        async with self._turn:
            return bytes(await self._stream.receive_some(limit))
