"""Track submissions from acceptance to answer."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import reasons
from savoryrudder.entry.answers import job_answer
from savoryrudder.entry.answers import reply
from savoryrudder.entry.leases import may_act
from savoryrudder.entry.queueing import QueuedTask
from savoryrudder.entry.queueing import ServiceQueue
from savoryrudder.entry.retries import backoff_s
from savoryrudder.entry.state import QUEUED
from savoryrudder.entry.state import SENT
from savoryrudder.entry.state import Submission
from savoryrudder.entry.state import TaskState
from savoryrudder.protocol.messages import Withdraw
from savoryrudder.utils.identifiers import digest_of
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn
    from savoryrudder.policy.model import Policy
    from savoryrudder.protocol.messages import Job
    from savoryrudder.protocol.messages import TaskKey
    from savoryrudder.protocol.messages import TaskRecord

# Time beyond the deadline for the agent's own report to arrive.
SETTLE_GRACE_S: Final = 2
# A task rejected this often by agents has no upstream that can run it.
MAX_ATTEMPTS: Final = 5

# While jobs of up to this many tasks arrive, agents get no prefetch credits:
# these save messages but delay small jobs.
SMALL_JOB_TASKS: Final = 10

_FINAL_STATES: Final = frozenset(
    (
        reasons.COMPLETE,
        reasons.FAILED,
        reasons.UNKNOWN,
        'released',
    )
)


def create_submission(turn: Turn, identifier: bytes, job: Job) -> Submission:
    """Queue the tasks of an accepted job and apply records of them."""
    state = turn.state
    submission = Submission(
        identifier=identifier,
        partition=partition_of(identifier),
        job=job,
        deadline=turn.now + job.deadline_ms / MS_PER_S,
        tasks=[TaskState(QUEUED) for _ in job.tasks],
        unsettled=len(job.tasks),
        waiters={},
    )
    state.submissions[identifier] = submission
    submission.held_bytes = sum(len(task.payload) for task in job.tasks)
    state.payload_bytes += submission.held_bytes
    if len(job.tasks) <= SMALL_JOB_TASKS:
        state.last_small_job_at = turn.now
    heapq.heappush(state.deadlines, (submission.deadline, identifier))
    submission.work = sum(
        _expected_work(turn, job, index) for index, _ in enumerate(job.tasks)
    )
    for index, _ in enumerate(job.tasks):
        _enqueue(turn, submission, index)
    for task, record in state.recovered.pop(identifier, {}).items():
        if task < len(job.tasks):
            apply_record(turn, *record)
    return submission


def queue_for(turn: Turn, service: str) -> ServiceQueue:
    """Return the queue of a service, created on first use."""
    state = turn.state
    queue = state.queues.get(service)
    if queue is None:
        queue = ServiceQueue(*queue_settings(state.policy))
        state.queues[service] = queue
    return queue


def queue_settings(
    policy: Policy | None,
) -> tuple[dict[str, float], dict[str, float]]:
    """Return band shares and client weights, empty without a policy."""
    if policy is None:
        return {}, {}
    weights = {client.name: client.weight for client in policy.clients.values()}
    return policy.shares, weights


def apply_record(
    turn: Turn,
    agent: str,
    incarnation: str,
    record: TaskRecord,
) -> bool:
    """Apply an agent's record of a task; tell whether it was applicable."""
    submission = turn.state.submissions.get(record.submission)
    if submission is None or record.task >= len(submission.tasks):
        return False
    task = submission.tasks[record.task]
    if task.status == QUEUED:
        queue_for(turn, submission.job.service).remove(
            _queued_task(submission, record.task),
        )
        _mark_sent(turn, submission, record.task, agent, incarnation)
    if task.status != SENT or task.agent != agent:
        return False
    if record.state in _FINAL_STATES:
        _settle_from_record(turn, submission, record)
    return True


def settle_task(
    turn: Turn,
    submission: Submission,
    index: int,
    status: str,
    reason: str,
) -> None:
    """Record the end of one task and answer the job if it was the last."""
    task = submission.tasks[index]
    if task.status == SENT:
        _remove_outstanding(turn, task.agent, (submission.identifier, index))
    task.status = status
    task.reason = reason
    submission.unsettled -= 1
    if status != reasons.COMPLETE and not submission.failing:
        fail_remaining(turn, submission, reasons.JOB_FAILED)
    if not submission.unsettled and submission.answer is None:
        _answer_job(turn, submission)


def fail_remaining(turn: Turn, submission: Submission, reason: str) -> None:
    """Drop the queued tasks of a job and withdraw those sent."""
    submission.failing = True
    for index, task in enumerate(submission.tasks):
        if task.status == QUEUED:
            queue_for(turn, submission.job.service).remove(
                _queued_task(submission, index),
            )
            task.status = reasons.NOT_RUN
            task.reason = reason
            submission.unsettled -= 1
    _withdraw_sent(turn, submission)


def cancel(turn: Turn, submission: Submission) -> None:
    """Cancel a job; no more of its tasks start."""
    if submission.answer is not None:
        return
    fail_remaining(turn, submission, reasons.CANCELLED)
    if not submission.unsettled:
        _answer_job(turn, submission)


def requeue(
    turn: Turn,
    submission: Submission,
    index: int,
    reason: str,
) -> None:
    """Retry a task that provably did not start."""
    task = submission.tasks[index]
    key = (submission.identifier, index)
    if submission.failing or task.attempts >= MAX_ATTEMPTS:
        settle_task(turn, submission, index, reasons.NOT_RUN, reason)
        return
    if not turn.state.retries.take(turn.now):
        turn.count('retries_refused')
        settle_task(turn, submission, index, reasons.NOT_RUN, reason)
        return
    _remove_outstanding(turn, task.agent, key)
    turn.count('tasks_requeued')
    task.status = QUEUED
    pause_s = backoff_s(task.attempts, turn.state.rng.random())
    heapq.heappush(turn.state.delayed_tasks, (turn.now + pause_s, key))


def queue_delayed_retries(turn: Turn) -> None:
    """Queue the tasks whose retry backoff is over."""
    delayed = turn.state.delayed_tasks
    while delayed and delayed[0][0] <= turn.now:
        identifier, index = heapq.heappop(delayed)[1]
        submission = turn.state.submissions.get(identifier)
        if submission and submission.tasks[index].status == QUEUED:
            _enqueue(turn, submission, index)


def expire_deadlines(turn: Turn) -> None:
    """End tasks whose deadline has passed."""
    deadlines = turn.state.deadlines
    while deadlines and deadlines[0][0] <= turn.now:
        _, identifier = heapq.heappop(deadlines)
        submission = turn.state.submissions.get(identifier)
        if submission is None or submission.answer is not None:
            continue
        _expire(turn, submission)


def expire_retention(turn: Turn) -> None:
    """Forget answers and records after the retention window."""
    state = turn.state
    while state.retention_expiry and state.retention_expiry[0][0] <= turn.now:
        _, identifier = heapq.heappop(state.retention_expiry)
        state.recovered.pop(identifier, None)
        submission = state.submissions.get(identifier)
        if submission is not None and submission.answer is not None:
            drop_submission(turn, submission)


def drop_submission(turn: Turn, submission: Submission) -> None:
    """Remove a submission from the state."""
    state = turn.state
    state.submissions.pop(submission.identifier, None)
    state.payload_bytes -= submission.held_bytes
    for index, task in enumerate(submission.tasks):
        if task.status == QUEUED:
            queue_for(turn, submission.job.service).remove(
                _queued_task(submission, index),
            )
        elif task.status == SENT:
            _remove_outstanding(
                turn,
                task.agent,
                (submission.identifier, index),
            )
    if submission.answer is None:
        state.admission.job_ended(
            submission.job.client,
            len(submission.tasks),
        )


def _settle_from_record(
    turn: Turn,
    submission: Submission,
    record: TaskRecord,
) -> None:
    task = submission.tasks[record.task]
    status = record.state
    reason = record.reason
    if status == 'released':
        status, reason = reasons.UNKNOWN, reasons.RESULT_RELEASED
    if status == reasons.COMPLETE:
        if digest_of(record.result) == record.digest:
            task.result = record.result
        else:
            status, reason = reasons.UNKNOWN, reasons.DAMAGED_RESULT
    # A task that was stopped on request says nothing about its upstream.
    if status == reasons.COMPLETE or not submission.withdrawn:
        turn.state.fleet.record_outcome(
            task.agent,
            submission.job.tasks[record.task].operation,
            status,
            record.duration_ms / MS_PER_S,
            turn.now,
        )
    turn.count(f'tasks_{status}')
    settle_task(turn, submission, record.task, status, reason)


def _expire(turn: Turn, submission: Submission) -> None:
    in_grace_period = submission.deadline + SETTLE_GRACE_S > turn.now
    if not submission.failing:
        fail_remaining(turn, submission, reasons.DEADLINE_PASSED)
    for index, task in enumerate(submission.tasks):
        if task.status == SENT and not in_grace_period:
            settle_task(
                turn,
                submission,
                index,
                reasons.UNKNOWN,
                reasons.DEADLINE_PASSED,
            )
    if submission.unsettled:
        heapq.heappush(
            turn.state.deadlines,
            (submission.deadline + SETTLE_GRACE_S, submission.identifier),
        )
    elif submission.answer is None:
        _answer_job(turn, submission)


def _answer_job(turn: Turn, submission: Submission) -> None:
    state = turn.state
    answer = job_answer(submission, certain=may_act(state, turn.now))
    submission.answer = answer
    job = submission.job
    submission.job = job._replace(tasks=())
    for task in submission.tasks:
        task.result = b''
    result_bytes = sum(len(outcome.result) for outcome in answer.tasks)
    state.payload_bytes += result_bytes - submission.held_bytes
    submission.held_bytes = result_bytes
    state.admission.job_ended(job.client, len(submission.tasks))
    heapq.heappush(
        state.retention_expiry,
        (turn.now + state.identity.retention_s, submission.identifier),
    )
    turn.count(f'jobs_{answer.status}')
    waiters = submission.waiters
    submission.waiters = {}
    for waiter in waiters:
        reply(turn, waiter, answer)


def _enqueue(turn: Turn, submission: Submission, index: int) -> None:
    submission.tasks[index].status = QUEUED
    queue_for(turn, submission.job.service).push(
        _queued_task(submission, index, turn.now)._replace(
            work=_expected_work(turn, submission.job, index),
            job_work=submission.work,
        ),
    )


def _expected_work(turn: Turn, job: Job, index: int) -> float:
    state = turn.state
    service = state.policy.services.get(job.service) if state.policy else None
    return state.fleet.times.mean_s(service, job.tasks[index].operation)


def _queued_task(
    submission: Submission,
    index: int,
    now: float = 0,
) -> QueuedTask:
    job = submission.job
    return QueuedTask(
        submission.identifier,
        index,
        job.client,
        job.urgency,
        job.tasks[index].operation,
        submission.deadline,
        now,
    )


def _mark_sent(
    turn: Turn,
    submission: Submission,
    index: int,
    agent: str,
    incarnation: str,
) -> None:
    task = submission.tasks[index]
    task.status = SENT
    task.agent = agent
    task.incarnation = incarnation
    key = (submission.identifier, index)
    turn.state.outstanding.setdefault(agent, {})[key] = None


def _withdraw_sent(turn: Turn, submission: Submission) -> None:
    if submission.withdrawn:
        return
    submission.withdrawn = True
    batches: dict[str, list[TaskKey]] = {}
    for index, task in enumerate(submission.tasks):
        if task.status == SENT:
            batches.setdefault(task.agent, []).append(
                (submission.identifier, index),
            )
    for agent, keys in batches.items():
        if agent in turn.state.agents:
            turn.send(agent, Withdraw(tuple(keys)))


def _remove_outstanding(turn: Turn, agent: str, key: TaskKey) -> None:
    outstanding = turn.state.outstanding.get(agent)
    if outstanding is None:
        return
    outstanding.pop(key, None)
    if not outstanding:
        turn.state.outstanding.pop(agent)
