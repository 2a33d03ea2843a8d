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
    request_id: int
    job: Job
    wait_s: float


class AnswerRequested(NamedTuple):
    """A caller asks for the answer to an earlier submission."""

    now: float
    wall: float
    request_id: int
    client: str
    key: str
    wait_s: float


class JobCancelled(NamedTuple):
    """A caller cancels a submission."""

    now: float
    wall: float
    request_id: int
    client: str
    key: str


class CallerDisconnected(NamedTuple):
    """The caller of a request has disconnected; the job continues."""

    now: float
    request_id: int


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
    """A message arrived on a session.

    `revision` is the revision of the sender's configuration.
    """

    now: float
    wall: float
    peer: str
    session: str
    revision: int
    message: Message


class StoreAnswered(NamedTuple):
    """The store answered a call, or the call timed out."""

    now: float
    wall: float
    call: int
    outcome: StoreOutcome


class Tick(NamedTuple):
    """The timer for timeouts has fired, as it does about 20 times a second."""

    now: float
    wall: float


class ConfigSubmitted(NamedTuple):
    """An operator submits a configuration to replace `expected_revision`."""

    now: float
    wall: float
    request_id: int
    text: str
    expected_revision: int
    author: str
    token: str


class ReportRequested(NamedTuple):
    """An operator asks for the status, the config or a client's terms.

    `kind` is status, config or terms; `name` is the client, for terms only.
    """

    now: float
    wall: float
    request_id: int
    kind: str
    name: str


class AgentDrainRequested(NamedTuple):
    """An operator asks an agent to stop gracefully."""

    now: float
    request_id: int
    agent: str


class DrainRequested(NamedTuple):
    """The entry is to stop gracefully within `timeout_s`."""

    now: float
    timeout_s: float


EntryEvent: TypeAlias = (
    JobSubmitted
    | AnswerRequested
    | JobCancelled
    | CallerDisconnected
    | LinkUp
    | LinkDown
    | MessageReceived
    | StoreAnswered
    | Tick
    | ConfigSubmitted
    | ReportRequested
    | AgentDrainRequested
    | DrainRequested
)
