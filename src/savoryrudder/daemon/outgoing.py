"""Queue the messages of a turn until they are sent."""

from __future__ import annotations

from itertools import accumulate
from itertools import takewhile
from typing import TYPE_CHECKING
from typing import Protocol

from savoryrudder.protocol import codec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.protocol.messages import Message


class Sender(Protocol):
    """Send the messages that were queued for one peer."""

    def flush(self) -> None:
        """Send the queued messages, as far as the connection takes them."""


class OutgoingQueue:
    """Queue outgoing messages up to a total size in bytes."""

    def __init__(self, limit: int) -> None:
        """Create an empty queue of at most `limit` bytes."""
        self._limit = limit
        self._bytes = 0
        self._messages: list[Message] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no message waits."""
        return not self._messages

    def put(self, message: Message, size: int) -> bool:
        """Append a message; return False if it does not fit."""
        if self._bytes + size > self._limit:
            return False
        self._bytes += size
        self._messages.append(message)
        return True

    def take(self, limit: int) -> tuple[Message, ...]:
        """Remove and return messages of up to `limit` bytes.

        At least one message is returned, whatever its size, unless the queue
        is empty.
        """
        batch = tuple(self._messages)
        if self._bytes > limit:
            batch = batch[: _count_fitting(batch, limit)]
        self._messages = self._messages[len(batch) :]
        if self._messages:
            self._bytes -= sum(map(codec.estimate_message_size, batch))
        else:
            self._bytes = 0
        return batch


class Outbox:
    """Collect the sessions of a process that have queued messages.

    The messages of one turn share a frame, which is sent at the end of the
    turn without another pass of the event loop.
    """

    def __init__(self, counters: Counters | None = None) -> None:
        """Initialize without sessions; waits for peers are counted, if set."""
        self._sessions: dict[Sender, None] = {}
        self._counters = counters

    def add(self, session: Sender) -> None:
        """Remember a session that has queued a message."""
        self._sessions[session] = None

    def record_wait(self, seconds: float) -> None:
        """Record how long messages waited for a peer to take frames."""
        if self._counters is not None:
            self._counters.observe('link_wait', seconds)

    def flush(self) -> None:
        """Send the queued messages of all sessions."""
        sessions = self._sessions
        self._sessions = {}
        for session in sessions:
            session.flush()


def _count_fitting(messages: Sequence[Message], limit: int) -> int:
    total_sizes = accumulate(map(codec.estimate_message_size, messages))
    return max(1, sum(1 for _ in takewhile(limit.__ge__, total_sizes)))
