"""Test the encoding and decoding of frames."""

from __future__ import annotations

import msgspec

from savoryrudder.protocol import messages
from savoryrudder.protocol.codec import Frame
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
    assert decode_frame(encode_frame(frame)).ok == frame


def test_unknown_types_and_extra_fields_are_skipped() -> None:
    """Guard against messages of a newer peer that break an older one."""
    raw = msgspec.msgpack.encode(
        (1, 's1', 1, 0, [(6, [3, 'new field']), (999, [1])], 'new part'),
    )
    assert decode_frame(raw).ok.messages == (messages.GrantCredits(3),)


def test_the_error_names_an_unknown_version() -> None:
    """Guard against decoding a frame of another protocol version."""
    raw = msgspec.msgpack.encode((2, 's1', 1, 0, []))
    assert 'version 2' in decode_frame(raw).error.detail
