"""Define the events of an agent.

`now` is the time of the event on the monotonic clock, in seconds.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol.messages import Message
from savoryrudder.worker.effects import ExecutorInstance

# A renewal is given up before.
_MAX_ANSWER_S: Final = 0.5


class LinkUp(NamedTuple):
    """A link to an entry has opened."""

    now: float
    link: str


class LinkDown(NamedTuple):
    """A link to an entry has closed."""

    now: float
    link: str
    reason: str


class LinksRetired(NamedTuple):
    """Other entries were chosen; these links are to be closed."""

    now: float
    links: tuple[str, ...]


class MessageReceived(NamedTuple):
    """An entry sent a message."""

    now: float
    link: str
    message: Message


class ExecutorHeartbeat(NamedTuple):
    """The executor sent a heartbeat.

    `started_ms` is the UTC time at which the instance started, by a clock that
    may jump. `sequence` increases with each heartbeat of an instance. A `cold`
    one is slow for a while after its start.
    """

    now: float
    executor: str
    started_ms: int
    sequence: int
    service: str
    address: str
    labels: tuple[str, ...]
    capacity: Resources
    draining: bool
    clock_ms: int
    cold: bool = False

    @property
    def instance(self) -> ExecutorInstance:
        """Return how calls name the instance, and its address."""
        return ExecutorInstance(self.executor, self.address)


class ExecutorLeft(NamedTuple):
    """The executor has deregistered.

    `started_ms` is the UTC time at which the instance started, 0 if unknown.
    """

    now: float
    executor: str
    started_ms: int = 0


class StartAnswered(NamedTuple):
    """A request to start a run was answered or failed.

    `verdict` is one of `savoryrudder.worker.verdicts`.
    """

    now: float
    task: str
    run: int
    verdict: str
    clock_ms: int


class StopAnswered(NamedTuple):
    """A request to stop a run was answered or failed."""

    now: float
    task: str
    run: int
    confirmed: bool


class InstanceProbed(NamedTuple):
    """An instance answered a probe or did not.

    `verdict` is one of `savoryrudder.worker.verdicts`. `started_ms` is the UTC
    time at which the instance that answered started, 0 if it did not tell.
    """

    now: float
    executor: ExecutorInstance
    verdict: str
    started_ms: int = 0


class RunProgress(NamedTuple):
    """Describe a run that the executor reports as running."""

    task: str
    run: int
    percent: int


class RunEnd(NamedTuple):
    """Describe an ended run; `number` increases with each end."""

    number: int
    task: str
    run: int
    outcome: str


class RenewalAnswered(NamedTuple):
    """The executor answered a lease renewal that was sent at `sent_at`.

    `fence` is the fencing token of the renewal. `started_ms` is the UTC time at
    which the instance that answered started, 0 if it did not tell. There may be
    `more_ends` than the list holds; they follow once those in it have been
    acknowledged.
    """

    now: float
    sent_at: float
    clock_ms: int
    running: tuple[RunProgress, ...]
    ended: tuple[RunEnd, ...]
    fence: int
    started_ms: int = 0
    more_ends: bool = False

    @property
    def shown_at(self) -> float:
        """Return the latest time at which the runs were as the lists show.

        An answer that took longer than the call may was read late, by a process
        that stood still, and says nothing of the time since.
        """
        is_late = self.now - self.sent_at > _MAX_ANSWER_S
        return self.sent_at if is_late else self.now


class RenewalFailed(NamedTuple):
    """A lease renewal was refused or got no usable answer.

    `fence` is the fencing token of the renewal, and `fenced` is set if the
    executor has seen a higher one.
    """

    now: float
    reason: str
    fence: int
    fenced: bool = False


class Tick(NamedTuple):
    """The periodic timer has fired."""

    now: float


class Stalled(NamedTuple):
    """The process was not scheduled for a while; messages may be stale."""

    now: float
    stall_s: float


class DrainRequested(NamedTuple):
    """The process was asked to stop gracefully."""

    now: float
    timeout_s: float


WorkerEvent: TypeAlias = (
    LinkUp
    | LinkDown
    | LinksRetired
    | MessageReceived
    | ExecutorHeartbeat
    | ExecutorLeft
    | StartAnswered
    | StopAnswered
    | InstanceProbed
    | RenewalAnswered
    | RenewalFailed
    | Tick
    | Stalled
    | DrainRequested
)
