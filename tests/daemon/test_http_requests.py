"""Test the request parser with arbitrary bytes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.daemon.http_requests import RequestParser

POST = b'POST /job HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody'
LIMIT = 4096


@given(st.lists(st.binary(max_size=200), max_size=8))
def test_any_bytes_are_requests_or_refused(pieces: list[bytes]) -> None:
    """Guards against an error that is neither, and ends the process."""
    parser = RequestParser(LIMIT)
    for piece in pieces:
        if parser.feed(piece) is not None:
            return
        parser.next_request()


@given(st.data(), st.integers(1, 30))
def test_a_changed_request_is_a_request_or_refused(
    draws: st.DataObject,
    size: int,
) -> None:
    """Guards against an error in a request that is almost well-formed."""
    place = draws.draw(st.integers(0, len(POST) - 1))
    replacement = draws.draw(st.binary(max_size=size))
    parser = RequestParser(LIMIT)
    changed = POST[:place] + replacement + POST[place + size :]
    if parser.feed(changed) is None:
        parser.next_request()


@given(st.lists(st.integers(1, len(POST) - 1), max_size=6))
def test_pieces_make_the_same_request_as_the_whole(cuts: list[int]) -> None:
    """Guards against a request that depends on how its bytes arrive."""
    whole = RequestParser(LIMIT)
    whole.feed(POST)
    pieced = RequestParser(LIMIT)
    places = [0, *sorted(cuts), len(POST)]
    for start, end in zip(places, places[1:], strict=False):
        pieced.feed(POST[start:end])
    assert pieced.next_request() == whole.next_request()


def test_nothing_is_held_once_requests_are_discarded() -> None:
    """Guard against whole requests that a refused connection still holds."""
    parser = RequestParser(LIMIT)
    head = b'GET / HTTP/1.1\r\n%s\r\n' % (b'a: b\r\n' * 100)
    unfinished = b'GET / HTTP/1.1\r\na: b\r\n'
    assert parser.feed(b''.join((head, head, unfinished))) is None
    assert parser.held_bytes
    parser.discard()
    assert parser.next_request() is None
    assert not parser.held_bytes
