"""Test that a process notices that it did not run."""

from __future__ import annotations

import time

import pytest

from savoryrudder.daemon.stall import StallDetector
from savoryrudder.utils.ticks import IDLE_TICK_S


@pytest.mark.parametrize(
    ('pause_s', 'is_stall'),
    [(0, False), (IDLE_TICK_S, False), (0.9, False), (1.1, True), (10, True)],
)
def test_a_pause_longer_than_any_wait_is_a_stall(
    monkeypatch: pytest.MonkeyPatch,
    pause_s: float,
    is_stall: bool,
) -> None:
    """Guards against acting on what was received before a pause."""
    now = [float(100)]
    monkeypatch.setattr(time, 'clock_gettime', lambda _: now[0])
    detector = StallDetector()
    now[0] += pause_s
    assert bool(detector.measure()) == is_stall
    assert detector.measure() == 0
