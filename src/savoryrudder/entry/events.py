"""Define the events of the entry reducer."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import Message
from savoryrudder.store.interface import StoreOutcome


class JobSubmitted(NamedTuple):
    """A caller submitted a job and waits up to `wait_s` for the answer."""

    now: float
    wall: float
    request: int
    job: Job
    wait_s: float


class AnswerRequested(NamedTuple):
    """A caller asks for the answer to an earlier submission."""

    now: float
    wall: float
    request: int
    client: str
    key: str
    wait_s: float


class JobCancelled(NamedTuple):
    """A caller cancels a submission."""

    now: float
    wall: float
    request: int
    client: str
    key: str


class CallerGone(NamedTuple):
    """The caller of a request has disconnected; the job goes on."""

    now: float
    request: int


class LinkUp(NamedTuple):
    """A new session with an agent or entry is open; its hello follows."""

    now: float
    peer: str
    session: str


class LinkDown(NamedTuple):
    """A session with an agent or entry has ended; `reason` is for the log."""

    now: float
    wall: float
    peer: str
    session: str
    reason: str = ''


class MessageReceived(NamedTuple):
    """A message arrived on a session, with the sender's revision."""

    now: float
    wall: float
    peer: str
    session: str
    revision: int
    message: Message


class StoreAnswered(NamedTuple):
    """The store answered a call, or gave no answer in time."""

    now: float
    wall: float
    call: int
    outcome: StoreOutcome


class Tick(NamedTuple):
    """Time has passed; sent about twenty times a second."""

    now: float
    wall: float


class ConfigSubmitted(NamedTuple):
    """An operator applies a text against the revision it was diffed from."""

    now: float
    wall: float
    request: int
    text: str
    expected_revision: int
    author: str
    token: str


class DataRequested(NamedTuple):
    """An operator asks for `kind`: status, config or terms (of `name`)."""

    now: float
    wall: float
    request: int
    kind: str
    name: str


class AgentDrainRequested(NamedTuple):
    """An operator asks for the graceful stop of an agent."""

    now: float
    request: int
    agent: str


class DrainRequested(NamedTuple):
    """The entry has to stop gracefully within `timeout_s`."""

    now: float
    timeout_s: float


EntryEvent: TypeAlias = (
    JobSubmitted
    | AnswerRequested
    | JobCancelled
    | CallerGone
    | LinkUp
    | LinkDown
    | MessageReceived
    | StoreAnswered
    | Tick
    | ConfigSubmitted
    | DataRequested
    | AgentDrainRequested
    | DrainRequested
)
