"""Define how a registered entry is described in the store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result


class Member(NamedTuple):
    """Describe a registered entry; `address` is where it accepts links."""

    name: str
    address: str
    zone: str


def encode_member(member: Member) -> str:
    """Encode an entry as JSON."""
    return msgspec.json.encode(member).decode()


def decode_member(content: str) -> Result[Member, str]:
    """Decode an entry, or say why it is unreadable."""
    try:
        return Ok(msgspec.json.decode(content, type=Member))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(str(error))
