"""Control the admission of submitted jobs.

Under overload, a job whose tasks would start too late to meet its latency
objective is refused on arrival: queueing it would help neither that job nor
the jobs behind it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import calibration
from savoryrudder.dispatch import drain_rate
from savoryrudder.jobs.model import JobRequest
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.jobs.model import Queue
    from savoryrudder.jobs.model import Step

_RETRY_SOON_S: Final = 1
# Callers are told whole seconds, so a smaller spread would not divide them.
_RETRY_SPREAD_S: Final = 2
# Maximum predicted wait as a share of the job's slack. The rest covers errors
# of the prediction; a longer queue would complete no more jobs, only later.
_MAX_WAIT_SHARE: Final = 0.6
# The same while more urgent jobs are turned away.
_YIELDING_WAIT_SHARE: Final = 0.25
# The same for a job of another entry behind a queue. Several may hand over jobs
# at once, and must leave room in the queue for the callers of this one.
_MAX_FOREIGN_WAIT_SHARE: Final = 0.3
_RETRY_ELSEWHERE_S: Final = 0.2
# A task takes nearly a kilobyte, and each arrival looks at the queued steps.
MAX_OPEN_TASKS: Final = 20_000
_TOO_MANY_TASKS: Final = answers.Answer(
    answers.UNAVAILABLE,
    'too many tasks wait or run',
    _RETRY_SOON_S,
)
_NO_EXECUTOR: Final = answers.Answer(
    answers.UNAVAILABLE,
    'no executor is available',
    _RETRY_SOON_S,
)
_ALL_EVACUATED: Final = answers.Answer(
    answers.UNAVAILABLE,
    'no executor outside the evacuated zones is available',
    _RETRY_SOON_S,
)
_NEEDS_EVACUATED: Final = answers.Answer(
    answers.UNAVAILABLE,
    'the executors that can run a task are in evacuated zones',
    _RETRY_SOON_S,
)


def critical_path_s(request: JobRequest) -> float:
    """Return the estimated duration of the job's critical path."""
    end_times_ms: list[int] = []
    for step in request.steps:
        start_ms = max(
            (end_times_ms[predecessor] for predecessor in step.after),
            default=0,
        )
        end_times_ms.append(start_ms + step.estimate_ms)
    return max(end_times_ms, default=0) / MS_PER_S


def refusal_for(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
    *,
    is_foreign: bool = False,
) -> answers.Answer | None:
    """Return the refusal of a job that cannot be accepted, or None.

    A job that another entry hands over `is_foreign`.
    """
    return _refusal_for_corrected(
        state,
        queue,
        calibration.correct_request(state, queue, request),
        now,
        is_foreign=is_foreign,
    )


def _refusal_for_corrected(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
    *,
    is_foreign: bool,
) -> answers.Answer | None:
    if state.draining and now + _objective_s(queue, request) > state.exit_at:
        return answers.Answer(
            answers.UNAVAILABLE,
            'entry is stopping',
            _RETRY_ELSEWHERE_S,
        )
    added_tasks = sum(step.tasks for step in request.steps)
    if state.open_tasks + added_tasks > MAX_OPEN_TASKS:
        return _TOO_MANY_TASKS
    if now < state.warm_up_until:
        # Agents may still be connecting after the start, so the job is queued.
        return None
    refusal = refusal_without_executors(state, queue.service, request)
    if refusal is not None:
        return refusal
    wait_s = predicted_wait_s(state, queue, request, now)
    if wait_s == 0:
        return None
    limit_s = max_wait_s(state, queue, request, now)
    if is_foreign and state.job_queue:
        slack_s = _slack_s(queue, request)
        limit_s = min(limit_s, _MAX_FOREIGN_WAIT_SHARE * slack_s)
    excess_s = wait_s - limit_s
    return _overloaded(state, wait_s, excess_s) if excess_s > 0 else None


def refusal_without_executors(
    state: DispatchState,
    service: str,
    request: JobRequest,
) -> answers.Answer | None:
    """Return the refusal of a job that no usable executor can run, or None."""
    if not state.capacity.has_agents(service):
        is_evacuated = _has_evacuated(state, service)
        return _ALL_EVACUATED if is_evacuated else _NO_EXECUTOR
    if not all(_fits_anywhere(state, service, step) for step in request.steps):
        return answers.Answer(
            answers.UNSUPPORTED,
            'a task needs more than any executor has',
        )
    if state.evacuation.zones and not all(
        _fits_outside(state, service, step) for step in request.steps
    ):
        return _NEEDS_EVACUATED
    return None


def retry_after_s(state: DispatchState, backlog_s: float) -> float:
    """Return when to submit a job again that has no room.

    The queue has shrunk far enough after `backlog_s`. Callers who were refused
    together do not all return together.
    """
    spread_s = max(backlog_s, _RETRY_SPREAD_S)
    delay_s = backlog_s + state.rng.uniform(0, spread_s)
    return max(delay_s, _RETRY_SOON_S)


def is_for_want_of_capacity(refusal: answers.Answer) -> bool:
    """Return whether another entry may have the capacity that is missing."""
    return refusal.verdict == answers.OVERLOADED or refusal == _ALL_EVACUATED


def predicted_wait_s(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
) -> float:
    """Return the predicted wait until the job's last task can start.

    Assumes that the queue is worked off as fast as lately, or, if there was
    none, with this entry's share of the executors' capacity, and that the
    estimates are corrected.
    """
    latest_start = now + _slack_s(queue, request)
    excess = state.run_times.calibration_of(queue.name).mean_excess
    work_cpu_ms = excess * needed_work(request)
    for queued_latest_start, _, job_id in state.job_queue:
        if queued_latest_start > latest_start:
            break
        work_cpu_ms += unstarted_work(state.jobs[job_id])
    return _wait_s(state, queue.service, request, work_cpu_ms, now)


def _wait_s(
    state: DispatchState,
    service: str,
    request: JobRequest,
    work_cpu_ms: float,
    now: float,
) -> float:
    # Tasks that fit into the free resources start at once.
    free_cpu = state.capacity.free_cpu(service)
    longest_ms = max(step.estimate_ms for step in request.steps)
    queued_cpu_ms = max(work_cpu_ms - free_cpu * longest_ms, 0)
    drain_cpu = max(drain_rate.expected_cpu(state, service, now), 1)
    return queued_cpu_ms / drain_cpu / MS_PER_S


def _overloaded(
    state: DispatchState,
    wait_s: float,
    excess_s: float,
) -> answers.Answer:
    return answers.Answer(
        answers.OVERLOADED,
        f'tasks would wait {wait_s:.3f} s',
        retry_after_s(state, excess_s),
    )


def needed_work(request: JobRequest) -> int:
    """Return the estimated work of a whole job (`cpu` x ms)."""
    return sum(_step_work(step) for step in request.steps)


def whole_work(job: Job) -> int:
    """Return the estimated work of an accepted job (`cpu` x ms)."""
    return sum(_step_work(progress.step) for progress in job.steps)


def unstarted_work(job: Job) -> float:
    """Return the estimated work that has not started (`cpu` x ms)."""
    return job.mean_excess * sum(
        len(progress.waiting)
        * progress.step.demand.cpu
        * progress.step.estimate_ms
        for progress in job.steps
    )


def _step_work(step: Step) -> int:
    return step.tasks * step.demand.cpu * step.estimate_ms


def max_wait_s(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
) -> float:
    """Return the longest predicted wait with which a job is accepted.

    A job that should be spared may start at the last moment. While more urgent
    jobs are turned away, others hardly wait.
    """
    shares = state.refusal_shares
    slack_s = _slack_s(queue, request)
    if shares.is_guarded(queue.name, needed_work(request), now):
        return slack_s
    if shares.gives_way(queue, now):
        return _YIELDING_WAIT_SHARE * slack_s
    return _MAX_WAIT_SHARE * slack_s


def latest_start(queue: Queue, request: JobRequest, now: float) -> float:
    """Return when a job that arrives now has to start."""
    return now + _slack_s(queue, request)


def _slack_s(queue: Queue, request: JobRequest) -> float:
    return _objective_s(queue, request) - critical_path_s(request)


def _objective_s(queue: Queue, request: JobRequest) -> float:
    return queue.stretch * critical_path_s(request) + queue.target_ms / MS_PER_S


def _fits_anywhere(state: DispatchState, service: str, step: Step) -> bool:
    return any(
        _could_run(agent, service, step) for agent in state.agents.values()
    )


def _has_evacuated(state: DispatchState, service: str) -> bool:
    return any(
        agent.evacuated
        and agent.report is not None
        and agent.report.service == service
        for agent in state.agents.values()
    )


def _fits_outside(state: DispatchState, service: str, step: Step) -> bool:
    # Outside the evacuated zones.
    return any(
        not agent.evacuated and _could_run(agent, service, step)
        for agent in state.agents.values()
    )


def _could_run(agent: AgentView, service: str, step: Step) -> bool:
    report = agent.report
    if report is None or report.service != service:
        return False
    if not report.capacity.covers(step.demand):
        return False
    return not step.required_label or step.required_label in report.labels
