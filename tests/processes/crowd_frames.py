"""Plan what crowds send over HTTP/2, and to the port of links."""

from __future__ import annotations

from itertools import repeat
from typing import TYPE_CHECKING
from typing import Final

from tests.processes.crowd import Plan
from tests.processes.crowd import repeat_part

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.processes.crowd import Address

_PIECE_BYTES: Final = 16_384
_SENT_BYTES: Final = 1_000_000
_ODD_FRAMES: Final = 10
_HTTP2_PREFACE: Final = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
_HTTP2_LENGTH_BYTES: Final = 3
_HTTP2_STREAM_BYTES: Final = 4
_HTTP2_HEADERS: Final = 1
_HTTP2_SETTINGS: Final = 4
_HTTP2_PING: Final = 6
_HTTP2_CONTINUATION: Final = 9
# Of the protocol below the links: `Pair1`, version 0, and a length before each
# frame.
_LINK_GREETING: Final = b'\0SP\0\0\x11\0\0'
_LINK_LENGTH_BYTES: Final = 8
_LINK_FRAME_BYTES: Final = 60_000_000


def _http2_frame(kind: int, stream: int, payload: bytes) -> bytes:
    length = len(payload).to_bytes(_HTTP2_LENGTH_BYTES, 'big')
    number = stream.to_bytes(_HTTP2_STREAM_BYTES, 'big')
    # The flags, none, stand between the kind and the stream.
    return b''.join((length, bytes((kind, 0)), number, payload))


def _http2_start() -> bytes:
    return _HTTP2_PREFACE + _http2_frame(_HTTP2_SETTINGS, 0, b'')


def _http2_head_pieces(_: Address) -> Iterator[bytes]:
    yield _http2_start()
    yield _http2_frame(_HTTP2_HEADERS, 1, b'')
    # One field of a literal name and value, again and again.
    fields = b''.join(repeat(b'\x40\x01a\x01b', _PIECE_BYTES // 8))
    frame = _http2_frame(_HTTP2_CONTINUATION, 1, fields)
    yield from repeat(frame, _SENT_BYTES // len(frame))


def _http2_ping_pieces(_: Address) -> Iterator[bytes]:
    yield _http2_start()
    frame = _http2_frame(_HTTP2_PING, 0, bytes(8))
    yield from repeat_part(frame, _SENT_BYTES)


def _link_frame(length: int) -> bytes:
    return length.to_bytes(_LINK_LENGTH_BYTES, 'big')


def _link_frame_pieces(_: Address) -> Iterator[bytes]:
    yield _LINK_GREETING + _link_frame(_LINK_FRAME_BYTES)
    yield from repeat_part(b' ', _SENT_BYTES)


def _odd_link_frame_pieces(_: Address) -> Iterator[bytes]:
    yield _LINK_GREETING
    frame = _link_frame(_PIECE_BYTES) + bytes(_PIECE_BYTES)
    yield from repeat(frame, _ODD_FRAMES)


def http2_head_without_end() -> Plan:
    """Send continuations of a head over HTTP/2, and no end of it."""
    return Plan(_http2_head_pieces)


def http2_pings() -> Plan:
    """Send frames over HTTP/2 that belong to no request."""
    return Plan(_http2_ping_pieces)


def link_greeting() -> Plan:
    """Greet like a process that links, and send nothing more."""
    return Plan(lambda _: iter((_LINK_GREETING,)))


def link_frame_without_end() -> Plan:
    """Announce a large frame on a link and send a part of it."""
    return Plan(_link_frame_pieces)


def link_odd_frames() -> Plan:
    """Send whole frames on a link that nobody can decode."""
    return Plan(_odd_link_frame_pieces)
