"""Define the messages that entries and agents exchange."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol import work

# A submission identifier (16 bytes) and the task's position in its job.
TaskKey: TypeAlias = tuple[bytes, int]


class TaskSpec(NamedTuple):
    """Describe one task of a job."""

    operation: str
    payload: bytes


class Job(NamedTuple):
    """Hold a submitted job as its caller sent it.

    `digest` covers service, urgency and tasks and tells two bodies under one
    key apart. `deadline_ms` counts from the moment of submission.
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
    """Report how one task ended: complete, failed, not-run or unknown."""

    outcome: str
    result: bytes
    reason: str


class Answer(NamedTuple):
    """Hold the answer to a job.

    `status` is complete, failed, refused or running; `outcome` is empty for
    complete and running, else not-run, failed or unknown.
    """

    status: str
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int
    tasks: tuple[TaskOutcome, ...]


class TaskRecord(NamedTuple):
    """Report what an agent knows about one task that it accepted.

    `state` is waiting, running, complete, failed, unknown or released; a
    released record has given up its result to stay within the memory bound.
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
    """Tell an agent which entries are alive, as join addresses."""

    entry: str
    entries: tuple[str, ...]


class Claim(NamedTuple):
    """Claim partitions at an agent: pairs of partition and epoch."""

    request: int
    partitions: tuple[tuple[int, int], ...]


class Records(NamedTuple):
    """Answer a claim with the records held in the claimed partitions.

    `stale` lists the partitions for which the agent knows a higher epoch.
    """

    request: int
    records: tuple[TaskRecord, ...]
    stale: tuple[int, ...]


class Grant(NamedTuple):
    """Give an entry credits, each good for one start."""

    credits: int


class Recall(NamedTuple):
    """Ask an entry to return up to this many unused credits."""

    credits: int


class Return(NamedTuple):
    """Give unused credits back to an agent."""

    credits: int


class Demand(NamedTuple):
    """Report how many tasks an entry has queued for the agent's service.

    `prefetch` asks for so many credits beyond the slots; results may be held
    back meanwhile, since only large jobs wait.
    """

    queued: int
    prefetch: int = 0


class Start(NamedTuple):
    """Start one task; uses one credit.

    `deadline_ms` is the time left when the message was written.
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
    """Report that a start was not accepted and will never run here."""

    submission: bytes
    task: int
    reason: str


class Finished(NamedTuple):
    """Report the end of a task and grant `credits` new credits."""

    record: TaskRecord
    credits: int


class Acknowledge(NamedTuple):
    """Confirm that the results of these tasks are held by the entry."""

    tasks: tuple[TaskKey, ...]


class Withdraw(NamedTuple):
    """Ask an agent not to start these tasks, or to stop idempotent ones."""

    tasks: tuple[TaskKey, ...]


class Withdrawn(NamedTuple):
    """Answer a withdrawal: tasks that never started, and tasks that had."""

    unstarted: tuple[TaskKey, ...]
    started: tuple[TaskKey, ...]


class Heartbeat(NamedTuple):
    """Show that the sender is alive."""


class Leaving(NamedTuple):
    """Announce that an agent takes no new work, or ask it to stop."""


class RosterAgent(NamedTuple):
    """Name an agent that an entry may have used.

    `gone_ms` is the UTC time at which its last session ended, 0 while linked.
    """

    agent: str
    incarnation: str
    service: str
    gone_ms: int


class Roster(NamedTuple):
    """Tell a peer entry all agents that the sender may have used.

    Until `incomplete_until_ms` (UTC) the list may lack agents, since the sender
    took over from an entry whose roster it did not have.
    """

    sequence: int
    incomplete_until_ms: int
    agents: tuple[RosterAgent, ...]


class RosterHeld(NamedTuple):
    """Confirm a roster."""

    sequence: int


class Promise(NamedTuple):
    """Promise not to take over the receiver's partitions for a while.

    The validity counts from `echo_ms`, the receiver's own clock as of the last
    promise it sent, so that a promise read late is not taken for a fresh one.
    A validity of 0 promises nothing. `sent_ms` is the sender's clock.
    """

    validity_ms: int
    sent_ms: int
    echo_ms: int


class HeldAnswer(NamedTuple):
    """Carry the answer to an ended job that agents could not report."""

    submission: bytes
    digest: bytes
    answer: Answer


class HandOver(NamedTuple):
    """Tell a partition's new owner what it cannot learn from agents.

    `awaited` lists the agents whose records the former owner lacks; of all
    other agents that are gone, `answers` holds what ran there.
    """

    partition: int
    epoch: int
    roster_incomplete: bool
    awaited: tuple[RosterAgent, ...]
    answers: tuple[HeldAnswer, ...]


class Forward(NamedTuple):
    """Pass a caller's request to the owner of its partition.

    `kind` is submit, fetch, cancel or refused; `job` is set for submit only. A
    request of 0 expects no answer. `age_ms` is the time since the caller's
    request was read. With refused, a former owner tells its successor to
    refuse copies of a job for `wait_ms`.
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
    """Ask for the sender's configuration."""


class Config(NamedTuple):
    """Carry the operators' text at a revision."""

    revision: int
    text: str


Message: TypeAlias = (
    Hello
    | PeerHello
    | Welcome
    | Claim
    | Records
    | Grant
    | Recall
    | Return
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
    | RosterHeld
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
    | work.AgentHello
    | work.ExecutorReport
    | work.RunningTasks
    | work.StartTask
    | work.StopTask
    | work.TaskEnded
    | work.EndsNoted
    | work.SlowRun
)
