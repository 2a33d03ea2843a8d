"""Define the state of the dispatch reducer of an entry."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import NamedTuple

from savoryrudder.dispatch.answers import Answer
from savoryrudder.dispatch.capacity import CapacityRanking
from savoryrudder.dispatch.drain_rate import DrainRate
from savoryrudder.dispatch.peers import ClaimChanges
from savoryrudder.dispatch.peers import ContestedJob
from savoryrudder.dispatch.peers import Delegation
from savoryrudder.dispatch.peers import ForeignRequest
from savoryrudder.dispatch.peers import OrphanedJob
from savoryrudder.dispatch.peers import PeerView
from savoryrudder.dispatch.peers import RelayedEntry
from savoryrudder.dispatch.refusal_shares import RefusalShares
from savoryrudder.dispatch.run_times import RunTimes
from savoryrudder.jobs.model import NO_CONFIGURATION
from savoryrudder.jobs.model import NO_RESOURCES
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Queue
from savoryrudder.jobs.model import Resources
from savoryrudder.jobs.model import Step
from savoryrudder.protocol.evacuation import UNREAD_ZONES
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.protocol.work import ExecutorReport
from savoryrudder.protocol.work import RunId


class DispatchIdentity(NamedTuple):
    """Identify an entry; `incarnation` differs for each start."""

    entry: str
    incarnation: str
    address: str
    zone: str


class DispatchTiming(NamedTuple):
    """Define the time limits of an entry, in seconds.

    The runs of a lost agent have ended after `settle_s`: by then it has noticed
    the silence of the link and stopped them, or their lease has expired.
    """

    settle_s: float
    answer_retention_s: float = 30
    # Intervals of the announcements of claims to other entries, in the zone
    # and elsewhere. Callers submit a job again only after a longer time, and
    # nearly always in their zone. Without changes an announcement is empty, and
    # as rare as elsewhere.
    announcement_s: float = 0.5
    remote_announcement_s: float = 1
    # Interval of the acknowledgements of ends to an agent that gets no starts.
    acknowledgement_s: float = 3
    # A caller submits a job again after a longer time, so that an entry that
    # took the job before has told so if it told its claims within this time.
    claims_validity_s: float = 1.2
    # Agents tell within this time whether they are linked with an entry.
    search_s: float = 0.3
    # Agents connect to an entry within this time after its start.
    warm_up_s: float = 1.2
    # The load balancer stops sending new connections within this time after
    # the entry reports not ready.
    balancer_delay_s: float = 2.5


class TaskState(Enum):
    """Enumerate the states of a task."""

    waiting = 'waiting'
    placed = 'placed'
    # Placed on an agent that was lost; it may still be running there.
    unsettled = 'unsettled'
    done = 'done'


@dataclass(slots=True)
class Task:
    """Track a task of a job; `run` is the number of its latest run."""

    name: str
    step_index: int
    state: TaskState = TaskState.waiting
    run: int = 0
    failures: int = 0
    agent: str = ''
    settled_at: float = 0
    moved: bool = False
    avoided_agents: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StepProgress:
    """Hold the waiting tasks of a step and the number of unfinished ones."""

    step: Step
    waiting: list[Task]
    remaining: int
    unlocked: bool = False


@dataclass(slots=True)
class Job:
    """Track a job that is unanswered or has tasks that may still be running.

    `objective_s` is the latency objective, counted from the arrival; to meet
    it, the job has to start by `latest_start`. `outstanding` counts the tasks
    that are placed or unsettled. A job that `started_elsewhere` may have run at
    another entry. Its tasks take `mean_excess` times their estimates on
    average, with the few that take far longer than a typical one.
    """

    request: JobRequest
    queue: Queue
    arrived_at: float
    objective_s: float
    latest_start: float
    sequence_number: int
    steps: list[StepProgress]
    tasks: dict[str, Task]
    open_requests: set[int] = field(default_factory=set)
    expires_at: float = float('inf')
    started_at: float | None = None
    started_elsewhere: bool = False
    outstanding: int = 0
    ended: bool = False
    mean_excess: float = 1

    @property
    def may_have_run(self) -> bool:
        """Return whether a refusal of the job might not be true."""
        return self.started_elsewhere or self.started_at is not None

    @property
    def has_waiting_tasks(self) -> bool:
        """Return whether a task of an unlocked step is waiting."""
        return any(step.waiting for step in self.steps if step.unlocked)

    def run_id_of(self, task: Task) -> RunId:
        """Return the identity of the latest run of a task."""
        return RunId(task.name, task.run, self.sequence_number)


class UnreportedStart(NamedTuple):
    """Hold a start that the reported free resources do not include yet."""

    run_id: RunId
    demand: Resources


@dataclass(slots=True)
class AgentView:
    """Hold an entry's view of an agent and the executor beside it.

    `unreported_starts` holds, by number, the starts that the reported free
    resources do not include yet. `reconciled` is set once the agent has listed
    its runs of tasks of this entry, and `runs` are those that have not ended.
    `reported_slowness` is the duration of the latest slow run relative to the
    estimate and is valid until `slow_until`. An agent
    that `batches` takes the starts of a step in one message. Runs of the
    `orphaned_jobs` may be going on there without their owner. An agent whose
    zone is `evacuated` gets no new tasks.
    """

    name: str
    incarnation: str
    zone: str
    report: ExecutorReport | None = None
    reconciled: bool = False
    starts_sent: int = 0
    unreported_starts: dict[int, UnreportedStart] = field(default_factory=dict)
    free: Resources = NO_RESOURCES
    reported_slowness: float = 1
    slow_until: float = 0
    avoided_until: float = 0
    consecutive_failures: int = 0
    runs: set[RunId] = field(default_factory=set)
    carries_work: bool = True
    batches: bool = False
    orphaned_jobs: frozenset[str] = frozenset()
    evacuated: bool = False

    @property
    def usable(self) -> bool:
        """Return whether tasks may be sent to the agent."""
        report = self.report
        if report is None or self.evacuated:
            return False
        return self.reconciled and report.accepting

    @property
    def on_trial(self) -> bool:
        """Return whether the executor is on trial, with one task at a time."""
        return self.report is not None and self.report.on_trial

    @property
    def cold(self) -> bool:
        """Return whether the executor is still slow after its start."""
        return self.report is not None and self.report.cold


@dataclass(slots=True)
class DispatchState:
    """Hold the whole state of an entry; the reducer mutates it in place."""

    identity: DispatchIdentity
    timing: DispatchTiming
    configuration: Configuration = NO_CONFIGURATION
    jobs: dict[str, Job] = field(default_factory=dict)
    # Number of the tasks of all jobs, which bounds the memory they take.
    open_tasks: int = 0
    # Queued jobs as (latest start, sequence number, job ID), sorted.
    job_queue: list[tuple[float, int, str]] = field(default_factory=list)
    # Times by which queued jobs have to start, as a heap of (time, job ID); it
    # may hold jobs that are queued no longer.
    start_deadlines: list[tuple[float, str]] = field(default_factory=list)
    # Job IDs by the number of the open request that waits for the answer.
    open_requests: dict[int, str] = field(default_factory=dict)
    # Final answers with their times, by job ID, for resubmissions.
    recent_answers: dict[str, tuple[float, Answer]] = field(
        default_factory=dict
    )
    agents: dict[str, AgentView] = field(default_factory=dict)
    evacuation: EvacuatedZones = UNREAD_ZONES
    # Links by the names of the agents at their other ends.
    links_by_agent: dict[str, str] = field(default_factory=dict)
    capacity: CapacityRanking = field(init=False)
    refusal_shares: RefusalShares = field(default_factory=RefusalShares)
    rng: random.Random = field(init=False)
    # Observed rates of the services whose tasks wait for room.
    drain_rates: dict[str, DrainRate] = field(default_factory=dict)
    # Set when a task may have become placeable since the last placement.
    placement_due: bool = False
    # Names of lost agents whose tasks may be unsettled.
    unsettled_agents: set[str] = field(default_factory=set)
    run_times: RunTimes = field(default_factory=RunTimes)
    run_times_told_at: float = 0
    # Slowness of the usable executors, by their mean speed.
    typical_slowness: float = 1
    # Not set while most executors look faulty, as the cause is not theirs.
    avoidance_enabled: bool = True
    peers: dict[str, PeerView] = field(default_factory=dict)
    # Links to other entries that carry work, as far as this one knows.
    working_peers: set[str] = field(default_factory=set)
    contested_jobs: dict[str, ContestedJob] = field(default_factory=dict)
    # Jobs of lost entries by their IDs.
    orphaned_jobs: dict[str, OrphanedJob] = field(default_factory=dict)
    # Jobs with runs at agents that have lost their owner: by job ID and the
    # agent's incarnation, when these have ended; infinity until it tells so.
    orphan_holders: dict[str, dict[str, float]] = field(default_factory=dict)
    # Entries whose links were lost, with the time, until they tell their jobs
    # again, and when the last link of this entry was lost.
    lost_peers: dict[str, float] = field(default_factory=dict)
    isolated_at: float = float('-inf')
    # Lost entries, by name, that are reached through agents or looked for.
    relayed_entries: dict[str, RelayedEntry] = field(default_factory=dict)
    # Links of the entries that wait until a job has stopped here, by job ID.
    relinquish_requests: dict[str, str] = field(default_factory=dict)
    # Ends of runs by link that are not acknowledged yet.
    unacknowledged_ends: dict[str, list[RunId]] = field(default_factory=dict)
    acknowledged_at: float = 0
    local_claim_changes: ClaimChanges = field(init=False)
    remote_claim_changes: ClaimChanges = field(init=False)
    # Jobs that other entries run for callers of this one, by job ID.
    delegations: dict[str, Delegation] = field(default_factory=dict)
    delegations_created: int = 0
    # Open requests of other entries whose jobs run here, by request number.
    foreign_requests: dict[int, ForeignRequest] = field(default_factory=dict)
    foreign_requests_created: int = 0
    # Share of time in which the event loop does not wait, and share of the
    # jobs that are delegated for it; the credit sums up to whole jobs.
    busy_share: float = 0
    delegated_share: float = 0
    delegation_credit: float = 0
    # Links without a hello message yet, and whether this entry initiated them.
    unidentified_links: dict[str, bool] = field(default_factory=dict)
    jobs_created: int = 0
    started_at: float = 0
    draining: bool = False
    exit_at: float = float('inf')
    new_connections_until: float = float('inf')
    idle_from: float = 0
    exited: bool = False

    def __post_init__(self) -> None:
        """Rank agents from the zone of this entry."""
        self.capacity = CapacityRanking(self.identity.zone)
        self.rng = random.Random(self.identity.incarnation)
        timing = self.timing
        self.local_claim_changes = ClaimChanges(
            timing.announcement_s,
            timing.remote_announcement_s,
        )
        self.remote_claim_changes = ClaimChanges(
            timing.remote_announcement_s,
            timing.remote_announcement_s,
        )

    @property
    def warm_up_until(self) -> float:
        """Return the time until which agents may not be connected yet."""
        return self.started_at + self.timing.warm_up_s

    def is_searching(self, now: float) -> bool:
        """Return whether it may soon be known if an entry lives."""
        return any(
            relayed.is_looked_for(now, self.timing.search_s)
            for relayed in self.relayed_entries.values()
        )

    def claims(self, job_id: str) -> bool:
        """Return whether other entries must not start a job unasked."""
        return job_id in self.jobs or job_id in self.contested_jobs

    def may_be_orphaned(self, job_id: str) -> bool:
        """Return whether runs of a lost entry's job may be going on."""
        return job_id in self.orphaned_jobs or job_id in self.orphan_holders

    def record_orphan(self, job_id: str) -> None:
        """Announce to the other entries that a job runs without its owner."""
        for changes in self.claim_changes:
            changes.orphaned.append(job_id)

    def record_claim(self, job_id: str) -> None:
        """Announce to the other entries that this one has a job."""
        for changes in self.claim_changes:
            changes.claimed.append(job_id)

    def record_release(self, job_id: str) -> None:
        """Announce to the other entries that this one has a job no more."""
        for changes in self.claim_changes:
            changes.released.append(job_id)

    @property
    def claim_changes(self) -> tuple[ClaimChanges, ClaimChanges]:
        """Return the changes to announce in the zone and elsewhere."""
        return self.local_claim_changes, self.remote_claim_changes

    @property
    def ready(self) -> bool:
        """Return whether the entry accepts jobs."""
        has_configuration = self.configuration.version >= 0
        return has_configuration and not self.draining and bool(self.agents)
