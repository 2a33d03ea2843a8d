"""Hold the state of an entry that dispatches jobs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import NamedTuple

from savoryrudder.dispatch.answers import Answer
from savoryrudder.dispatch.events import JobSubmitted
from savoryrudder.jobs.model import NO_CONFIGURATION
from savoryrudder.jobs.model import NO_ROOM
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Queue
from savoryrudder.jobs.model import Room
from savoryrudder.jobs.model import Step
from savoryrudder.protocol.work import ExecutorReport
from savoryrudder.protocol.work import RunName


class DispatchIdentity(NamedTuple):
    """Name an entry and the start of its process."""

    entry: str
    incarnation: str
    address: str
    zone: str


class DispatchTiming(NamedTuple):
    """Set the intervals of an entry (seconds).

    The runs of an agent that was lost are gone after `settle_s`: it notices
    the silence of the link, stops them, or their lease expires.
    """

    settle_s: float
    answer_memory_s: float = 30
    # Agents find an entry that has just started within this time.
    warm_up_s: float = 1.2
    # The balancer sends no new connections this long after not ready.
    balancer_s: float = 2.5


class TaskState(Enum):
    """Tell how far a task is."""

    waiting = 'waiting'
    placed = 'placed'
    # Sent to an agent that was lost; it may be running there.
    unsettled = 'unsettled'
    done = 'done'


@dataclass(slots=True)
class Task:
    """Hold one task of a job; `run` numbers its last start."""

    name: str
    step: int
    state: TaskState = TaskState.waiting
    run: int = 0
    failures: int = 0
    agent: str = ''
    settled_at: float = 0
    moved: bool = False
    avoided: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StepProgress:
    """Hold how far the tasks of a step are."""

    step: Step
    waiting: list[Task]
    remaining: int
    unlocked: bool = False


@dataclass(slots=True)
class Job:
    """Hold a job that is not answered yet, or whose runs are not settled.

    `latest_start` is when its remaining work has to start to meet the
    objective; `objective_s` counts from the arrival. `out` counts tasks that
    are placed or unsettled.
    """

    request: JobRequest
    queue: Queue
    arrived_at: float
    objective_s: float
    latest_start: float
    number: int
    steps: list[StepProgress]
    tasks: dict[str, Task]
    callers: set[int] = field(default_factory=set)
    expires_at: float = float('inf')
    started_at: float | None = None
    out: int = 0
    ended: bool = False

    @property
    def has_waiting(self) -> bool:
        """Tell whether a task of an unlocked step waits for room."""
        return any(step.waiting for step in self.steps if step.unlocked)


@dataclass(slots=True)
class AgentView:
    """Hold what an entry knows of an agent and the executor beside it.

    `pending` are starts that the reported free room does not account for
    yet, by their number. `listed` tells that the agent has listed the runs
    of this entry. `usual_slowness` is how long its tasks take relative to
    their estimates; `slowness` is that of slow runs, until `slow_until`.
    """

    agent: str
    incarnation: str
    zone: str
    report: ExecutorReport | None = None
    listed: bool = False
    starts_sent: int = 0
    pending: dict[int, tuple[str, Room]] = field(default_factory=dict)
    free: Room = NO_ROOM
    usual_slowness: float = 1
    slowness: float = 1
    slow_until: float = 0
    failing_until: float = 0
    recent_failures: int = 0
    in_flight: int = 0

    @property
    def usable(self) -> bool:
        """Tell whether tasks may be sent to the agent."""
        report = self.report
        return self.listed and report is not None and report.accepting

    @property
    def on_trial(self) -> bool:
        """Tell whether the executor takes one task at a time."""
        return self.report is not None and self.report.on_trial


@dataclass(slots=True)
class PeerView:
    """Hold what an entry knows of another one: the jobs that it has."""

    entry: str
    incarnation: str
    jobs: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Contest:
    """Hold a job that another entry had, until nothing of it runs there.

    `settled_at` is set when that entry was lost; `holder` is the link to it.
    """

    submissions: list[JobSubmitted]
    holder: str
    settled_at: float = float('inf')


@dataclass(slots=True)
class ClaimChanges:
    """Collect the jobs that other entries are to be told about."""

    claimed: list[str] = field(default_factory=list)
    released: list[str] = field(default_factory=list)


@dataclass(slots=True)
class DispatchState:
    """Hold all state of an entry; its reducer mutates it in place."""

    identity: DispatchIdentity
    timing: DispatchTiming
    configuration: Configuration = NO_CONFIGURATION
    jobs: dict[str, Job] = field(default_factory=dict)
    # Jobs with waiting tasks as (latest start, number, id), in order.
    waiting: list[tuple[float, int, str]] = field(default_factory=list)
    # The job that each open request waits for.
    callers: dict[int, str] = field(default_factory=dict)
    answered: dict[str, tuple[float, Answer]] = field(default_factory=dict)
    agents: dict[str, AgentView] = field(default_factory=dict)
    peers: dict[str, PeerView] = field(default_factory=dict)
    contests: dict[str, Contest] = field(default_factory=dict)
    # Jobs of lost entries, with the time by which none of them runs.
    orphans: dict[str, float] = field(default_factory=dict)
    # The links whose entries wait for a job that is being stopped here.
    relinquished: dict[str, str] = field(default_factory=dict)
    # Ends that agents may forget, by link; told with the next tick.
    noted_ends: dict[str, list[RunName]] = field(default_factory=dict)
    claim_changes: ClaimChanges = field(default_factory=ClaimChanges)
    # Links that have not said who is at the other end, and whether we dialled.
    links: dict[str, bool] = field(default_factory=dict)
    jobs_seen: int = 0
    started_at: float = 0
    leaving: bool = False
    exit_at: float = float('inf')
    balanced_until: float = float('inf')
    idle_from: float = 0
    exited: bool = False

    @property
    def warm_until(self) -> float:
        """Return until when executors may be unknown."""
        return self.started_at + self.timing.warm_up_s

    @property
    def ready(self) -> bool:
        """Tell whether the entry takes jobs."""
        has_configuration = self.configuration.version >= 0
        return has_configuration and not self.leaving and bool(self.agents)
