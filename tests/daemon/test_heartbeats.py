"""Test that the heartbeats of a live peer keep its link open."""

from __future__ import annotations

from functools import partial
from itertools import accumulate
from typing import TYPE_CHECKING

import anyio
import pytest
from fakes.link_handler import IgnoringHandler
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from trio.testing import MockClock

from savoryrudder.daemon.links import DEFAULT_TIMING
from savoryrudder.daemon.liveness import FAST_TIMING
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionIds
from savoryrudder.protocol import codec
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

IDS = SessionIds('peer', 'session')
ACKNOWLEDGEMENT = work.EndsAcknowledged(())
INTERVALS = 40


class _FeedingSocket:
    """Receive a frame of the peer at intervals and record what is sent."""

    def __init__(self, interval_s: float) -> None:
        self.sent_at: list[float] = []
        self._interval_s = interval_s
        self._received = 0

    async def pass_frames(self, handle: Callable[[bytes], None]) -> None:
        """Pass on a heartbeat of the peer at intervals."""
        while True:
            await anyio.sleep(self._interval_s)
            frame = codec.Frame('session', self._received, 0, ())
            self._received += 1
            handle(codec.encode_frame(frame))

    def try_send(self, content: bytes) -> bool:
        """Record when a frame is sent."""
        self.sent_at.append(anyio.current_time())
        return True

    async def send(self, content: bytes) -> None:
        """Accept a frame."""

    async def wait_connected(self) -> None:
        """Return at once."""

    async def wait_disconnected(self) -> None:
        """Never return."""
        await anyio.sleep_forever()

    def close(self) -> None:
        """Do nothing."""


async def _send_later(session: Session, delay_s: float) -> None:
    await anyio.sleep(delay_s)
    session.send(ACKNOWLEDGEMENT)


async def _send_at(
    timing: LinkTiming,
    pauses_s: Sequence[float],
) -> tuple[list[float], str]:
    """Send messages after pauses; return the frames' times and the reason."""
    socket = _FeedingSocket(timing.heartbeat_s)
    session = Session(socket, IDS, IgnoringHandler(), int, timing)
    async with anyio.create_task_group() as group:
        group.start_soon(session.run)
        for delay_s in accumulate(pauses_s):
            group.start_soon(_send_later, session, delay_s)
        await anyio.sleep(sum(pauses_s) + INTERVALS * timing.heartbeat_s)
        reason = session.reason
        group.cancel_scope.cancel()
    return socket.sent_at, reason


def _longest_silence_s(sent_at: Sequence[float]) -> float:
    pairs = zip(sent_at, sent_at[1:], strict=False)
    return max(later - earlier for earlier, later in pairs)


def _play(
    timing: LinkTiming,
    pauses_s: Sequence[float],
) -> tuple[list[float], str]:
    return anyio.run(
        partial(_send_at, timing, pauses_s),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    heartbeat_s=strategies.floats(0.05, 5),
    missed=strategies.integers(2, 5),
    shares=strategies.lists(strategies.floats(0, 2), max_size=12),
)
def test_a_live_peer_is_silent_for_less_than_the_limit(
    heartbeat_s: float,
    missed: int,
    shares: list[float],
) -> None:
    """Guard against links that end although both ends live.

    A frame just after a wake-up made the sender stay silent for twice the
    interval, as long as the receiver waits. The heartbeat that follows may be
    late by up to an interval.
    """
    timing = LinkTiming(heartbeat_s=heartbeat_s, max_missed_heartbeats=missed)
    pauses_s = [share * heartbeat_s for share in shares]
    sent_at, reason = _play(timing, pauses_s)
    assert not reason
    spare_s = timing.idle_timeout_s - _longest_silence_s(sent_at)
    assert spare_s >= 0.99 * heartbeat_s


@pytest.mark.parametrize('timing', [DEFAULT_TIMING, FAST_TIMING])
def test_a_heartbeat_may_be_late_by_an_interval(timing: LinkTiming) -> None:
    """Guard against intervals that leave no time for a late heartbeat."""
    assert timing.idle_timeout_s >= 2 * timing.heartbeat_s


def test_a_busy_link_needs_no_heartbeats() -> None:
    """Guard against heartbeats beside frames that are sent anyway."""
    timing = LinkTiming(heartbeat_s=1, max_missed_heartbeats=2)
    sent_at, _ = _play(timing, [0.5 for _ in range(60)])
    # One heartbeat opens the session, the others follow the last message.
    assert len(sent_at) <= 1 + 60 + INTERVALS + 1
