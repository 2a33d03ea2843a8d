"""Turn away jobs that cost callers least while there is too little room.

A job is refused only while none of its tasks can have started. The costs follow
from the priority of the queue and the work of the job; queues and sizes that
were turned away more often than others are spared.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers
from savoryrudder.dispatch import calibration
from savoryrudder.dispatch import drain_rate
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import shedding
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import Queue

# Queued jobs that are examined, those that have to start first.
_MAX_EXAMINED: Final = 64
# Cost of a job relative to one of the next higher priority.
_PRIORITY_FACTOR: Final = 0.5
# Part of a job's cost that does not depend on its size.
_FIXED_COST_SHARE: Final = 0.3
# Ranks the jobs of a guarded queue or size behind all others.
_GUARDED_COST_FACTOR: Final = 1000


def record_arrival(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
    queue: Queue,
) -> None:
    """Count a job that this entry accepts or refuses."""
    request = calibration.correct_request(state, queue, event.job)
    work_cpu_ms = admission.needed_work(request)
    state.refusal_shares.record_arrival(queue, work_cpu_ms, turn.now)


def make_room(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
    queue: Queue,
) -> bool:
    """Turn away waiting jobs for one that arrives, if that costs less.

    Returns whether there is room for it now. None is turned away for a job that
    another entry hands over.
    """
    if event.request_id in state.foreign_requests:
        return False
    arriving = _arriving_candidate(state, event, queue)
    removals = _removals_for(state, turn.now, arriving, queue.service)
    if removals is None:
        return False
    _turn_away(state, turn, removals)
    return True


def record_refusal(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
    queue: Queue,
) -> None:
    """Count and log a job that was refused on arrival for want of room."""
    arriving = _arriving_candidate(state, event, queue)
    request = calibration.correct_request(state, queue, event.job)
    work_cpu_ms = admission.needed_work(request)
    state.refusal_shares.record_refusal(queue, work_cpu_ms, turn.now)
    turn.count('jobs_shed_arriving')
    wait_s = admission.predicted_wait_s(state, queue, request, turn.now)
    _log(turn, arriving, queue, late=arriving.job_id, wait_s=wait_s)


def answer_hopeless(state: DispatchState, turn: Turn) -> None:
    """Answer queued jobs that are past their time limit, or will be."""
    jobs.answer_overdue(state, turn)
    if _may_gain_agents(state, turn.now):
        return
    for service in sorted({job.queue.service for job in _queued_jobs(state)}):
        if state.capacity.has_agents(service):
            _turn_away_waiting(state, turn, service)


def _may_gain_agents(state: DispatchState, now: float) -> bool:
    """Return whether agents may be linking after a start or an isolation."""
    linked_by = state.isolated_at + state.timing.warm_up_s
    return now < max(state.warm_up_until, linked_by)


def _turn_away_waiting(
    state: DispatchState,
    turn: Turn,
    service: str,
) -> None:
    removals = shedding.choose_removals(
        _waiting_candidates(state, turn.now, service),
        _room(state, service, turn.now),
        turn.now,
    )
    _turn_away(state, turn, removals)


def _removals_for(
    state: DispatchState,
    now: float,
    arriving: shedding.Candidate,
    service: str,
) -> list[shedding.Removal] | None:
    waiting = _waiting_candidates(state, now, service)
    is_partial = len(state.job_queue) > _MAX_EXAMINED
    if is_partial and (
        not waiting or waiting[-1].latest_start < arriving.latest_start
    ):
        # It would start after jobs that are not examined.
        return None
    return shedding.choose_removals_for(
        arriving,
        waiting,
        _room(state, service, now),
        now,
    )


def _turn_away(
    state: DispatchState,
    turn: Turn,
    removals: Iterable[shedding.Removal],
) -> None:
    for removal in removals:
        turned_away, late, wait_s = removal
        job = state.jobs[turned_away.job_id]
        is_late_itself = turned_away is late
        turn.count('jobs_given_up' if is_late_itself else 'jobs_shed_waiting')
        _log(turn, turned_away, job.queue, late=late.job_id, wait_s=wait_s)
        refusal = answers.Answer(
            answers.OVERLOADED,
            'no room in time',
            admission.retry_after_s(
                state,
                max(turn.now + wait_s - late.start_by, 0),
            ),
        )
        jobs.answer(state, turn, job, refusal)


def _log(
    turn: Turn,
    candidate: shedding.Candidate,
    queue: Queue,
    *,
    late: str,
    wait_s: float,
) -> None:
    turn.log(
        'job-turned-away',
        job=candidate.job_id,
        queue=queue.name,
        priority=queue.priority,
        late=late,
        wait_ms=int(wait_s * MS_PER_S),
        work_cpu_ms=int(candidate.work_cpu_ms),
        cost=int(candidate.cost),
    )


def _room(state: DispatchState, service: str, now: float) -> shedding.Room:
    return shedding.Room(
        state.capacity.free_cpu(service),
        int(drain_rate.expected_cpu(state, service, now)),
    )


def _queued_jobs(state: DispatchState) -> list[Job]:
    return [
        state.jobs[job_id]
        for _, _, job_id in islice(state.job_queue, _MAX_EXAMINED)
    ]


def _waiting_candidates(
    state: DispatchState,
    now: float,
    service: str,
) -> list[shedding.Candidate]:
    return [
        _waiting_candidate(state, now, job)
        for job in _queued_jobs(state)
        if job.queue.service == service
    ]


def _waiting_candidate(
    state: DispatchState,
    now: float,
    job: Job,
) -> shedding.Candidate:
    return shedding.Candidate(
        job.request.job_id,
        job.latest_start,
        job.sequence_number,
        job.latest_start,
        admission.unstarted_work(job),
        (job.objective_s - (job.latest_start - job.arrived_at)) * MS_PER_S,
        _cost(state, job.queue, admission.whole_work(job), now),
        refusable=not job.may_have_run and not job.outstanding,
    )


def _arriving_candidate(
    state: DispatchState,
    event: JobSubmitted,
    queue: Queue,
) -> shedding.Candidate:
    request = calibration.correct_request(state, queue, event.job)
    work_cpu_ms = admission.needed_work(request)
    observed = state.run_times.calibration_of(queue.name)
    return shedding.Candidate(
        request.job_id,
        admission.latest_start(queue, request, event.now),
        state.jobs_created + 1,
        event.now + admission.max_wait_s(state, queue, request, event.now),
        observed.mean_excess * work_cpu_ms,
        admission.critical_path_s(request) * MS_PER_S,
        _cost(state, queue, work_cpu_ms, event.now),
        refusable=True,
    )


def _cost(
    state: DispatchState,
    queue: Queue,
    work_cpu_ms: int,
    now: float,
) -> float:
    mean_cpu_ms = state.refusal_shares.mean_size(queue.name)
    weighted_work = (
        _FIXED_COST_SHARE * mean_cpu_ms + (1 - _FIXED_COST_SHARE) * work_cpu_ms
    )
    cost = _PRIORITY_FACTOR**queue.priority * weighted_work
    if state.refusal_shares.is_guarded(queue.name, work_cpu_ms, now):
        cost *= _GUARDED_COST_FACTOR
    return cost
