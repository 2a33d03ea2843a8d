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
from savoryrudder.jobs.model import JobRequest
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.jobs.model import Queue
    from savoryrudder.jobs.model import Step

_RETRY_SOON_S: Final = 1
# Maximum predicted wait as a share of the job's slack. The rest covers errors
# of the prediction; a longer queue would complete no more jobs, only later.
_MAX_WAIT_SHARE: Final = 0.6
_RETRY_ELSEWHERE_S: Final = 0.2


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
) -> answers.Answer | None:
    """Return the refusal of a job that cannot be accepted, or None."""
    return _refusal_for_corrected(
        state,
        queue,
        calibration.correct_request(state, queue, request),
        now,
    )


def _refusal_for_corrected(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
) -> answers.Answer | None:
    if state.draining and now + _objective_s(queue, request) > state.exit_at:
        return answers.Answer(
            answers.UNAVAILABLE,
            'entry is stopping',
            _RETRY_ELSEWHERE_S,
        )
    if now < state.warm_up_until:
        # Agents may still be connecting after the start, so the job is queued.
        return None
    if not state.capacity.has_agents(queue.service):
        return answers.Answer(
            answers.UNAVAILABLE,
            'no executor is available',
            _RETRY_SOON_S,
        )
    if not all(
        _fits_anywhere(state, queue.service, step) for step in request.steps
    ):
        return answers.Answer(
            answers.UNSUPPORTED,
            'a task needs more than any executor has',
        )
    wait_s = predicted_wait_s(state, queue, request, now)
    if wait_s > _MAX_WAIT_SHARE * _slack_s(queue, request):
        return answers.Answer(
            answers.OVERLOADED,
            f'tasks would wait {wait_s:.3f} s',
            max(wait_s, _RETRY_SOON_S),
        )
    return None


def predicted_wait_s(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
) -> float:
    """Return the predicted wait until the job's last task can start.

    Assumes that every entry uses an equal share of the executors' capacity, and
    that the estimates are corrected.
    """
    latest_start = now + _slack_s(queue, request)
    excess = state.run_times.calibration_of(queue.name).mean_excess
    work_cpu_ms = excess * sum(_step_work(step) for step in request.steps)
    for queued_latest_start, _, job_id in state.job_queue:
        if queued_latest_start > latest_start:
            break
        work_cpu_ms += unstarted_work(state.jobs[job_id])
    # Tasks that fit into the free resources start at once.
    free_cpu = state.capacity.free_cpu(queue.service)
    longest_ms = max(step.estimate_ms for step in request.steps)
    work_cpu_ms = max(work_cpu_ms - free_cpu * longest_ms, 0)
    share_cpu = max(state.capacity.share_cpu(queue.service), 1)
    return work_cpu_ms * state.typical_slowness / share_cpu / MS_PER_S


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


def _slack_s(queue: Queue, request: JobRequest) -> float:
    return _objective_s(queue, request) - critical_path_s(request)


def _objective_s(queue: Queue, request: JobRequest) -> float:
    return queue.stretch * critical_path_s(request) + queue.target_ms / MS_PER_S


def _fits_anywhere(state: DispatchState, service: str, step: Step) -> bool:
    for agent in state.agents.values():
        report = agent.report
        if report is None or report.service != service:
            continue
        if not report.capacity.covers(step.demand):
            continue
        if not step.required_label or step.required_label in report.labels:
            return True
    return False
