"""Test that a quiet link stays open, and that its loss is noticed in time."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from savoryrudder.daemon.liveness import FAST_TIMING
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.liveness import Liveness

TIMING = LinkTiming(
    heartbeat_s=1,
    quiet_heartbeat_s=4,
    max_missed_heartbeats=2,
)
# Two frames and the timers between them may be late by this much in all.
MAX_DELAY_S = 0.3
# How far a sum of times may be off.
PRECISION_S = 0.01
END_S = 60


class Change(NamedTuple):
    """Let an end begin or cease to carry work at a time."""

    at: float
    end: int
    carries_work: bool


class Play:
    """Play two live ends that heartbeat when it is due, each a bit late."""

    def __init__(self, changes: list[Change], delays_s: list[float]) -> None:
        """Start with both ends carrying work."""
        self.ends = (Liveness(TIMING), Liveness(TIMING))
        self.now = float(0)
        self.frames = 0
        self._delays_s = delays_s
        self._changes = sorted(changes)
        self._in_flight: list[tuple[float, int, int, int]] = []

    def run(self) -> None:
        """Play until the end; fail if a live end is taken for lost."""
        while self.now < END_S:
            self._play_step()
            for end in self.ends:
                assert self.now < end.lost_at, f'lost at {self.now}'
            self.now += 0.05

    def _play_step(self) -> None:
        while self._changes and self._changes[0].at <= self.now:
            change = self._changes.pop(0)
            self.ends[change.end].record_work(
                self.now,
                carries_work=change.carries_work,
            )
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, receiver, silence_ms = heapq.heappop(self._in_flight)
            self.ends[receiver].record_received(self.now, silence_ms)
        for number, end in enumerate(self.ends):
            if end.heartbeat_due_at <= self.now:
                self._send(number, end)

    def _send(self, number: int, end: Liveness) -> None:
        delay_s = self._delays_s[self.frames % len(self._delays_s)]
        self.frames += 1
        silence_ms = end.record_sent(self.now)
        arrival = (self.now + delay_s, self.frames, 1 - number, silence_ms)
        heapq.heappush(self._in_flight, arrival)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    changes=strategies.lists(
        strategies.builds(
            Change,
            strategies.floats(0, END_S),
            strategies.integers(0, 1),
            strategies.booleans(),
        ),
        max_size=30,
    ),
    delays_s=strategies.lists(
        strategies.floats(0, MAX_DELAY_S),
        min_size=1,
        max_size=8,
    ),
)
def test_ends_that_disagree_about_work_do_not_lose_each_other(
    changes: list[Change],
    delays_s: list[float],
) -> None:
    """Guard against a storm of lost links between processes that live."""
    Play(changes, delays_s).run()


def _quiet_end() -> Liveness:
    end = Liveness(TIMING)
    end.record_work(0, carries_work=False)
    quiet_ms = end.record_sent(0)
    end.record_received(0, quiet_ms)
    return end


def test_a_quiet_link_sends_few_heartbeats() -> None:
    """Guard against processes without work that use up processor time."""
    changes = [Change(0, end, carries_work=False) for end in (0, 1)]
    play = Play(changes, [0.1])
    play.run()
    assert play.frames <= 2 * (END_S / TIMING.quiet_heartbeat_s + 2)


def test_a_lost_peer_with_work_is_noticed_as_soon_as_ever() -> None:
    """Guard against runs that an entry restarts before they are stopped."""
    end = Liveness(TIMING)
    end.record_received(5, int(TIMING.heartbeat_s * 1000))
    assert end.lost_at <= 5 + TIMING.idle_timeout_s + PRECISION_S


def test_work_given_to_a_dead_quiet_peer_is_noticed_as_soon() -> None:
    """Guard against tasks that wait for a peer that died while quiet."""
    end = _quiet_end()
    end.record_work(1, carries_work=True)
    assert end.lost_at <= 1 + TIMING.idle_timeout_s + PRECISION_S
    assert end.heartbeat_due_at <= 1


def test_the_loss_of_a_quiet_peer_is_noticed_within_its_promise() -> None:
    """Guard against dead peers that count as usable for long."""
    limit_s = TIMING.quiet_heartbeat_s * TIMING.max_missed_heartbeats
    assert _quiet_end().lost_at <= limit_s + PRECISION_S


def test_a_quiet_link_of_the_platform_is_noticed_within_the_grace() -> None:
    """Guard against entries that keep dead agents longer than their leases.

    Entries without work for an agent place tasks there until they notice.
    """
    limit_s = FAST_TIMING.quiet_heartbeat_s * FAST_TIMING.max_missed_heartbeats
    assert limit_s <= 2


def test_a_peer_that_asks_for_endless_silence_is_bounded() -> None:
    """Guard against a link that a faulty peer keeps open for ever."""
    end = Liveness(TIMING)
    end.record_received(0, 10**12)
    assert end.lost_at <= 120
