"""Define why a request is refused before an application gets it."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


class RequestRefusal(NamedTuple):
    """Tell why a request is refused; `cause` names its counter."""

    status: int
    reason: str
    cause: str
    retry_after_s: int = 0


HEAD_TOO_LARGE: Final = RequestRefusal(
    431,
    'the head of the request is too large',
    'large_heads',
)
PADDING_TOO_LARGE: Final = RequestRefusal(
    400,
    'too many bytes that belong to no request',
    'padding',
)
BODY_TOO_LARGE: Final = RequestRefusal(
    413,
    'the body is too large',
    'large_bodies',
)
TOO_MANY_PIPELINED: Final = RequestRefusal(
    429,
    'too many requests at once',
    'pipelined',
    retry_after_s=1,
)
TOO_SLOW: Final = RequestRefusal(
    408,
    'the request did not arrive in time',
    'slow',
)
NO_MEMORY: Final = RequestRefusal(
    503,
    'too many bytes of unfinished requests',
    'memory',
    retry_after_s=1,
)
NO_CONNECTION: Final = RequestRefusal(
    503,
    'too many connections',
    'connections',
    retry_after_s=1,
)
