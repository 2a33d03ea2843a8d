"""Bound the frames of a session that its peer has not taken.

A socket that is shared by many links drops a frame without an error if the
connection of its peer has no room. So its sessions send no more frames at a
time than a connection is sure to hold. Each frame tells how many frames its
sender has taken; the frame that closes the window asks for an answer.
"""

from __future__ import annotations

import math
from typing import Final

# What the frames of a peer say that does not count those it takes.
NOT_COUNTED: Final = -1


class SendWindow:
    """Track the frames that were sent and not taken; times in seconds."""

    def __init__(self, max_untaken: float = math.inf) -> None:
        """Initialize for a session that has sent nothing.

        By default, the socket itself tells when it has no room.
        """
        self._max_untaken = max_untaken
        self._sent = 0
        self._taken = 0
        self._closed_at = math.inf
        self._is_counted = True

    @property
    def is_open(self) -> bool:
        """Return whether another frame may be sent."""
        return self._closed_at == math.inf

    @property
    def closed_at(self) -> float:
        """Return since when no frame may be sent; infinity if one may be."""
        return self._closed_at

    @property
    def frames_sent(self) -> int:
        """Return the number of frames that were sent."""
        return self._sent

    def record_sent(self, now: float) -> None:
        """Record a frame."""
        self._sent += 1
        self._update(now)

    def record_taken(self, taken: object, now: float) -> str:
        """Record how many frames the peer has taken; return an error, if any.

        A peer of an earlier release does not count them, and gets frames
        without a bound.
        """
        if not isinstance(taken, int):
            return 'malformed frame: the frames taken are not a number'
        if taken == NOT_COUNTED and not self._taken:
            self._is_counted = False
        elif self._taken <= taken <= self._sent:
            self._taken = taken
        else:
            return (
                f'peer tells of {taken} frames taken, '
                f'after {self._taken} of {self._sent}'
            )
        self._update(now)
        return ''

    def _update(self, now: float) -> None:
        has_room = self._sent - self._taken < self._max_untaken
        if has_room or not self._is_counted:
            self._closed_at = math.inf
        elif self.is_open:
            self._closed_at = now
