"""Follow jobs from their arrival to their answer."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers
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

_RETRY_AFTER_S: Final = 1
# A job of which no task has started after this share of its objective is
# refused: its caller can still go elsewhere.
_UNTRIED_SHARE: Final = 0.25


def create(
    state: DispatchState,
    event: JobSubmitted,
    queue: Queue,
) -> Job:
    """Take in a job; its first steps wait for room."""
    request = event.job
    ideal_s = admission.ideal_duration_s(request)
    objective_s = queue.stretch * ideal_s + queue.target_ms / MS_PER_S
    state.jobs_seen += 1
    job = Job(
        request,
        queue,
        event.now,
        objective_s,
        event.now + objective_s - ideal_s,
        state.jobs_seen,
        [],
        {},
    )
    for index, step in enumerate(request.steps):
        names = _task_names(request, index)
        tasks = [Task(name, index) for name in names]
        job.tasks.update((task.name, task) for task in tasks)
        job.steps.append(StepProgress(step, tasks, step.tasks))
    if event.patience_s is not None:
        job.expires_at = event.now + event.patience_s
    state.jobs[request.job] = job
    state.claim_changes.claimed.append(request.job)
    unlock_steps(job)
    enqueue(state, job)
    return job


def _task_names(request: JobRequest, index: int) -> list[str]:
    # The occurrence is 0 for jobs that do not repeat. Tasks are taken from
    # the end of the list.
    count = request.steps[index].tasks
    return [
        f'{request.job}.0.{index}.{position}'
        for position in reversed(range(count))
    ]


def unlock_steps(job: Job) -> None:
    """Let steps start whose earlier steps are complete."""
    for progress in job.steps:
        if progress.unlocked:
            continue
        progress.unlocked = all(
            job.steps[earlier].remaining == 0 for earlier in progress.step.after
        )


def enqueue(state: DispatchState, job: Job) -> None:
    """Put a job with waiting tasks into the queue, once."""
    entry = (job.latest_start, job.number, job.request.job)
    position = bisect_left(state.waiting, entry)
    is_queued = state.waiting[position : position + 1] == [entry]
    if job.has_waiting and not is_queued:
        insort(state.waiting, entry)


def dequeue(state: DispatchState, job: Job) -> None:
    """Take a job out of the queue."""
    entry = (job.latest_start, job.number, job.request.job)
    position = bisect_left(state.waiting, entry)
    if state.waiting[position : position + 1] == [entry]:
        state.waiting.pop(position)


def answer(
    state: DispatchState,
    turn: Turn,
    job: Job,
    found: answers.Answer,
) -> None:
    """Answer all callers of a job and stop what still runs."""
    job.ended = True
    dequeue(state, job)
    for request in sorted(job.callers):
        state.callers.pop(request, None)
        turn.reply(request, found)
    job.callers.clear()
    turn.count(f'jobs_{found.verdict}')
    elapsed_s = turn.now - job.arrived_at
    turn.observe(f'job_{found.verdict}', elapsed_s)
    turn.log(
        'job-answered',
        job=job.request.job,
        queue=job.queue.name,
        verdict=found.verdict,
        reason=found.reason,
        elapsed_ms=int(elapsed_s * MS_PER_S),
        objective_ms=int(job.objective_s * MS_PER_S),
        unsettled=job.out,
    )
    if found.verdict not in answers.UNREPEATED:
        state.answered[job.request.job] = (turn.now, found)
    stop_runs(state, turn, job)
    forget_if_settled(state, job)


def stop_runs(state: DispatchState, turn: Turn, job: Job) -> None:
    """Stop the runs of a job."""
    if not job.out:
        return
    links = {view.agent: link for link, view in state.agents.items()}
    for task in job.tasks.values():
        if task.state is TaskState.placed and task.agent in links:
            link = links[task.agent]
            turn.send(link, work.StopTask(task.name, task.run))


def forget_if_settled(state: DispatchState, job: Job) -> None:
    """Forget an ended job once none of its tasks may be running."""
    if job.ended and not job.out:
        state.jobs.pop(job.request.job, None)
        state.claim_changes.released.append(job.request.job)


def refuse_overdue(state: DispatchState, turn: Turn) -> None:
    """Refuse jobs that found no room while they had a good chance."""
    for _, _, name in tuple(state.waiting):
        job = state.jobs[name]
        if job.started_at is not None:
            if turn.now >= job.expires_at:
                late = answers.Answer(answers.INTERRUPTED, 'time limit')
                answer(state, turn, job, late)
        elif turn.now >= _refused_from(state, job):
            refusal = answers.Answer(
                answers.OVERLOADED,
                'no room in time',
                _RETRY_AFTER_S,
            )
            answer(state, turn, job, refusal)


def _refused_from(state: DispatchState, job: Job) -> float:
    last_chance = min(job.latest_start, job.expires_at)
    if job.arrived_at < state.warm_until:
        return last_chance
    return min(last_chance, job.arrived_at + _UNTRIED_SHARE * job.objective_s)


def forget_answers(state: DispatchState, now: float) -> None:
    """Forget answers that no late copy of a request will ask for."""
    oldest = now - state.timing.answer_memory_s
    while state.answered:
        name = next(iter(state.answered))
        if state.answered[name][0] > oldest:
            return
        state.answered.pop(name)
