"""Define the messages between entries and the agents beside executors."""

from __future__ import annotations

from itertools import chain
from itertools import repeat
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol.evacuation import UNREAD_ZONES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# A task's name and the number of its run, which an executor tells apart.
RunKey: TypeAlias = tuple[str, int]
# The job number of an earlier release, which sends none.
NO_JOB_NUMBER: Final = 0


def job_of_task(task: str) -> str:
    """Return the job of a task, which its name begins with."""
    return task.partition('.')[0]


class RunId(NamedTuple):
    """Identify a run among all runs of an entry's incarnation.

    A job that was removed and submitted again has another `job_number`, while
    the numbers of the runs of its tasks begin at 1 again.
    """

    task: str
    number: int
    job_number: int = NO_JOB_NUMBER


def _join_ids(
    keys: Iterable[RunKey],
    job_numbers: Iterable[int],
) -> tuple[RunId, ...]:
    numbers = chain(job_numbers, repeat(NO_JOB_NUMBER))
    return tuple(
        RunId(task, run, job_number)
        for (task, run), job_number in zip(keys, numbers, strict=False)
    )


def _split_ids(
    run_ids: Iterable[RunId],
) -> tuple[tuple[RunKey, ...], tuple[int, ...]]:
    identified = tuple(run_ids)
    keys = tuple((run_id.task, run_id.number) for run_id in identified)
    return keys, tuple(run_id.job_number for run_id in identified)


class EntryHello(NamedTuple):
    """Announce an entry to an agent or to another entry.

    `incarnation` differs for each start of the process.
    """

    entry: str
    incarnation: str
    address: str
    zone: str = ''


class JobsClaimed(NamedTuple):
    """Tell another entry which jobs the sender has accepted.

    The list is `complete` at the start of a link; later ones add to it. Runs of
    the `unsettled` jobs may be left at agents of an entry that was lost.
    """

    jobs: tuple[str, ...]
    complete: bool = False
    unsettled: tuple[str, ...] = ()


class JobsReleased(NamedTuple):
    """Tell another entry that no task of these jobs runs any more."""

    jobs: tuple[str, ...]


class RelinquishJob(NamedTuple):
    """Ask an entry to stop a job whose caller now waits at the sender."""

    job: str


class JobRelinquished(NamedTuple):
    """Confirm that no task of a job runs.

    `verdict` is empty unless the job had ended.
    """

    job: str
    verdict: str


class OrphanedJobs(NamedTuple):
    """Tell an entry which jobs have runs at the sender without their owner.

    The entry that started these runs is not linked there. They may be going on
    until a later list, which replaces the former one, leaves their jobs out.
    """

    jobs: tuple[str, ...]


class AgentHello(NamedTuple):
    """Announce an agent to an entry; one that `batches` takes `StartTasks`."""

    agent: str
    incarnation: str
    zone: str
    batches: bool = False


class ExecutorReport(NamedTuple):
    """Report the executor beside an agent and its free resources.

    `free` accounts for the receiver's `StartTask` messages up to the number
    `starts_seen`. An executor `on_trial` was suspended for a stall and takes
    one task at a time until one makes progress. Its capacity is shared by a
    number of `entries`; the receiver may count on `share_cpu` millicores of it,
    or on an equal share if that is 0. A `cold` executor is slow for a while
    after its start. Its zone is `evacuated` or not, as the agent was told at a
    `zones_revision`. `slowness` is the duration of recent runs relative to
    their estimates, as sent with the starts.
    """

    executor: str
    service: str
    labels: tuple[str, ...]
    capacity: Resources
    free: Resources
    accepting: bool
    starts_seen: int
    on_trial: bool = False
    entries: int = 1
    cold: bool = False
    evacuated: bool = False
    zones_revision: int = UNREAD_ZONES.revision
    share_cpu: int = 0
    slowness: float = 1


class RunningTasks(NamedTuple):
    """List the receiver's tasks at the agent, with their run numbers.

    Any other task that the receiver sent before is not running and will not
    start. `job_numbers` are those of the tasks, in their order.
    """

    tasks: tuple[RunKey, ...]
    job_numbers: tuple[int, ...] = ()

    @property
    def run_ids(self) -> tuple[RunId, ...]:
        """Return the identities of the runs."""
        return _join_ids(self.tasks, self.job_numbers)

    @classmethod
    def of(cls, run_ids: Iterable[RunId]) -> RunningTasks:
        """Return a message that lists runs."""
        return cls(*_split_ids(run_ids))


class StartTask(NamedTuple):
    """Start a task; `number` counts the starts sent on this session.

    With `durable`, the agent acknowledges the task's end to the executor only
    after the entry has stored it. All messages about the run carry its
    `job_number`.
    """

    number: int
    task: str
    run: int
    spec: str
    demand: Resources
    estimate_ms: int
    durable: bool
    job_number: int = NO_JOB_NUMBER

    @property
    def run_id(self) -> RunId:
        """Return the identity of the run."""
        return RunId(self.task, self.run, self.job_number)


class StartTasks(NamedTuple):
    """Start tasks of one step of a job; the fields are those of `StartTask`.

    The first start has the number `first_number`, and the others follow.
    """

    first_number: int
    tasks: tuple[RunKey, ...]
    spec: str
    demand: Resources
    estimate_ms: int
    durable: bool
    job_number: int = NO_JOB_NUMBER

    def each(self) -> Iterator[StartTask]:
        """Yield a message for each task."""
        for number, (task, run) in enumerate(self.tasks, self.first_number):
            yield StartTask(
                number,
                task,
                run,
                self.spec,
                self.demand,
                self.estimate_ms,
                self.durable,
                self.job_number,
            )


class StopTask(NamedTuple):
    """Stop a run of a task, whether it has started or not."""

    task: str
    run: int
    job_number: int = NO_JOB_NUMBER

    @property
    def run_id(self) -> RunId:
        """Return the identity of the run."""
        return RunId(*self)


class TaskEnded(NamedTuple):
    """Report the end of a run.

    `outcome` is one of `savoryrudder.worker.outcomes`; `duration_ms` counts
    from the start of the run.
    """

    task: str
    run: int
    outcome: str
    reason: str
    duration_ms: int
    job_number: int = NO_JOB_NUMBER

    @property
    def run_id(self) -> RunId:
        """Return the identity of the run."""
        return RunId(self.task, self.run, self.job_number)


class SlowRun(NamedTuple):
    """Report a run that takes far longer than estimated.

    `slowness` is the projected duration relative to the estimate;
    `remaining_ms` is -1 for a run that makes no progress. With `sound_executor`
    other runs there show that the executor is not slow.
    """

    task: str
    run: int
    slowness: float
    remaining_ms: int
    job_number: int = NO_JOB_NUMBER
    sound_executor: bool = False

    @property
    def run_id(self) -> RunId:
        """Return the identity of the run."""
        return RunId(self.task, self.run, self.job_number)


class EndsAcknowledged(NamedTuple):
    """Acknowledge the ends of runs; the agent may forget them."""

    ends: tuple[RunKey, ...]
    job_numbers: tuple[int, ...] = ()

    @property
    def run_ids(self) -> tuple[RunId, ...]:
        """Return the identities of the runs."""
        return _join_ids(self.ends, self.job_numbers)

    @classmethod
    def of(cls, run_ids: Iterable[RunId]) -> EndsAcknowledged:
        """Return a message that acknowledges the ends of runs."""
        return cls(*_split_ids(run_ids))
