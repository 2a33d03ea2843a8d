"""Test how many frames a session sends before its peer has taken them."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.daemon.send_window import NOT_COUNTED
from savoryrudder.daemon.send_window import SendWindow

SIZE = 2


def test_a_window_closes_until_frames_are_taken() -> None:
    """Guard against a third frame for a connection that holds two."""
    window = SendWindow(SIZE)
    assert window.is_open
    window.record_sent(1)
    assert window.is_open
    window.record_sent(2)
    assert not window.is_open
    assert window.closed_at == 2
    assert not window.record_taken(1, 3)
    assert window.is_open
    assert window.closed_at == math.inf


def test_a_session_without_a_window_sends_without_a_bound() -> None:
    """Guard against waits where the socket itself tells that it is full."""
    window = SendWindow()
    for _ in range(100):
        window.record_sent(1)
    assert window.is_open


def test_a_peer_that_does_not_count_gets_frames_without_a_bound() -> None:
    """Guard against a link to a process of an earlier release that stops."""
    window = SendWindow(SIZE)
    for _ in range(3):
        window.record_sent(1)
    assert not window.record_taken(NOT_COUNTED, 2)
    window.record_sent(3)
    assert window.is_open


@pytest.mark.parametrize('taken', [3, 0, -2, NOT_COUNTED, '1', None, 1.5])
def test_a_count_that_cannot_be_is_an_error(taken: object) -> None:
    """Guard against a peer that opens the window by what it did not take."""
    window = SendWindow(SIZE)
    window.record_sent(1)
    window.record_sent(1)
    assert not window.record_taken(1, 2)
    assert window.record_taken(taken, 3)


@given(st.lists(st.booleans(), max_size=200))
def test_no_more_frames_are_on_their_way_than_the_window_holds(
    sends: list[bool],
) -> None:
    """Guard against a drawn order of frames and answers that drops one."""
    window = SendWindow(SIZE)
    on_their_way = 0
    for is_send in sends:
        if is_send and window.is_open:
            window.record_sent(0)
            on_their_way += 1
        elif on_their_way and not is_send:
            on_their_way -= 1
            assert not window.record_taken(
                window.frames_sent - on_their_way,
                0,
            )
        assert on_their_way <= SIZE
        assert window.is_open is (on_their_way < SIZE)
