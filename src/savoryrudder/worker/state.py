"""Hold the state of an agent beside an executor."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.jobs.model import NO_ROOM
from savoryrudder.jobs.model import Room
from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker.effects import Executor

if TYPE_CHECKING:
    from savoryrudder.worker.events import ExecutorSeen

# A steady clock may run this much slower than ours.
CLOCK_SLOWNESS: Final = 0.02
_NEVER: Final = float('-inf')


class WorkerIdentity(NamedTuple):
    """Name an agent and the start of its process."""

    agent: str
    incarnation: str
    zone: str


class WorkerTiming(NamedTuple):
    """Set the intervals of an agent (seconds).

    `lease_s` is the longest lease that the executor grants. A run that was
    stopped is gone `stop_s` later.
    """

    lease_s: float
    stop_s: float
    renewal_wait_s: float = 0.1
    silence_s: float = 0
    stop_retry_s: float = 0.25
    owner_grace_s: float = 0.3
    retention_s: float = 30


class Phase(Enum):
    """Tell how far a run is."""

    starting = 'starting'
    running = 'running'
    stopping = 'stopping'


@dataclass(slots=True)
class Run:
    """Hold one run of a task that occupies room on the executor.

    `reported` tells that its owner has been told of its end; the room stays
    taken until the executor confirms that the run is gone.
    """

    task: str
    number: int
    owner: str
    need: Room
    durable: bool
    estimate_s: float
    started_at: float
    percent: int = 0
    progressed_at: float = _NEVER
    slow_reported: bool = False
    standstill_reported: bool = False
    phase: Phase = Phase.starting
    answered_at: float = _NEVER
    stop_sent_at: float = _NEVER
    stopped_at: float = _NEVER
    reported: bool = False

    @property
    def key(self) -> work.RunName:
        """Return the task's name with the number of the run."""
        return (self.task, self.number)


class UnnotedEnd(NamedTuple):
    """Hold an end until its owner has noted it."""

    owner: str
    ended_at: float
    message: work.TaskEnded


class Reported(NamedTuple):
    """Hold what an entry was told last about the executor."""

    free: Room
    accepting: bool
    on_trial: bool
    executor: str
    sent_at: float


@dataclass(slots=True)
class EntryLink:
    """Hold what an agent knows of one link to an entry."""

    incarnation: str = ''
    starts_seen: int = 0
    reported: Reported | None = None


@dataclass(slots=True)
class Lease:
    """Follow the lease of the executor's runs and its clock.

    `over_at` is when every run has lapsed if no renewal reaches the executor.
    `silent_since` is the first unanswered renewal, or None.
    """

    clock_ms: int = 0
    clock_at: float = _NEVER
    over_at: float = _NEVER
    silent_since: float | None = None
    renewing: bool = False
    renew_at: float = _NEVER
    surveyed: bool = False
    ends_seen: int = 0
    ends_acknowledged: int = 0
    unnoted_ends: dict[int, work.RunName] = field(default_factory=dict)

    def hasten(self, now: float) -> None:
        """Let the next renewal go out as soon as the last is answered."""
        self.renew_at = min(self.renew_at, now)

    def clock_now_ms(self, now: float) -> int:
        """Return the executor's clock as far as it is known."""
        return self.clock_ms + int((now - self.clock_at) * MS_PER_S)

    def note_clock(self, now: float, clock_ms: int) -> None:
        """Take a reading of the executor's clock."""
        self.clock_ms = clock_ms
        self.clock_at = now

    @property
    def noted_upto(self) -> int:
        """Return the number up to which all ends have been noted."""
        if self.unnoted_ends:
            return min(self.unnoted_ends) - 1
        return self.ends_seen


@dataclass(slots=True)
class Health:
    """Hold whether the executor gets tasks.

    `progressed_at` is when some run went on last. While `on_trial`, it gets
    one task at a time.
    """

    progressed_at: float = _NEVER
    suspended: bool = False
    suspended_until: float = _NEVER
    on_trial: bool = False


@dataclass(slots=True)
class WorkerState:
    """Hold all state of an agent; its reducer mutates it in place."""

    identity: WorkerIdentity
    timing: WorkerTiming
    fence: int
    report: ExecutorSeen | None = None
    lease: Lease = field(default_factory=Lease)
    health: Health = field(default_factory=Health)
    runs: dict[str, Run] = field(default_factory=dict)
    # Runs that no message of this process started, with the last stop sent.
    strays: dict[work.RunName, float] = field(default_factory=dict)
    ends: dict[work.RunName, UnnotedEnd] = field(default_factory=dict)
    links: dict[str, EntryLink] = field(default_factory=dict)
    lost_owners: dict[str, float] = field(default_factory=dict)
    leaving: bool = False
    exit_at: float = float('inf')
    exited: bool = False

    @property
    def executor(self) -> Executor | None:
        """Return the address of the executor's present life."""
        if self.report is None:
            return None
        return Executor(self.report.executor, self.report.address)

    @property
    def accepting(self) -> bool:
        """Tell whether tasks may start."""
        report = self.report
        if report is None or report.draining or self.leaving:
            return False
        if self.health.suspended:
            return False
        is_silent = self.lease.silent_since is not None
        return self.lease.surveyed and not self.strays and not is_silent

    @property
    def free(self) -> Room:
        """Return the room that no run occupies."""
        if self.report is None:
            return NO_ROOM
        free = self.report.capacity
        for run in self.runs.values():
            free = free.minus(run.need)
        return free

    def find_link(self, owner: str) -> str:
        """Return the link to an entry's incarnation, or an empty text."""
        for name, link in self.links.items():
            if link.incarnation == owner:
                return name
        return ''
