"""Define how a registered entry is described in the store."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.utils.addresses import parse_dial_address
from savoryrudder.utils.checked import decode


class Member(NamedTuple):
    """Describe a registered entry; `address` is where it accepts links."""

    name: str
    address: str
    zone: str


_decoder: Final = msgspec.json.Decoder(Member)


def encode_member(member: Member) -> str:
    """Encode an entry as JSON."""
    return msgspec.json.encode(member).decode()


def decode_member(content: str) -> Result[Member, str]:
    """Decode an entry, or say why it is unreadable."""
    return decode(_decoder, content).bind(_check)


def _check(member: Member) -> Result[Member, str]:
    try:
        parse_dial_address(member.address)
    except ValueError as error:
        return Error(f'address: {error}')
    return Ok(member)
