"""Build answers and send them to waiting callers."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import reasons
from savoryrudder.entry.effects import Reply
from savoryrudder.entry.state import Waiter
from savoryrudder.protocol.messages import Answer
from savoryrudder.protocol.messages import ForwardAnswer
from savoryrudder.protocol.messages import TaskOutcome

if TYPE_CHECKING:
    from savoryrudder.entry.state import Submission
    from savoryrudder.entry.turn import Turn

MIN_RETRY_AFTER_MS: Final = 1000
RUNNING_ANSWER: Final = Answer(reasons.RUNNING, '', '', '', 0, ())


def refusal(
    reason: str,
    detail: str,
    outcome: str = reasons.NOT_RUN,
    retry_after_ms: int = 0,
) -> Answer:
    """Build the answer to a request that was not accepted."""
    return Answer(
        reasons.REFUSED,
        outcome,
        reason,
        detail,
        retry_after_ms,
        (),
    )


def job_answer(submission: Submission, *, certain: bool) -> Answer:
    """Build the answer to a job whose tasks are all settled.

    `certain` is false when this entry may have lost the partition. No task is
    reported as not-run then, because another entry may have run it.
    """
    tasks = submission.tasks
    if all(task.status == reasons.COMPLETE for task in tasks):
        outcomes = tuple(
            TaskOutcome(reasons.COMPLETE, task.result, '') for task in tasks
        )
        return Answer(reasons.COMPLETE, '', '', '', 0, outcomes)
    cause = next(
        (
            task
            for task in tasks
            if task.status != reasons.COMPLETE
            and task.reason != reasons.JOB_FAILED
        ),
        tasks[0],
    )
    statuses = {task.status for task in tasks}
    return Answer(
        reasons.FAILED,
        _overall_outcome(statuses, certain=certain),
        cause.reason,
        '',
        0,
        tuple(
            TaskOutcome(
                _task_outcome(task.status, certain=certain),
                b'',
                task.reason,
            )
            for task in tasks
        ),
    )


def reply(turn: Turn, waiter: Waiter, answer: Answer) -> None:
    """Send an answer to one waiting request."""
    turn.state.waiting_requests.pop(waiter, None)
    if waiter.request_id <= 0:
        return
    if waiter.peer == '':
        turn.emit(Reply(waiter.request_id, answer))
    elif waiter.peer in turn.state.peers:
        turn.send(waiter.peer, ForwardAnswer(waiter.request_id, answer))


def reply_or_wait(
    turn: Turn,
    submission: Submission,
    waiter: Waiter,
    wait_until: float,
) -> None:
    """Answer a request now if possible, otherwise when the job ends.

    After `wait_until` the answer is that the job is still running.
    """
    answer = submission.answer or RUNNING_ANSWER
    if answer.status != reasons.RUNNING or wait_until <= turn.now:
        reply(turn, waiter, answer)
        return
    submission.waiters[waiter] = wait_until
    turn.state.waiting_requests[waiter] = submission.identifier
    heapq.heappush(turn.state.wait_limits, (wait_until, waiter))


def stop_waiting(turn: Turn, waiter: Waiter) -> None:
    """Remove a request from the waiters of its job."""
    identifier = turn.state.waiting_requests.pop(waiter, None)
    if identifier is None:
        return
    submission = turn.state.submissions.get(identifier)
    if submission is not None:
        submission.waiters.pop(waiter, None)


def expire_waits(turn: Turn) -> None:
    """Answer requests whose wait has expired: the job is still running."""
    limits = turn.state.wait_limits
    while limits and limits[0][0] <= turn.now:
        _, waiter = heapq.heappop(limits)
        if waiter in turn.state.waiting_requests:
            stop_waiting(turn, waiter)
            reply(turn, waiter, RUNNING_ANSWER)


def _overall_outcome(statuses: set[str], *, certain: bool) -> str:
    if reasons.UNKNOWN in statuses:
        return reasons.UNKNOWN
    if statuses == {reasons.NOT_RUN}:
        return reasons.NOT_RUN if certain else reasons.UNKNOWN
    return reasons.FAILED


def _task_outcome(status: str, *, certain: bool) -> str:
    if status == reasons.NOT_RUN and not certain:
        return reasons.UNKNOWN
    return status
