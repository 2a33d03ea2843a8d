"""Define the events of an entry; `now` is seconds of the steady clock."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import JobRequest
from savoryrudder.protocol.messages import Message


class ConfigurationRead(NamedTuple):
    """The store holds this configuration."""

    now: float
    configuration: Configuration


class JobSubmitted(NamedTuple):
    """A caller submitted a job.

    `unsupported` names what the job asks for and we do not offer; the caller
    waits for `patience_s` (None: for as long as it takes).
    """

    now: float
    request: int
    host: str
    path: str
    job: JobRequest
    unsupported: str
    patience_s: float | None


class JobAsked(NamedTuple):
    """A caller asked for a job's state, or for a queue's length."""

    now: float
    request: int
    host: str
    path: str


class JobCancelled(NamedTuple):
    """A caller cancelled a job."""

    now: float
    request: int
    host: str
    path: str


class CallerGone(NamedTuple):
    """The caller of a request has closed its connection."""

    now: float
    request: int


class LinkUp(NamedTuple):
    """A link is open; `dialled` is True if this entry asked another for it."""

    now: float
    link: str
    dialled: bool


class LinkDown(NamedTuple):
    """A link has ended; nothing more arrives on it."""

    now: float
    link: str
    reason: str


class MessageReceived(NamedTuple):
    """A process at the other end of a link sent a message."""

    now: float
    link: str
    message: Message


class Tick(NamedTuple):
    """Time has passed."""

    now: float


class DrainRequested(NamedTuple):
    """The process shall stop gracefully."""

    now: float
    timeout_s: float


DispatchEvent: TypeAlias = (
    ConfigurationRead
    | JobSubmitted
    | JobAsked
    | JobCancelled
    | CallerGone
    | LinkUp
    | LinkDown
    | MessageReceived
    | Tick
    | DrainRequested
)
