"""Find out without waiting whether the peer of a connection has left."""

from __future__ import annotations

import select


def has_peer_closed(fd: int) -> bool:
    """Return whether the peer of a socket has closed or reset it.

    Data that has not been read yet does not hide the end that follows it.
    """
    poll = select.poll()
    # Resets and other errors are reported whatever is asked for.
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))
