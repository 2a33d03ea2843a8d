"""Stand in for the platform's balancer in front of the entries."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

_CHUNK_BYTES = 65_536


class Balancer:
    """Forward each new channel to the entry that is chosen for it."""

    def __init__(self, record: Callable[[str], None]) -> None:
        """Create a balancer that `start` starts."""
        self.address = ''
        self.target = ''
        self.resets_next_channel = False
        self._record = record
        self._channels: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Accept channels at an address."""
        self.address = address
        host, _, port = address.rpartition(':')
        await asyncio.start_server(self._forward, host, int(port))

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.resets_next_channel:
            self.resets_next_channel = False
            self._record('the next channel is reset')
            _reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            _copy(reader, upstream_writer),
            _copy(upstream_reader, writer),
        )


async def _copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(ConnectionError):
        while received := await reader.read(_CHUNK_BYTES):
            writer.write(received)
            await writer.drain()
    writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    # A close with a linger time of 0 sends a reset.
    connection = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
