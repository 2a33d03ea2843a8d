"""Decode what arrives from outside the process into checked types."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Final
from typing import Protocol
from typing import TypeAlias
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok
from expression import Result

# Integers that a 64-bit float holds exactly, as JSON numbers are floats to
# some writers; sums and products with durations stay far from its limits.
MAX_INTEGER: Final = 2**53

Natural: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

DecodedT = TypeVar('DecodedT', covariant=True)

# Deep nesting exceeds the limit of recursion. A text may be no UTF-8, and hold
# an integer that is too long to convert.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    RecursionError,
    UnicodeDecodeError,
    ValueError,
)


class Decoder(Protocol[DecodedT]):
    """Decode an encoded message; a decoder of msgspec."""

    def decode(self, content: Any, /) -> DecodedT:
        """Return the message; raises `DECODE_ERRORS`."""


def decode(
    decoder: Decoder[DecodedT],
    content: str | bytes,
) -> Result[DecodedT, str]:
    """Decode a message; an error says what is invalid."""
    try:
        return Ok(decoder.decode(content))
    except DECODE_ERRORS as error:
        return Error(str(error))
