"""Play a crowd of clients that send what no ordinary client sends."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from itertools import repeat
from typing import Final
from typing import NamedTuple

import trio

# A client that cannot send for so long waits for the others.
_STUCK_S: Final = 1.5
# Small, so that little of the server's responses lies in the kernel.
_SEGMENT_BYTES: Final = 536
_RECEIVE_BUFFER_BYTES: Final = 4096
_PIECE_BYTES: Final = 16_384
_TRICKLED_BYTES: Final = 20
_BODY_OF_TRICKLE_BYTES: Final = 1000
_TRICKLE_PAUSE_S: Final = 0.1
_PIPELINED_REQUESTS: Final = 400
# So that a server receives fewer at once than it may refuse.
_PADDING_BYTES: Final = 5000
# Below 1 MiB, at which a server without further limits ends a request.
_LONG_BYTES: Final = 1_000_000
_HEAD_BYTES: Final = 100_000
_TINY_CHUNK: Final = b'1\r\n \r\n'
_STEPS: Final = 10_000
_HEADERS: Final = 3900
_COSTLY_REQUESTS: Final = 10
_ANNOUNCED_BYTES: Final = 4_000_000_000
# Ends just before the whole of what was announced.
_SHORT_BYTES: Final = 10


class Address(NamedTuple):
    """Hold where a crowd connects to, and the start line of its requests."""

    host: str
    port: int
    start_line: bytes
    # A path with a response, for clients that do not read it.
    read_line: bytes


class Plan(NamedTuple):
    """Hold what each client of a crowd sends.

    All of them send `first`, then all send `last`, and stay connected.
    """

    first: Callable[[Address], Iterator[bytes]]
    last: bytes = b''
    pause_s: float = 0


def repeat_part(part: bytes, size: int) -> Iterator[bytes]:
    """Yield a part again and again, of `size` bytes in all, in pieces."""
    piece = part * (_PIECE_BYTES // len(part))
    count, rest = divmod(size, len(piece))
    yield from repeat(piece, count)
    if rest:
        yield piece[:rest]


def _head(address: Address, *headers: bytes) -> bytes:
    return b'\r\n'.join((address.start_line, b'host: queue.example', *headers))


def _announce(address: Address, length: int) -> bytes:
    return _head(address, b'content-length: %d\r\n\r\n' % length)


def _body_pieces(length: int, sent: int, address: Address) -> Iterator[bytes]:
    yield _announce(address, length)
    yield from repeat_part(b' ', sent)


def _chunk_pieces(sent: int, address: Address) -> Iterator[bytes]:
    yield _head(address, b'transfer-encoding: chunked\r\n\r\n')
    for piece in repeat_part(b' ', sent):
        yield b'%x\r\n%s\r\n' % (len(piece), piece)


def _head_pieces(size: int, address: Address) -> Iterator[bytes]:
    yield _head(address, b'')
    yield from repeat_part(b'a:b\r\n', size)


def _trickled_pieces(address: Address) -> Iterator[bytes]:
    yield _announce(address, _BODY_OF_TRICKLE_BYTES)
    yield from repeat(b' ', _TRICKLED_BYTES)


def _request_pieces(address: Address) -> Iterator[bytes]:
    padding = b'x: %s\r\n' % (b'y' * _PADDING_BYTES)
    lines = (address.read_line, b'host: queue.example', padding, b'')
    yield from repeat(b'\r\n'.join(lines), _PIPELINED_REQUESTS)


def _tiny_chunk_pieces(limit: int, address: Address) -> Iterator[bytes]:
    yield _head(address, b'transfer-encoding: chunked\r\n\r\n')
    yield from repeat_part(_TINY_CHUNK, limit * len(_TINY_CHUNK))


def _many_step_pieces(address: Address) -> Iterator[bytes]:
    steps = b','.join(repeat(b'{"count":1}', _STEPS))
    body = b'{"spec":"s","best_effort":true,"steps":[%s]}' % steps
    yield from repeat(_announce(address, len(body)) + body, _COSTLY_REQUESTS)


def _many_header_pieces(address: Address) -> Iterator[bytes]:
    headers = b''.join(repeat(b'a:b\r\n', _HEADERS))
    request = _head(address, b'content-length: 0\r\n%s\r\n' % headers)
    yield from repeat(request, _COSTLY_REQUESTS)


def head_without_end() -> Plan:
    """Send short headers and no end of the head."""
    return Plan(partial(_head_pieces, _LONG_BYTES))


def head_over_limit() -> Plan:
    """Send a whole head of many short headers."""
    return Plan(partial(_head_pieces, _HEAD_BYTES), b'\r\n')


def empty_lines() -> Plan:
    """Send empty lines and no request after them."""
    return Plan(lambda _: repeat_part(b'\r\n', _LONG_BYTES))


def body_without_end(limit: int) -> Plan:
    """Send a legal body but for its last bytes."""
    return Plan(partial(_body_pieces, limit, limit - _SHORT_BYTES))


def chunks_without_end(limit: int) -> Plan:
    """Send a legal body in chunks, and no last chunk."""
    return Plan(partial(_chunk_pieces, limit - _SHORT_BYTES))


def whole_body(limit: int) -> Plan:
    """Send a legal body whose end all send together."""
    return Plan(partial(_body_pieces, limit, limit - 1), b' ')


def whole_chunks(limit: int) -> Plan:
    """Send a legal body in chunks, whose end all send together."""
    return Plan(partial(_chunk_pieces, limit), b'0\r\n\r\n')


def announced_over_limit(sent: int) -> Plan:
    """Announce a body of 4 GB and send a part of it."""
    return Plan(partial(_body_pieces, _ANNOUNCED_BYTES, sent))


def sent_over_limit(sent: int) -> Plan:
    """Send a body in chunks that is over the limit, and no end."""
    return Plan(partial(_chunk_pieces, sent))


def body_at_once(size: int) -> Plan:
    """Announce a body and send it with its head as a single piece."""
    return Plan(lambda address: iter((_announce(address, size) + b' ' * size,)))


def head_at_once() -> Plan:
    """Send a head that is far over the limit as a single piece."""
    return Plan(
        lambda address: iter((b''.join(_head_pieces(_LONG_BYTES, address)),)),
    )


def tiny_chunks(limit: int) -> Plan:
    """Send a legal body in chunks of one byte, and its end."""
    return Plan(partial(_tiny_chunk_pieces, limit), b'0\r\n\r\n')


def many_steps() -> Plan:
    """Send jobs of many steps, one after the other, and read no response."""
    return Plan(_many_step_pieces)


def many_headers() -> Plan:
    """Send legal requests of many headers, and read no response."""
    return Plan(_many_header_pieces)


def trickle() -> Plan:
    """Send the bytes of a body one by one."""
    return Plan(_trickled_pieces, pause_s=_TRICKLE_PAUSE_S)


def never_read() -> Plan:
    """Send many requests and read no response."""
    return Plan(_request_pieces)


def idle() -> Plan:
    """Send nothing."""
    return Plan(lambda _: iter(()))


class Crowd:
    """Connect clients that do not read, and let them send their parts."""

    def __init__(self, address: Address, plan: Plan, size: int) -> None:
        """Prepare a crowd of `size` clients."""
        self._address = address
        self._plan = plan
        self._sockets: list[trio.socket.SocketType] = []
        self._size = size

    async def send(self) -> None:
        """Return once all clients have sent all, are stuck or cut off."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._size):
                nursery.start_soon(self._send_first)
        async with trio.open_nursery() as nursery:
            for connected in self._sockets:
                nursery.start_soon(self._send_piece, connected, self._plan.last)

    def close(self) -> None:
        """Close all connections."""
        for connected in self._sockets:
            connected.close()

    async def _send_first(self) -> None:
        client = trio.socket.socket()
        client.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_MAXSEG,
            _SEGMENT_BYTES,
        )
        client.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        self._sockets.append(client)
        if await _within_limit(partial(client.connect, self._address[:2])):
            await self._send_pieces(client)

    async def _send_pieces(self, client: trio.socket.SocketType) -> None:
        unsent = deque(self._plan.first(self._address))
        while unsent and await self._send_piece(client, unsent.popleft()):
            await trio.sleep(self._plan.pause_s)

    async def _send_piece(
        self,
        client: trio.socket.SocketType,
        piece: bytes,
    ) -> bool:
        return await _within_limit(partial(_send_all, client, piece))


async def _send_all(client: trio.socket.SocketType, piece: bytes) -> None:
    unsent = memoryview(piece)
    while unsent:
        unsent = unsent[await client.send(unsent) :]


async def _within_limit(call: Callable[[], Awaitable[object]]) -> bool:
    """Return whether a call on a socket ended in time and without error."""
    try:
        with trio.fail_after(_STUCK_S):
            await call()
    except (OSError, trio.TooSlowError):
        return False
    return True
