"""Define the state of an agent and its executor."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.jobs.model import NO_RESOURCES
from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import UNREAD_ZONES
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.worker.effects import ExecutorInstance
from savoryrudder.worker.lease import MAX_CLOCK_DRIFT
from savoryrudder.worker.lease import Health
from savoryrudder.worker.lease import Lease
from savoryrudder.worker.shares import RecentWork
from savoryrudder.worker.stop_calls import StopCalls

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.worker.events import ExecutorHeartbeat

# Allows for timer delays and the network delay to the executor.
_EXPIRY_MARGIN_S: Final = 0.05
_NEVER: Final = float('-inf')


class WorkerIdentity(NamedTuple):
    """Identify an agent and its zone.

    `incarnation` differs for each start of the process.
    """

    agent: str
    incarnation: str
    zone: str


class WorkerTiming(NamedTuple):
    """Define the intervals and timeouts of an agent, in seconds.

    `lease_s` is the longest lease that the executor grants. A run ends at
    most `stop_s` after a request to stop it. The lease of an executor that
    does not answer is extended for another `silent_renewal_s`. The runs of
    an entry are stopped `owner_grace_s` after the loss of its link; from
    `orphan_lease_s` after it, the lease is not extended until they have ended.
    Ends that are not acknowledged are kept for `retention_s`. The executor may
    carry out a call without an answer up to `late_call_s` after it was given
    up.
    """

    lease_s: float
    stop_s: float
    renewal_wait_s: float = 0.1
    silent_renewal_s: float = 0
    stop_retry_s: float = 0.25
    owner_grace_s: float = 0.3
    retention_s: float = 30
    orphan_lease_s: float = 0.6
    late_call_s: float = 12

    @property
    def expiry_s(self) -> float:
        """Return how long after a renewal the lease has surely expired."""
        return self.lease_s / (1 - MAX_CLOCK_DRIFT) + _EXPIRY_MARGIN_S


class EndKey(NamedTuple):
    """Identify the end of a run among those of all owners."""

    owner: str
    run_id: work.RunId


class Phase(Enum):
    """Enumerate the phases of a run."""

    starting = 'starting'
    running = 'running'
    stopping = 'stopping'


@dataclass(slots=True)
class Run:
    """Track a run of a task that occupies capacity of the executor.

    `end_reported` is set once its end was reported to the owner. The capacity
    stays occupied until the executor confirms that the run has ended. `fence`
    is the fencing token of its start.
    """

    task: str
    number: int
    job_number: int
    owner: str
    demand: Resources
    durable: bool
    estimate_s: float
    started_at: float
    percent: int = 0
    progressed_at: float = _NEVER
    slow_reported: bool = False
    stuck_reported: bool = False
    phase: Phase = Phase.starting
    start_confirmed_at: float = _NEVER
    start_unanswered_at: float = _NEVER
    stop_confirmed_at: float = _NEVER
    end_reported: bool = False
    fence: int = 0

    @property
    def key(self) -> work.RunKey:
        """Return how the executor identifies the run."""
        return (self.task, self.number)

    @property
    def job(self) -> str:
        """Return the job of the run's task."""
        return work.job_of_task(self.task)

    @property
    def run_id(self) -> work.RunId:
        """Return how the owner identifies the run."""
        return work.RunId(self.task, self.number, self.job_number)

    @property
    def end_key(self) -> EndKey:
        """Return the key of the run's end."""
        return EndKey(self.owner, self.run_id)


class UnacknowledgedEnd(NamedTuple):
    """Hold the end of a run until its owner has acknowledged it."""

    owner: str
    ended_at: float
    message: work.TaskEnded


class SentReport(NamedTuple):
    """Hold what the last report to an entry said about the executor."""

    free: Resources
    accepting: bool
    on_trial: bool
    executor: str
    entries: int
    cold: bool
    evacuated: bool
    zones_revision: int
    share_cpu: int
    slowness: float
    sent_at: float


@dataclass(slots=True)
class EntryLink:
    """Track a link to an entry.

    `incarnation` is empty until the entry has sent its hello. `starts_seen`
    is the number of the last start that the entry sent on this link. The link
    `carries_work` while the entry has a run here. From `retired_at` on, the
    entry is asked for no more starts. `wanted_entries` are the names of other
    entries that it has lost, and `orphaned_jobs` what it was told of them last.
    `recent_work` is what the entry has asked to start here.
    """

    incarnation: str = ''
    entry: str = ''
    zone: str = ''
    wanted_entries: frozenset[str] = frozenset()
    carries_work: bool = True
    retired_at: float | None = None
    starts_seen: int = 0
    last_report: SentReport | None = None
    orphaned_jobs: tuple[str, ...] = ()
    recent_work: RecentWork = field(default_factory=RecentWork)

    @property
    def shares_executor(self) -> bool:
        """Return whether the entry may start tasks here."""
        return bool(self.incarnation) and self.retired_at is None


class OrphanBasis(NamedTuple):
    """Hold what the jobs without their owner depend on.

    The `owners` are those that are not linked.
    """

    owners: frozenset[str]
    job_changes: int


@dataclass(slots=True)
class Candidate:
    """Track an instance that has sent a heartbeat but answered no call yet.

    It was heard of at `since`. The next probe is due at `probe_at`, unless one
    is in flight.
    """

    heartbeat: ExecutorHeartbeat
    since: float
    probe_at: float
    probing: bool = False


@dataclass(slots=True)
class WorkerState:
    """Hold the whole state of an agent; the reducer mutates it in place."""

    identity: WorkerIdentity
    timing: WorkerTiming
    fence: int
    heartbeat: ExecutorHeartbeat | None = None
    # Another instance that may have taken the place of the executor.
    candidate: Candidate | None = None
    # The last heartbeat of the executor that contradicts those before it.
    contradiction: ExecutorHeartbeat | None = None
    # When the executor signed off, unless it has been forgotten since.
    signed_off_at: float | None = None
    lease: Lease = field(default_factory=Lease)
    health: Health = field(default_factory=Health)
    runs: dict[str, Run] = field(default_factory=dict)
    # Runs on the executor that this process did not start, with the time at
    # which their stop was last requested or confirmed.
    stray_runs: dict[work.RunKey, float] = field(default_factory=dict)
    ends: dict[EndKey, UnacknowledgedEnd] = field(default_factory=dict)
    links: dict[str, EntryLink] = field(default_factory=dict)
    # Entries by incarnation, with the time of the loss of their links, whose
    # runs here have not ended yet.
    lost_owners: dict[str, float] = field(default_factory=dict)
    # The jobs of runs here whose owners are not linked, as told to the entries,
    # and what they were determined from.
    orphaned_jobs: tuple[str, ...] = ()
    orphan_basis: OrphanBasis | None = None
    # Increases when an owner has a run of another job, or the last one of a job
    # has ended, and when stray runs change.
    job_changes: int = 0
    # Set while the lease is not extended, for the sake of lost owners' runs.
    lease_withheld: bool = False
    # The newest set of evacuated zones that an entry has told.
    evacuation: EvacuatedZones = UNREAD_ZONES
    draining: bool = False
    exit_at: float = float('inf')
    exited: bool = False
    # The runs that the executor was asked to stop.
    stopping: dict[str, Run] = field(default_factory=dict)
    stop_calls: StopCalls = field(default_factory=StopCalls)
    _occupied: Resources = NO_RESOURCES
    _runs_by_owner: Counter[str] = field(default_factory=Counter)
    # Runs whose end has not been reported, by owner and job.
    _unreported: dict[str, Counter[str]] = field(default_factory=dict)

    @property
    def executor(self) -> ExecutorInstance | None:
        """Return the current instance of the executor, if there is one."""
        if self.heartbeat is None:
            return None
        return self.heartbeat.instance

    @property
    def accepting(self) -> bool:
        """Return whether tasks may start."""
        heartbeat = self.heartbeat
        if heartbeat is None or heartbeat.draining or self.draining:
            return False
        if self.signed_off_at is not None or self.evacuated:
            return False
        if heartbeat.started_ms != self.lease.started_ms:
            # The capacity of a new instance is known from its first heartbeat.
            return False
        if self.health.suspended or self.lease_withheld:
            # Each start would extend the lease.
            return False
        is_silent = self.lease.silent_since is not None
        return self.lease.reconciled and not self.stray_runs and not is_silent

    @property
    def evacuated(self) -> bool:
        """Return whether the zone of the executor is evacuated."""
        return self.identity.zone in self.evacuation.zones

    @property
    def free(self) -> Resources:
        """Return the capacity that no run occupies."""
        if self.heartbeat is None:
            return NO_RESOURCES
        return self.heartbeat.capacity.minus(self._occupied)

    def add_run(self, run: Run) -> None:
        """Track a run and occupy its capacity."""
        self.runs[run.task] = run
        self._occupied = self._occupied.plus(run.demand)
        self._runs_by_owner[run.owner] += 1
        jobs = self._unreported.setdefault(run.owner, Counter())
        jobs[run.job] += 1
        if jobs[run.job] == 1:
            self.job_changes += 1

    def remove_run(self, run: Run) -> None:
        """Stop tracking a run and release its capacity."""
        self.runs.pop(run.task)
        self.stopping.pop(run.task, None)
        self.mark_end_reported(run)
        self._occupied = self._occupied.minus(run.demand)
        self._runs_by_owner[run.owner] -= 1
        if not self._runs_by_owner[run.owner]:
            self._runs_by_owner.pop(run.owner)

    def add_stray_run(self, key: work.RunKey, now: float) -> None:
        """Track a run that this process did not start."""
        self.stray_runs[key] = now
        self.job_changes += 1

    def remove_stray_runs(self, keys: Iterable[work.RunKey]) -> None:
        """Stop tracking runs that this process did not start."""
        for key in tuple(keys):
            self.stray_runs.pop(key)
            self.job_changes += 1

    def mark_end_reported(self, run: Run) -> None:
        """Record that the end of a run was reported, or never will be."""
        if run.end_reported:
            return
        run.end_reported = True
        jobs = self._unreported[run.owner]
        jobs[run.job] -= 1
        if not jobs[run.job]:
            jobs.pop(run.job)
            self.job_changes += 1
        if not jobs:
            self._unreported.pop(run.owner)

    def jobs_of(self, owner: str) -> Iterable[str]:
        """Return the jobs of an owner's runs whose end is not reported."""
        return self._unreported.get(owner, ())

    def has_runs_of(self, owner: str) -> bool:
        """Return whether an entry's incarnation has a run here."""
        return owner in self._runs_by_owner

    @property
    def owners(self) -> set[str]:
        """Return the incarnations of the entries that have runs here."""
        return set(self._runs_by_owner)

    @property
    def linked_entries(self) -> set[str]:
        """Return the incarnations of the linked entries."""
        return {link.incarnation for link in self.links.values()}

    def find_link(self, owner: str) -> str:
        """Return the link to an entry's incarnation, or an empty string."""
        for name, link in self.links.items():
            if link.incarnation == owner:
                return name
        return ''
