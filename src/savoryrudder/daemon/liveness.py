"""Decide when a link needs a heartbeat and when its peer is lost.

Each frame tells how long its sender may be silent after it, and the receiver
waits a multiple of that time. So the two ends need not agree on whether the
link carries work: a link without work may be quiet, and its peer is not taken
for lost. An end that gives work to a quiet peer gets a frame at once, and waits
for it as on a link that carries work.
"""

from __future__ import annotations

from math import ceil
from typing import Final
from typing import NamedTuple

from savoryrudder.utils.units import MS_PER_S

# A peer may not ask to be silent for longer.
MAX_SILENCE_MS: Final = 60_000


class LinkTiming(NamedTuple):
    """Define the intervals (seconds) and size limits (bytes) of links.

    A live peer sends a frame at least every `heartbeat_s`, or every
    `quiet_heartbeat_s` while the link carries no work. The link is closed once
    `max_missed_heartbeats` of them are missing.
    """

    heartbeat_s: float = 1
    max_missed_heartbeats: int = 3
    join_timeout_s: float = 3
    backoff_min_s: float = 0.1
    backoff_max_s: float = 2
    queue_bytes: int = 32 * 1024 * 1024
    frame_bytes: int = 4 * 1024 * 1024
    quiet_heartbeat_s: float = 1

    @property
    def idle_timeout_s(self) -> float:
        """Return how long the peer of a link with work may be silent."""
        return self.heartbeat_s * self.max_missed_heartbeats

    @property
    def quiet_timeout_s(self) -> float:
        """Return how long the peer of a link without work may be silent."""
        return self.quiet_heartbeat_s * self.max_missed_heartbeats


FAST_TIMING: Final = LinkTiming(
    heartbeat_s=0.375,
    quiet_heartbeat_s=1,
    max_missed_heartbeats=2,
    join_timeout_s=1,
    backoff_min_s=0.1,
    backoff_max_s=0.5,
)


class Liveness:
    """Track the frames of a link in both directions; times in seconds."""

    def __init__(self, timing: LinkTiming) -> None:
        """Initialize for a link that carries work."""
        self._timing = timing
        self._carries_work = True
        self._sent_at = float('-inf')
        self._promised_s = timing.heartbeat_s
        self._is_answer_due = False
        self._received_at = float(0)
        self._peer_silence_s = timing.heartbeat_s
        self._work_unanswered_since = float('inf')

    @property
    def heartbeat_due_at(self) -> float:
        """Return when the next heartbeat is due."""
        if self._is_answer_due or self._interval_s < self._promised_s:
            return self._sent_at
        return self._sent_at + self._promised_s

    @property
    def lost_at(self) -> float:
        """Return when the peer counts as lost without another frame."""
        missed = self._timing.max_missed_heartbeats
        return min(
            self._received_at + self._peer_silence_s * missed,
            self._work_unanswered_since + self._timing.idle_timeout_s,
        )

    @property
    def next_due_at(self) -> float:
        """Return when there is something to do without another frame."""
        return min(self.heartbeat_due_at, self.lost_at)

    def record_work(self, now: float, *, carries_work: bool) -> None:
        """Record whether the link carries work from now on."""
        if not carries_work:
            self._work_unanswered_since = float('inf')
        elif not self._carries_work:
            self._work_unanswered_since = now
        self._carries_work = carries_work

    def record_sent(self, now: float) -> int:
        """Record a frame; return for how long this end may be silent (ms)."""
        self._sent_at = now
        self._promised_s = self._interval_s
        self._is_answer_due = False
        return ceil(self._promised_s * MS_PER_S)

    def record_received(self, now: float, silence_ms: int) -> None:
        """Record a frame and for how long its sender may be silent.

        A peer that does not tell (0) sends as on a link that carries work. A
        peer that stops being quiet waits for an answer.
        """
        silence_s = min(silence_ms, MAX_SILENCE_MS) / MS_PER_S
        peer_silence_s = silence_s or self._timing.heartbeat_s
        is_quiet = self._promised_s > self._timing.heartbeat_s
        if is_quiet and peer_silence_s < self._peer_silence_s:
            self._is_answer_due = True
        self._received_at = now
        self._peer_silence_s = peer_silence_s
        self._work_unanswered_since = float('inf')

    @property
    def _interval_s(self) -> float:
        if self._carries_work:
            return self._timing.heartbeat_s
        return self._timing.quiet_heartbeat_s
