"""Define the events of the dispatch reducer.

`now` is the time of the event in seconds of a monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import JobRequest
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.protocol.messages import Message


class ConfigurationRead(NamedTuple):
    """A configuration was read from the store."""

    now: float
    configuration: Configuration


class MembersRead(NamedTuple):
    """The names of the registered entries were read from the store."""

    now: float
    entries: tuple[str, ...]


class EvacuationsRead(NamedTuple):
    """The evacuated availability zones were read from the store."""

    now: float
    evacuation: EvacuatedZones


class JobSubmitted(NamedTuple):
    """A caller submitted a job.

    `unsupported` names the unsupported feature that the job requires, if any.
    The caller waits for an answer for `caller_timeout_s` seconds, or without a
    limit if it is None. A job that `may_have_started` at another entry must not
    be refused, as a refusal tells that it has not run. The entries in
    `cleared_by`, by their incarnations, have told that they do not have it.
    That many entries have refused it as `refusals` tells.
    """

    now: float
    request_id: int
    host: str
    path: str
    job: JobRequest
    unsupported: str
    caller_timeout_s: float | None
    may_have_started: bool = False
    cleared_by: frozenset[str] = frozenset()
    refusals: int = 0


class JobQueried(NamedTuple):
    """A caller requested the state of a job or the length of a queue."""

    now: float
    request_id: int
    host: str
    path: str


class JobCancelled(NamedTuple):
    """A caller requested the cancellation of a job."""

    now: float
    request_id: int
    host: str
    path: str


class CallerDisconnected(NamedTuple):
    """The caller of a request closed its connection."""

    now: float
    request_id: int


class LinkUp(NamedTuple):
    """A link was opened; `dialled` is True if this entry initiated it."""

    now: float
    link: str
    dialled: bool


class LinkDown(NamedTuple):
    """A link was closed; no more messages arrive on it."""

    now: float
    link: str
    reason: str


class MessageReceived(NamedTuple):
    """A message arrived on a link."""

    now: float
    link: str
    message: Message


class Tick(NamedTuple):
    """The timer has fired.

    `busy_share` is the share of time in which the event loop did not wait, if
    it was measured since the last tick.
    """

    now: float
    busy_share: float | None = None


class Stalled(NamedTuple):
    """The process did not run for a while; its peers have lost it."""

    now: float
    stall_s: float


class DrainRequested(NamedTuple):
    """The process was asked to stop gracefully within `timeout_s`."""

    now: float
    timeout_s: float


DispatchEvent: TypeAlias = (
    ConfigurationRead
    | MembersRead
    | EvacuationsRead
    | JobSubmitted
    | JobQueried
    | JobCancelled
    | CallerDisconnected
    | LinkUp
    | LinkDown
    | MessageReceived
    | Tick
    | Stalled
    | DrainRequested
)
