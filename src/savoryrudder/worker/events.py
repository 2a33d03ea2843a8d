"""Define the events of an agent; `now` is seconds of the steady clock."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.jobs.model import Room
from savoryrudder.protocol.messages import Message


class LinkUp(NamedTuple):
    """A link to an entry is open."""

    now: float
    link: str


class LinkDown(NamedTuple):
    """A link to an entry has ended."""

    now: float
    link: str
    reason: str


class MessageReceived(NamedTuple):
    """An entry sent a message."""

    now: float
    link: str
    message: Message


class ExecutorSeen(NamedTuple):
    """The executor reported itself.

    `born_ms` is the UTC time of its start; a report with an earlier one comes
    from a former life. `sequence` rises with each report of one life.
    """

    now: float
    executor: str
    born_ms: int
    sequence: int
    service: str
    address: str
    labels: tuple[str, ...]
    capacity: Room
    draining: bool
    clock_ms: int


class ExecutorLeft(NamedTuple):
    """The executor has signed off."""

    now: float
    executor: str


class StartAnswered(NamedTuple):
    """A start was answered, or not.

    `verdict` is one of `savoryrudder.worker.verdicts`.
    """

    now: float
    task: str
    run: int
    verdict: str
    clock_ms: int


class StopAnswered(NamedTuple):
    """A stop was answered, or not."""

    now: float
    task: str
    run: int
    confirmed: bool


class RunListed(NamedTuple):
    """Describe a run that the executor lists as running."""

    task: str
    run: int
    percent: int


class EndListed(NamedTuple):
    """Describe an end that the executor lists, with its number."""

    number: int
    task: str
    run: int
    outcome: str


class LeaseAnswered(NamedTuple):
    """The executor answered a renewal of its lease."""

    now: float
    sent_at: float
    clock_ms: int
    running: tuple[RunListed, ...]
    ended: tuple[EndListed, ...]


class LeaseUnanswered(NamedTuple):
    """A renewal of the lease was refused or got no answer.

    `fenced` tells that the executor has seen a higher fencing token.
    """

    now: float
    reason: str
    fenced: bool = False


class Tick(NamedTuple):
    """Time has passed."""

    now: float


class Stalled(NamedTuple):
    """The process did not run for a while; messages may be stale."""

    now: float
    stall_s: float


class DrainRequested(NamedTuple):
    """The process shall stop gracefully."""

    now: float
    timeout_s: float


WorkerEvent: TypeAlias = (
    LinkUp
    | LinkDown
    | MessageReceived
    | ExecutorSeen
    | ExecutorLeft
    | StartAnswered
    | StopAnswered
    | LeaseAnswered
    | LeaseUnanswered
    | Tick
    | Stalled
    | DrainRequested
)
