"""Define the messages that entries and agents exchange."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol import delegation
from savoryrudder.protocol import evacuation
from savoryrudder.protocol import relay
from savoryrudder.protocol import run_times
from savoryrudder.protocol import work

# A submission identifier (16 bytes) and the task's position in its job.
TaskKey: TypeAlias = tuple[bytes, int]


class TaskSpec(NamedTuple):
    """Describe one task of a job."""

    operation: str
    payload: bytes


class Job(NamedTuple):
    """Hold a submitted job as its caller sent it.

    `digest` covers service, urgency and tasks; it distinguishes two bodies
    under the same key. `deadline_ms` counts from the submission.
    """

    client: str
    key: str
    service: str
    urgency: str
    deadline_ms: int
    tasks: tuple[TaskSpec, ...]
    digest: bytes
    trace: str


class TaskOutcome(NamedTuple):
    """Report the outcome of a task: complete, failed, not-run or unknown."""

    outcome: str
    result: bytes
    reason: str


class Answer(NamedTuple):
    """Hold the answer to a job.

    `status` is complete, failed, refused or running; `outcome` is empty for
    complete and running, and otherwise not-run, failed or unknown.
    """

    status: str
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int
    tasks: tuple[TaskOutcome, ...]


class TaskRecord(NamedTuple):
    """Hold an agent's record of a task that it accepted.

    `state` is waiting, running, complete, failed, unknown or released; the
    result of a released record was dropped to stay within the memory bound.
    """

    submission: bytes
    task: int
    state: str
    result: bytes
    digest: bytes
    reason: str
    duration_ms: int


class Hello(NamedTuple):
    """Announce an agent and the upstream beside it."""

    agent: str
    incarnation: str
    service: str
    zone: str
    slots: int
    memory_mb: int
    operations: tuple[str, ...]
    leaving: bool


class PeerHello(NamedTuple):
    """Announce an entry, by its name and join address, to another entry."""

    entry: str
    address: str


class Welcome(NamedTuple):
    """Tell an agent the join addresses of the live entries."""

    entry: str
    entries: tuple[str, ...]


class Claim(NamedTuple):
    """Claim partitions at an agent, as pairs of partition and epoch."""

    request: int
    partitions: tuple[tuple[int, int], ...]


class Records(NamedTuple):
    """Answer a claim with the agent's records in the claimed partitions.

    `stale` lists the partitions for which the agent knows a higher epoch.
    """

    request: int
    records: tuple[TaskRecord, ...]
    stale: tuple[int, ...]


class GrantCredits(NamedTuple):
    """Grant credits to an entry; each allows one start."""

    credits: int


class RecallCredits(NamedTuple):
    """Ask an entry to return up to this many unused credits."""

    credits: int


class ReturnCredits(NamedTuple):
    """Return unused credits to an agent."""

    credits: int


class Demand(NamedTuple):
    """Report how many tasks an entry has queued for the agent's service.

    `prefetch` requests that many credits beyond the slots. While it is set,
    the agent may delay results, since only large jobs are waiting.
    """

    queued: int
    prefetch: int = 0


class Start(NamedTuple):
    """Start one task, for one credit.

    `deadline_ms` is the time left when the message was encoded.
    """

    submission: bytes
    task: int
    partition: int
    epoch: int
    operation: str
    payload: bytes
    deadline_ms: int
    idempotent: bool
    trace: str


class Rejected(NamedTuple):
    """Report a start that was rejected; the agent will never run it."""

    submission: bytes
    task: int
    reason: str


class Finished(NamedTuple):
    """Report the end of a task and grant `credits` new credits."""

    record: TaskRecord
    credits: int


class Acknowledge(NamedTuple):
    """Acknowledge that the entry has the results of these tasks."""

    tasks: tuple[TaskKey, ...]


class Withdraw(NamedTuple):
    """Ask an agent not to start these tasks, or to stop idempotent ones."""

    tasks: tuple[TaskKey, ...]


class Withdrawn(NamedTuple):
    """Answer a withdrawal; each task had started or will never start."""

    unstarted: tuple[TaskKey, ...]
    started: tuple[TaskKey, ...]


class Heartbeat(NamedTuple):
    """Show that the sender is alive."""


class Leaving(NamedTuple):
    """Announce that an agent takes no new tasks, or ask it to stop."""


class RosterAgent(NamedTuple):
    """Name an agent that an entry may have used.

    `disconnected_at_ms` is the UTC time at which its last session ended, 0
    while linked.
    """

    agent: str
    incarnation: str
    service: str
    disconnected_at_ms: int


class Roster(NamedTuple):
    """List for a peer entry all agents that the sender may have used.

    Until `incomplete_until_ms` (UTC) agents may be missing from the list, since
    the sender took over from an entry whose roster it did not have.
    """

    sequence: int
    incomplete_until_ms: int
    agents: tuple[RosterAgent, ...]


class RosterAcknowledged(NamedTuple):
    """Acknowledge a roster."""

    sequence: int


class Promise(NamedTuple):
    """Promise not to take over the receiver's partitions for a while.

    The validity counts from `echo_ms`, the `sent_ms` of the receiver's last
    promise, so that a promise that was delayed does not count as recent. A
    validity of 0 promises nothing. `sent_ms` is the sender's clock.
    """

    validity_ms: int
    sent_ms: int
    echo_ms: int


class RetainedAnswer(NamedTuple):
    """Hold the answer to an ended job that no agent can report any more."""

    submission: bytes
    digest: bytes
    answer: Answer


class HandOver(NamedTuple):
    """Tell a partition's new owner what it cannot learn from agents.

    `awaited` lists the agents whose records the former owner lacks; with
    `roster_incomplete`, there may be others. `answers` covers the jobs with
    tasks on all other agents that are gone.
    """

    partition: int
    epoch: int
    roster_incomplete: bool
    awaited: tuple[RosterAgent, ...]
    answers: tuple[RetainedAnswer, ...]


class Forward(NamedTuple):
    """Pass a caller's request to the owner of its partition.

    `kind` is submit, fetch, cancel or refused; `job` is set for submit only. A
    `request` of 0 expects no answer. `age_ms` is the time since the caller's
    request was read. With refused, a former owner tells its successor to
    refuse resubmissions of a job for `wait_ms`.
    """

    request: int
    kind: str
    client: str
    key: str
    job: Job | None
    wait_ms: int
    age_ms: int


class ForwardAnswer(NamedTuple):
    """Return the owner's answer to a forwarded request."""

    request: int
    answer: Answer


class FetchConfig(NamedTuple):
    """Request the receiver's configuration."""


class Config(NamedTuple):
    """Carry a revision of the operators' configuration text."""

    revision: int
    text: str


Message: TypeAlias = (
    Hello
    | PeerHello
    | Welcome
    | Claim
    | Records
    | GrantCredits
    | RecallCredits
    | ReturnCredits
    | Demand
    | Start
    | Rejected
    | Finished
    | Acknowledge
    | Withdraw
    | Withdrawn
    | Heartbeat
    | Leaving
    | Roster
    | RosterAcknowledged
    | Promise
    | HandOver
    | Forward
    | ForwardAnswer
    | FetchConfig
    | Config
    | work.EntryHello
    | work.JobsClaimed
    | work.JobsReleased
    | work.RelinquishJob
    | work.JobRelinquished
    | work.OrphanedJobs
    | work.AgentHello
    | work.ExecutorReport
    | work.RunningTasks
    | work.StartTask
    | work.StartTasks
    | work.StopTask
    | work.TaskEnded
    | work.EndsAcknowledged
    | work.SlowRun
    | delegation.EntryLoad
    | delegation.DelegateJob
    | delegation.DelegatedAnswer
    | delegation.WithdrawJob
    | relay.FindEntries
    | relay.EntryReachable
    | relay.EntryUnreachable
    | relay.RelayedClaims
    | evacuation.EvacuatedZones
    | run_times.RunTimesObserved
)
