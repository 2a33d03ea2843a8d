"""Encode and decode the frames that are sent over links."""

from __future__ import annotations

from types import MappingProxyType
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import cast

import msgspec

from savoryrudder.protocol import delegation
from savoryrudder.protocol import evacuation
from savoryrudder.protocol import messages
from savoryrudder.protocol import relay
from savoryrudder.protocol import run_times
from savoryrudder.protocol import work

PROTOCOL_VERSION: Final = 1

# A message type keeps its tag for as long as any release uses this version.
_TYPE_BY_TAG: Final = MappingProxyType[int, type[Any]](
    {
        1: messages.Hello,
        2: messages.PeerHello,
        3: messages.Welcome,
        4: messages.Claim,
        5: messages.Records,
        6: messages.GrantCredits,
        7: messages.RecallCredits,
        8: messages.ReturnCredits,
        9: messages.Demand,
        10: messages.Start,
        11: messages.Rejected,
        12: messages.Finished,
        13: messages.Acknowledge,
        14: messages.Withdraw,
        15: messages.Withdrawn,
        16: messages.Heartbeat,
        17: messages.Leaving,
        18: messages.Roster,
        19: messages.RosterAcknowledged,
        20: messages.Promise,
        21: messages.Forward,
        22: messages.ForwardAnswer,
        23: messages.FetchConfig,
        24: messages.Config,
        25: messages.HandOver,
        26: work.EntryHello,
        27: work.AgentHello,
        28: work.ExecutorReport,
        29: work.RunningTasks,
        30: work.StartTask,
        31: work.StopTask,
        32: work.TaskEnded,
        33: work.EndsAcknowledged,
        34: work.JobsClaimed,
        35: work.JobsReleased,
        36: work.RelinquishJob,
        37: work.JobRelinquished,
        38: work.SlowRun,
        39: delegation.EntryLoad,
        40: delegation.DelegateJob,
        41: delegation.DelegatedAnswer,
        42: delegation.WithdrawJob,
        43: work.StartTasks,
        44: relay.FindEntries,
        45: relay.EntryReachable,
        46: relay.EntryUnreachable,
        47: relay.RelayedClaims,
        48: work.OrphanedJobs,
        49: evacuation.EvacuatedZones,
        51: run_times.RunTimesObserved,
    }
)
_TAG_BY_TYPE: Final = MappingProxyType(
    {message_type: tag for tag, message_type in _TYPE_BY_TAG.items()},
)
# Approximate size of a start or a result without its payload.
_OVERHEAD_BYTES: Final = 128
_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(list)


class Frame(NamedTuple):
    """Hold the messages that one event-loop turn sends on a session.

    The sender's next frame follows within `silence_ms`; 0 if it does not tell.
    It has `taken` a number of frames in this session, -1 if it does not count
    them, and may wait until its own frames have been taken, up to this one.
    """

    session: str
    sequence: int
    revision: int
    messages: tuple[messages.Message, ...]
    silence_ms: int = 0
    taken: int = -1
    wants_acknowledgement: bool = False


class FrameError(NamedTuple):
    """Report why a received frame cannot be decoded."""

    detail: str


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    body = [
        (_TAG_BY_TYPE[type(message)], message) for message in frame.messages
    ]
    return _encoder.encode(
        (
            PROTOCOL_VERSION,
            frame.session,
            frame.sequence,
            frame.revision,
            body,
            frame.silence_ms,
            frame.taken,
            frame.wants_acknowledgement,
        ),
    )


def estimate_message_size(message: messages.Message) -> int:
    """Return the approximate size of a message in a frame, in bytes.

    The frequent types are estimated without encoding them.
    """
    if isinstance(message, messages.Start):
        return _OVERHEAD_BYTES + len(message.payload) + len(message.trace)
    if isinstance(message, messages.Finished):
        return _OVERHEAD_BYTES + len(message.record.result)
    if isinstance(message, work.StartTask):
        return _OVERHEAD_BYTES + len(message.spec)
    if isinstance(message, work.StartTasks):
        return _OVERHEAD_BYTES * len(message.tasks) + len(message.spec)
    if isinstance(message, delegation.DelegateJob):
        return _OVERHEAD_BYTES + len(message.job.spec)
    return len(_encoder.encode(message))


def decode_frame(raw: bytes) -> Frame | FrameError:
    """Decode a frame; unknown message types and extra fields are skipped."""
    try:
        version, *fields = _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return FrameError(f'malformed frame: {error}')
    if version != PROTOCOL_VERSION:
        return FrameError(
            f'protocol version {version} is not supported; '
            f'this process speaks version {PROTOCOL_VERSION}',
        )
    try:
        return _decode_fields(fields)
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        return FrameError(f'malformed message: {error}')


def _decode_fields(fields: list[Any]) -> Frame:
    session, sequence, revision, body = fields[:4]
    if not isinstance(session, str):
        raise TypeError('the session is not a text')
    decoded = tuple(
        _decode_message(_TYPE_BY_TAG[tag], body_fields)
        for tag, body_fields in body
        if tag in _TYPE_BY_TAG
    )
    return Frame(session, sequence, revision, decoded, *fields[4:7])


def _decode_message(
    message_type: type[Any],
    fields: list[Any],
) -> messages.Message:
    known_fields = fields[: len(message_type._fields)]
    return cast('messages.Message', msgspec.convert(known_fields, message_type))
