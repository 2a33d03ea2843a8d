"""Define the limits of requests, and the time that a client has for one."""

from __future__ import annotations

import enum
from typing import Final
from typing import NamedTuple

# What a header takes in memory beside its bytes.
HEADER_OVERHEAD_BYTES: Final = 256


class Stage(enum.Enum):
    """Tell which part of a request a connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()


class RequestLimits(NamedTuple):
    """Hold the limits of one request; a client over them is refused."""

    # The start line counts, too.
    max_head_bytes: int = 20_480
    max_headers: int = 4096
    # Before the request and, beside chunks, within the body.
    max_padding_bytes: int = 16_384
    max_body_bytes: int = 262_144
    # A connection without a request is closed after this time.
    idle_s: float = 60
    head_s: float = 10
    # A body may pause this long in all beside the time at its lowest rate.
    body_pause_s: float = 15
    min_body_bytes_per_s: int = 4096
    body_s: float = 90
    write_s: float = 20

    def receive_s(self, stage: Stage, body_bytes: int) -> float:
        """Return the time for a stage, of which so much was received."""
        if stage == Stage.IDLE:
            return self.idle_s
        if stage == Stage.HEAD:
            return self.head_s
        earned_s = body_bytes / self.min_body_bytes_per_s
        return min(self.body_pause_s + earned_s, self.body_s)


DEFAULT_LIMITS: Final = RequestLimits()
