"""Define the effects that the reducers of all roles return."""

from __future__ import annotations

from typing import NamedTuple

from savoryrudder.protocol.messages import Message


class Send(NamedTuple):
    """Send a message to a peer on its open session."""

    peer: str
    message: Message


class CloseLink(NamedTuple):
    """Close the session with a peer; the dialling side reconnects."""

    peer: str
    reason: str


class SetCarriesWork(NamedTuple):
    """Record whether the link with a peer carries work.

    The loss of a link without work is noticed later.
    """

    peer: str
    carries_work: bool


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    amount: int


class Observe(NamedTuple):
    """Record a duration in a histogram."""

    name: str
    seconds: float


class Log(NamedTuple):
    """Write one log line about a change of state."""

    name: str
    fields: tuple[tuple[str, str], ...]


class Exit(NamedTuple):
    """End the process: all work is done or the stop timeout has passed."""
