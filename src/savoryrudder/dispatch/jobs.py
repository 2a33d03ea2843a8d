"""Manage the life cycle of jobs, from submission to the final answer."""

from __future__ import annotations

from bisect import bisect_left
from heapq import heappop
from heapq import heappush
from math import inf
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers
from savoryrudder.dispatch import calibration
from savoryrudder.dispatch.state import Job
from savoryrudder.dispatch.state import StepProgress
from savoryrudder.dispatch.state import Task
from savoryrudder.dispatch.state import TaskState
from savoryrudder.protocol import work
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.jobs.model import Queue

_RETRY_SOON_S: Final = 1
# A job without a started task is refused after this share of its objective, so
# that its caller still has time to submit it elsewhere.
_MAX_UNSTARTED_SHARE: Final = 0.25


def create(
    state: DispatchState,
    event: JobSubmitted,
    queue: Queue,
) -> Job:
    """Create a job and queue the tasks of its first steps."""
    request = event.job
    corrected = calibration.correct_request(state, queue, request)
    critical_path_s = admission.critical_path_s(corrected)
    objective_s = queue.stretch * critical_path_s + queue.target_ms / MS_PER_S
    state.jobs_created += 1
    job = Job(
        request,
        queue,
        event.now,
        objective_s,
        event.now + objective_s - critical_path_s,
        state.jobs_created,
        [],
        {},
    )
    for index, step in enumerate(corrected.steps):
        task_names = _task_names(request, index)
        tasks = [Task(task_name, index) for task_name in task_names]
        job.tasks.update((task.name, task) for task in tasks)
        job.steps.append(StepProgress(step, tasks, step.tasks))
    job.mean_excess = state.run_times.calibration_of(queue.name).mean_excess
    job.started_elsewhere = event.may_have_started
    if event.caller_timeout_s is not None:
        job.expires_at = event.now + event.caller_timeout_s
    state.jobs[request.job_id] = job
    state.open_tasks += len(job.tasks)
    state.record_claim(request.job_id)
    unlock_steps(job)
    enqueue(state, job)
    return job


def _task_names(request: JobRequest, step_index: int) -> list[str]:
    # Names are `job.occurrence.step.position`; the occurrence is 0 for jobs
    # that do not repeat. Reversed, because tasks are taken from the end.
    count = request.steps[step_index].tasks
    return [
        f'{request.job_id}.0.{step_index}.{position}'
        for position in reversed(range(count))
    ]


def unlock_steps(job: Job) -> None:
    """Unlock the steps whose predecessors are complete."""
    for progress in job.steps:
        if progress.unlocked:
            continue
        progress.unlocked = all(
            job.steps[predecessor].remaining == 0
            for predecessor in progress.step.after
        )


def enqueue(state: DispatchState, job: Job) -> None:
    """Queue a job with waiting tasks unless it is queued already."""
    if not job.has_waiting_tasks:
        return
    state.placement_due = True
    queue_item = (job.latest_start, job.sequence_number, job.request.job_id)
    position = bisect_left(state.job_queue, queue_item)
    if state.job_queue[position : position + 1] != [queue_item]:
        state.job_queue.insert(position, queue_item)
        _watch_start_deadline(state, job)


def dequeue(state: DispatchState, job: Job) -> None:
    """Remove a job from the queue, if it is queued."""
    queue_item = (job.latest_start, job.sequence_number, job.request.job_id)
    position = bisect_left(state.job_queue, queue_item)
    if state.job_queue[position : position + 1] == [queue_item]:
        state.job_queue.pop(position)


def answer(
    state: DispatchState,
    turn: Turn,
    job: Job,
    final_answer: answers.Answer,
) -> None:
    """Send the final answer to all callers of a job and stop its runs."""
    job.ended = True
    dequeue(state, job)
    for request_id in sorted(job.open_requests):
        state.open_requests.pop(request_id, None)
        turn.reply(request_id, final_answer)
    job.open_requests.clear()
    turn.count(f'jobs_{final_answer.verdict}')
    if final_answer.verdict == answers.OVERLOADED:
        state.refusal_shares.record_refusal(
            job.queue,
            admission.whole_work(job),
            turn.now,
        )
    elapsed_s = turn.now - job.arrived_at
    turn.observe(f'job_{final_answer.verdict}', elapsed_s)
    turn.log(
        'job-answered',
        job=job.request.job_id,
        queue=job.queue.name,
        verdict=final_answer.verdict,
        reason=final_answer.reason,
        elapsed_ms=int(elapsed_s * MS_PER_S),
        objective_ms=int(job.objective_s * MS_PER_S),
        unsettled=job.outstanding,
        **describe_capacity(state, job.queue),
    )
    if final_answer.verdict not in answers.RETRYABLE:
        state.recent_answers[job.request.job_id] = (turn.now, final_answer)
    stop_runs(state, turn, job)
    remove_if_settled(state, job)


def describe_capacity(state: DispatchState, queue: Queue) -> dict[str, int]:
    """Return what the entry knows of a queue's executors, for a log line.

    Processors are in millicores.
    """
    ranking = state.capacity
    return {
        'agents': ranking.count_agents(queue.service),
        'free_cpu': ranking.free_cpu(queue.service),
        'share_cpu': ranking.share_cpu(queue.service),
        'queued': len(state.job_queue),
    }


def stop_runs(state: DispatchState, turn: Turn, job: Job) -> None:
    """Ask agents to stop the runs of a job."""
    if not job.outstanding:
        return
    for task in job.tasks.values():
        link = state.links_by_agent.get(task.agent)
        if link is not None and task.state is TaskState.placed:
            turn.send(link, work.StopTask(*job.run_id_of(task)))


def remove_if_settled(state: DispatchState, job: Job) -> None:
    """Remove an ended job once none of its tasks can be running."""
    if job.ended and not job.outstanding:
        removed = state.jobs.pop(job.request.job_id, None)
        if removed is not None:
            state.open_tasks -= len(removed.tasks)
        state.record_release(job.request.job_id)


def answer_overdue(state: DispatchState, turn: Turn) -> None:
    """Answer queued jobs that are past their time limit.

    Jobs that have not run are refused, others are interrupted.
    """
    while state.start_deadlines and state.start_deadlines[0][0] <= turn.now:
        _, job_id = heappop(state.start_deadlines)
        job = state.jobs.get(job_id)
        if job is None or not _is_queued(state, job):
            continue
        if _start_deadline(job) > turn.now:
            # The job has started, or another caller waits for it, since.
            _watch_start_deadline(state, job)
        elif job.started_at is None:
            answer(state, turn, job, _overdue_answer(job))
        else:
            interruption = answers.Answer(answers.INTERRUPTED, 'time limit')
            answer(state, turn, job, interruption)


def _watch_start_deadline(state: DispatchState, job: Job) -> None:
    deadline = _start_deadline(job)
    if deadline < inf:
        heappush(state.start_deadlines, (deadline, job.request.job_id))


def _is_queued(state: DispatchState, job: Job) -> bool:
    return not job.ended and job.has_waiting_tasks


def _overdue_answer(job: Job) -> answers.Answer:
    reason = 'no room in time'
    if job.may_have_run:
        return answers.Answer(answers.INTERRUPTED, reason)
    return answers.Answer(answers.OVERLOADED, reason, _RETRY_SOON_S)


def _start_deadline(job: Job) -> float:
    if job.started_at is not None:
        return job.expires_at
    return min(
        job.latest_start,
        job.expires_at,
        job.arrived_at + _MAX_UNSTARTED_SHARE * job.objective_s,
    )


def expire_answers(state: DispatchState, now: float) -> None:
    """Remove answers that are older than the retention time.

    No resubmission of their jobs is expected any more.
    """
    oldest = now - state.timing.answer_retention_s
    while state.recent_answers:
        job_id = next(iter(state.recent_answers))
        if state.recent_answers[job_id][0] > oldest:
            return
        state.recent_answers.pop(job_id)
