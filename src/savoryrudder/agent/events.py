"""Define the events of the agent reducer."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol.messages import Message
from savoryrudder.protocol.messages import TaskKey


class LinkUp(NamedTuple):
    """A session with an entry was opened; it replaces any earlier one."""

    now: float
    entry: str
    session: str


class LinkDown(NamedTuple):
    """A session with an entry ended; `reason` is for the log."""

    now: float
    entry: str
    session: str
    reason: str = ''


class MessageReceived(NamedTuple):
    """A message arrived; `revision` is the sender's configuration revision."""

    now: float
    entry: str
    session: str
    revision: int
    message: Message


class UpstreamFinished(NamedTuple):
    """An upstream call ended.

    `outcome` is complete, failed, unknown or not-run, the last only if the
    request provably never reached the upstream.
    """

    now: float
    task: TaskKey
    outcome: str
    result: bytes
    reason: str


class Tick(NamedTuple):
    """The periodic timer has fired, as it does about ten times a second."""

    now: float


class DrainRequested(NamedTuple):
    """The agent has to drain and exit within `timeout_s`."""

    now: float
    timeout_s: float


AgentEvent: TypeAlias = (
    LinkUp
    | LinkDown
    | MessageReceived
    | UpstreamFinished
    | Tick
    | DrainRequested
)
