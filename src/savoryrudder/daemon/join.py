"""Encode and decode the join requests that open sessions."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.protocol.codec import PROTOCOL_VERSION

_encoder: Final = msgspec.msgpack.Encoder()


class JoinRequest(NamedTuple):
    """Request a session; `kind` is `agent` or `entry`."""

    version: int
    peer: str
    kind: str


class JoinAnswer(NamedTuple):
    """Answer a join request.

    Grants a session at `address`, unless `refusal` gives the reason why not.
    `listener` is the peer id of the answering process.
    """

    version: int
    listener: str
    session: str
    address: str
    refusal: str


_request_decoder: Final = msgspec.msgpack.Decoder(JoinRequest)
_answer_decoder: Final = msgspec.msgpack.Decoder(JoinAnswer)


def encode_join(message: JoinRequest | JoinAnswer) -> bytes:
    """Encode a join request or its answer as MessagePack."""
    return _encoder.encode(message)


def decode_request(encoded: bytes) -> Result[JoinRequest, str]:
    """Decode a join request; another protocol version is an error."""
    try:
        request = _request_decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(f'malformed join request: {error}')
    if request.version != PROTOCOL_VERSION:
        return Error(_version_error(request.version))
    if not request.peer:
        return Error('join request without a peer id')
    return Ok(request)


def decode_answer(encoded: bytes) -> Result[JoinAnswer, str]:
    """Decode the answer to a join request; a refusal is an error."""
    try:
        answer = _answer_decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(f'malformed join answer: {error}')
    if answer.refusal:
        return Error(f'join refused: {answer.refusal}')
    if answer.version != PROTOCOL_VERSION:
        return Error(_version_error(answer.version))
    return Ok(answer)


def _version_error(version: int) -> str:
    return (
        f'protocol version {version} is not supported; '
        f'this process speaks version {PROTOCOL_VERSION}'
    )
