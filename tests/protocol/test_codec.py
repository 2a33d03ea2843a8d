"""Test the encoding and decoding of frames."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.protocol import messages
from savoryrudder.protocol.codec import Frame
from savoryrudder.protocol.codec import FrameError
from savoryrudder.protocol.codec import decode_frame
from savoryrudder.protocol.codec import encode_frame


def test_a_frame_is_decoded_as_it_was_encoded() -> None:
    """Guard against fields that change type or order in transit."""
    frame = Frame(
        's1',
        7,
        3,
        (
            messages.Heartbeat(),
            messages.Claim(1, ((0, 4), (5, 2))),
            messages.Start(b'x' * 16, 0, 1, 4, 'cut', b'{}', 500, False, ''),
        ),
    )
    assert decode_frame(encode_frame(frame)) == frame


def test_unknown_types_and_extra_fields_are_skipped() -> None:
    """Guard against messages of a newer peer that break an older one."""
    raw = msgspec.msgpack.encode(
        (1, 's1', 1, 0, [(6, [3, 'new field']), (999, [1])], 'new part'),
    )
    decoded = decode_frame(raw)
    assert isinstance(decoded, Frame)
    assert decoded.messages == (messages.GrantCredits(3),)


def test_the_error_names_an_unknown_version() -> None:
    """Guard against decoding a frame of another protocol version."""
    raw = msgspec.msgpack.encode((2, 's1', 1, 0, []))
    decoded = decode_frame(raw)
    assert isinstance(decoded, FrameError)
    assert 'version 2' in decoded.detail


_parts = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.binary(max_size=5)
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=20,
)
_bodies = st.lists(
    st.tuples(st.integers(0, 50), st.lists(_parts, max_size=10)),
    max_size=3,
)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_frame_or_an_error(raw: bytes) -> None:
    """Guard against bytes that end the process that receives them."""
    decode_frame(raw)


@given(_parts, _parts, _parts, _bodies | _parts, _parts)
def test_any_parts_are_a_frame_or_an_error(
    session: Any,
    sequence: Any,
    revision: Any,
    body: Any,
    silence: Any,
) -> None:
    """Guard against a frame of the right form with parts of other types."""
    raw = msgspec.msgpack.encode(
        (1, session, sequence, revision, body, silence),
    )
    decoded = decode_frame(raw)
    assert isinstance(decoded, FrameError) or isinstance(decoded.session, str)


def test_a_deeply_nested_frame_is_an_error() -> None:
    """Guard against a frame that exceeds the limit of recursion."""
    assert isinstance(decode_frame(b'\x91' * 100_000), FrameError)
