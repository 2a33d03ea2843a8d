"""Answer callers who ask for the state of a job, or cancel it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import contested
from savoryrudder.dispatch import delegation
from savoryrudder.dispatch import jobs

if TYPE_CHECKING:
    from savoryrudder.dispatch import events
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import Queue

_RETRY_SOON_S: Final = 1


def answer_query(
    state: DispatchState,
    turn: Turn,
    event: events.JobQueried,
) -> None:
    """Answer with the state of a job, or the length of a queue."""
    target = _resolve_path(state, event.host, event.path)
    if isinstance(target, answers.Answer):
        turn.reply(event.request_id, target)
        return
    queue, job_id = target
    if not job_id:
        waiting = sum(
            1
            for job in state.jobs.values()
            if job.queue.name == queue.name and job.started_at is None
        )
        turn.reply(event.request_id, answers.QueueLength(waiting))
        return
    turn.reply(event.request_id, _job_status(state, job_id))


def cancel(
    state: DispatchState,
    turn: Turn,
    event: events.JobCancelled,
) -> None:
    """Cancel a job, and answer its callers."""
    target = _resolve_path(state, event.host, event.path)
    if isinstance(target, answers.Answer):
        turn.reply(event.request_id, target)
        return
    _, job_id = target
    cancelled = answers.Answer(answers.CANCELLED)
    if delegation.answer_callers(state, turn, job_id, cancelled):
        turn.reply(event.request_id, cancelled)
        return
    if contested.cancel(state, turn, job_id, cancelled):
        turn.reply(event.request_id, cancelled)
        return
    job = state.jobs.get(job_id)
    if job is None or job.ended:
        turn.reply(event.request_id, answers.Answer(answers.UNKNOWN_JOB))
        return
    jobs.answer(state, turn, job, cancelled)
    turn.reply(event.request_id, cancelled)


def _resolve_path(
    state: DispatchState,
    host: str,
    path: str,
) -> tuple[Queue, str] | answers.Answer:
    if state.configuration.version < 0:
        return answers.Answer(
            answers.UNAVAILABLE,
            'no configuration yet',
            _RETRY_SOON_S,
        )
    queue = state.configuration.find_queue(host, path)
    if queue is None:
        return answers.Answer(answers.UNKNOWN_QUEUE)
    return queue, path[len(queue.prefix) :]


def _job_status(state: DispatchState, job_id: str) -> answers.Answer:
    if job_id in state.delegations:
        return answers.Answer(answers.RUNNING)
    if job_id in state.contested_jobs:
        return answers.Answer(answers.PENDING)
    job = state.jobs.get(job_id)
    if job is None or job.ended:
        recent_answer = state.recent_answers.get(job_id)
        return (
            recent_answer[1]
            if recent_answer
            else answers.Answer(answers.UNKNOWN_JOB)
        )
    is_running = job.started_at is not None
    return answers.Answer(answers.RUNNING if is_running else answers.PENDING)
