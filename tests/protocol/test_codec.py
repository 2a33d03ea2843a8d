"""Test the encoding and decoding of frames."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import messages
from savoryrudder.protocol import work
from savoryrudder.protocol.codec import Frame
from savoryrudder.protocol.codec import FrameError
from savoryrudder.protocol.codec import decode_frame
from savoryrudder.protocol.codec import encode_frame
from savoryrudder.protocol.evacuation import EvacuatedZones

RUN_IDS = (work.RunId('j.0.0.0', 1, 7), work.RunId('k.0.0.0', 2, 8))
RESOURCES = Resources(1000, 64, 0)
RUN_MESSAGES = (
    work.StartTask(1, 'j.0.0.0', 1, 's', RESOURCES, 200, False, 7),
    work.StartTasks(1, (('j.0.0.0', 1),), 's', RESOURCES, 200, False, 7),
    work.StopTask('j.0.0.0', 1, 7),
    work.TaskEnded('j.0.0.0', 1, 'done', '', 10, 7),
    work.SlowRun('j.0.0.0', 1, 3.5, -1, 7),
    work.RunningTasks.of(RUN_IDS),
    work.EndsAcknowledged.of(RUN_IDS),
)


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


def test_messages_about_runs_keep_their_identities() -> None:
    """Guard against a run that takes the identity of another in transit."""
    frame = Frame('s1', 1, 0, RUN_MESSAGES)
    decoded = decode_frame(encode_frame(frame))
    assert decoded == frame
    assert {message.run_ids for message in RUN_MESSAGES[-2:]} == {RUN_IDS}


@pytest.mark.parametrize('message', RUN_MESSAGES)
def test_messages_about_runs_of_an_earlier_release_are_understood(
    message: Any,
) -> None:
    """Guard against releases that cannot run beside each other.

    The number of the job is the last field, and earlier releases lack it.
    """
    encoded = encode_frame(Frame('s1', 1, 0, (message,)))
    parts = msgspec.msgpack.decode(encoded)
    tag, fields = parts[4][0]
    parts[4] = [(tag, fields[:-1])]
    decoded = decode_frame(msgspec.msgpack.encode(parts))
    assert isinstance(decoded, Frame)
    received = decoded.messages[0]
    assert tuple(received[:-1]) == tuple(message[:-1])
    assert received[-1] in {work.NO_JOB_NUMBER, ()}


def test_evacuated_zones_keep_their_revision() -> None:
    """Guard against zones that are lost, or out of order, in transit."""
    told = EvacuatedZones(2**40, ('zone-a', 'zone-b'))
    frame = Frame('s1', 1, 0, (told,))
    assert decode_frame(encode_frame(frame)) == frame


def test_a_report_of_an_earlier_release_is_of_a_warm_executor() -> None:
    """Guard against releases that cannot run beside each other."""
    report = work.ExecutorReport(
        'x1', 's', (), RESOURCES, RESOURCES, accepting=True, starts_seen=1
    )
    encoded = encode_frame(Frame('s1', 1, 0, (report,)))
    parts = msgspec.msgpack.decode(encoded)
    tag, fields = parts[4][0]
    parts[4] = [(tag, fields[:-3])]
    decoded = decode_frame(msgspec.msgpack.encode(parts))
    assert isinstance(decoded, Frame)
    assert decoded.messages == (report,)


def test_a_list_of_runs_without_job_numbers_is_complete() -> None:
    """Guard against runs that are left out of a list of an earlier release."""
    listed = work.RunningTasks((('j.0.0.0', 1),))
    assert listed.run_ids == (work.RunId('j.0.0.0', 1, work.NO_JOB_NUMBER),)
