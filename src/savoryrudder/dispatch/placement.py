"""Choose executors for waiting tasks.

Jobs are served in the order of their latest start times. If the first task
fits on no executor, the suitable executor with the most free CPU is reserved
for it, so that a stream of smaller tasks does not starve it.

The tasks of a step go to few executors: a job is as late as its last task, so
each further executor is one more that may be slow, and one more message. For
the same reason, a task waits a moment if only a slow executor has room, and the
job would miss its objective there but not after the wait.
"""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.dispatch.admission import unstarted_work
from savoryrudder.dispatch.capacity import SAMPLE_SIZE
from savoryrudder.dispatch.eligibility import can_start
from savoryrudder.dispatch.eligibility import is_eligible
from savoryrudder.dispatch.health import expected_slowness
from savoryrudder.dispatch.health import is_avoided
from savoryrudder.dispatch.isolation import is_held_back
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import StepProgress
    from savoryrudder.dispatch.state import Task
    from savoryrudder.jobs.model import Resources
    from savoryrudder.jobs.model import Step

# Number of blocked jobs after which the search ends. It limits how far other
# jobs may overtake the first blocked one.
_MAX_BLOCKED_JOBS: Final = 24
# Cost of a placement in another zone, in ms of task duration. The traffic
# between zones is paid for.
_OTHER_ZONE_COST_MS: Final = 25
# Cost factor of a placement outside the rack that holds the task's data.
_REMOTE_DATA_FACTOR: Final = 1.5
# Tasks of a step follow the one before to the same executor while this share
# of its processors stays free.
_SPARE_SHARE: Final = 0.25
# Ranks cold executors behind the others.
_COLD_PENALTY_MS: Final = 10_000
# Ranks executors on trial, and those the task avoids, behind all others.
_AVOIDED_PENALTY_MS: Final = 100_000
# A task on an executor on trial may have to be restarted after this time. Jobs
# that have to start sooner are not placed there, unless they are late already.
_TRIAL_RESTART_S: Final = 0.35
# A task may wait for a faster executor if the others are faster by this factor
# on average, until this share of the job's objective has passed.
_DEFERRAL_SLOWNESS: Final = 1.4
_MAX_DEFERRED_SHARE: Final = 0.1
# Number of deferred steps after which the search ends for similar ones.
_MAX_DEFERRED_STEPS: Final = 4


class Placement(NamedTuple):
    """Hold the choice of an agent, by its link, for a task."""

    job: Job
    task: Task
    link: str


def place_tasks(state: DispatchState, now: float) -> Iterator[Placement]:
    """Yield placements; the caller applies each one before the next."""
    if not state.job_queue:
        return
    search = _SearchContext(state, now, set(), {}, Counter())
    blocked_jobs = 0
    for _, _, job_id in tuple(state.job_queue):
        job = state.jobs[job_id]
        if is_held_back(state, job, now):
            continue
        for progress in job.steps:
            if progress.unlocked:
                yield from _place_step(search, job, progress)
        if job.has_waiting_tasks:
            blocked_jobs += 1
            if blocked_jobs > _MAX_BLOCKED_JOBS:
                return


class _Constraints(NamedTuple):
    """Hold what excludes executors, apart from their free resources."""

    service: str
    required_label: str
    avoids_trials: bool


class _SearchContext(NamedTuple):
    """Hold the inputs of the search for an executor."""

    state: DispatchState
    now: float
    # The executor that is kept for the first task that fits nowhere.
    reserved: set[str]
    # Demands that fit nowhere; nothing larger does before the next turn.
    blocked: dict[_Constraints, Resources]
    # Numbers of steps that wait for a faster executor.
    deferred: Counter[_Constraints]


def _place_step(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
) -> Iterator[Placement]:
    link = ''
    constraints = _constraints_of(search, job, progress)
    while progress.waiting:
        task = progress.waiting[-1]
        if _is_blocked(search, constraints, progress.step):
            return
        if not link or not _has_ample_room(search, job, task, link):
            link = _choose_link(search, job, progress, task)
        if not link:
            _record_blocked(search, job, progress, constraints)
            return
        if _should_defer(search, job, progress, link):
            _record_deferred(search, progress.step, constraints)
            return
        yield Placement(job, task, link)


def _record_blocked(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
    constraints: _Constraints,
) -> None:
    if not progress.step.max_per_executor:
        search.blocked[constraints] = progress.step.demand
    if not search.reserved:
        search.reserved.update(_link_to_reserve(search.state, job, progress))


def _record_deferred(
    search: _SearchContext,
    step: Step,
    constraints: _Constraints,
) -> None:
    search.deferred[constraints] += 1
    if search.deferred[constraints] >= _MAX_DEFERRED_STEPS:
        search.blocked[constraints] = step.demand


def _constraints_of(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
) -> _Constraints:
    return _Constraints(
        job.queue.service,
        progress.step.required_label,
        _avoids_trials(search, job),
    )


def _is_blocked(
    search: _SearchContext,
    constraints: _Constraints,
    step: Step,
) -> bool:
    blocked_demand = search.blocked.get(constraints)
    return blocked_demand is not None and step.demand.covers(blocked_demand)


def _avoids_trials(search: _SearchContext, job: Job) -> bool:
    return 0 < job.latest_start - search.now < _TRIAL_RESTART_S


def _should_defer(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
    link: str,
) -> bool:
    """Return whether a task had better wait for a faster executor."""
    state = search.state
    slowness = expected_slowness(state.agents[link], search.now)
    if slowness < _DEFERRAL_SLOWNESS * state.typical_slowness:
        return False
    elapsed_s = search.now - job.arrived_at
    if elapsed_s > _MAX_DEFERRED_SHARE * job.objective_s:
        return False
    step = progress.step
    has_other_steps = any(
        other.remaining for other in job.steps if other is not progress
    )
    if has_other_steps or step.required_label:
        return False
    left_ms = (job.objective_s - elapsed_s) * MS_PER_S
    if left_ms >= step.estimate_ms * slowness:
        return False
    typical_ms = step.estimate_ms * state.typical_slowness
    return _expected_wait_ms(state, job) + typical_ms <= left_ms


def _expected_wait_ms(state: DispatchState, job: Job) -> float:
    """Return the wait until the job's last task starts, behind those before."""
    waiting_work: float = 0
    # Those ahead that are searched for in one turn.
    for _, _, job_id in state.job_queue[: _MAX_BLOCKED_JOBS + 1]:
        waiting_work += unstarted_work(state.jobs[job_id])
        if job_id == job.request.job_id:
            break
    share_cpu = max(state.capacity.share_cpu(job.queue.service), 1)
    return waiting_work * state.typical_slowness / share_cpu


def _has_ample_room(
    search: _SearchContext,
    job: Job,
    task: Task,
    link: str,
) -> bool:
    progress = job.steps[task.step_index]
    agent = search.state.agents[link]
    if agent.on_trial or agent.name in task.avoided_agents:
        return False
    if agent.report is None or not _is_suitable(search, job, progress, link):
        return False
    spare_cpu = agent.free.cpu - progress.step.demand.cpu
    return spare_cpu >= agent.report.capacity.cpu * _SPARE_SHARE


def _choose_link(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
    task: Task,
) -> str:
    best_link = ''
    best_cost = (float('inf'), 0)
    for link, agent in _candidates(search, job, progress):
        penalty_ms = _AVOIDED_PENALTY_MS * (
            agent.on_trial + (agent.name in task.avoided_agents)
        )
        cost = (
            penalty_ms + _cost_ms(search.state, progress, agent, search.now),
            -agent.free.cpu,
        )
        if cost < best_cost:
            best_link = link
            best_cost = cost
    return best_link


def _cost_ms(
    state: DispatchState,
    progress: StepProgress,
    agent: AgentView,
    now: float,
) -> float:
    step = progress.step
    cost_ms = step.estimate_ms * expected_slowness(agent, now)
    report = agent.report
    if step.data_rack and report and step.data_rack not in report.labels:
        cost_ms *= _REMOTE_DATA_FACTOR
    if agent.zone != state.identity.zone:
        cost_ms += _OTHER_ZONE_COST_MS
    if agent.cold:
        cost_ms += _COLD_PENALTY_MS
    return cost_ms


def _candidates(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
) -> Iterator[tuple[str, AgentView]]:
    ranking = search.state.capacity
    service = job.queue.service
    step = progress.step
    for links in (
        ranking.labelled_links(service, step.data_rack),
        *ranking.links_with_room(service, step.demand.cpu),
    ):
        suitable = (
            (link, search.state.agents[link])
            for link in links
            if _is_suitable(search, job, progress, link)
        )
        yield from islice(suitable, SAMPLE_SIZE)


def _is_suitable(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
    link: str,
) -> bool:
    if link in search.reserved:
        return False
    agent = search.state.agents[link]
    if not can_start(agent, job.queue.service, progress.step):
        return False
    if search.state.avoidance_enabled and is_avoided(agent, search.now):
        return False
    if agent.on_trial and _avoids_trials(search, job):
        return False
    limit = progress.step.max_per_executor
    return not limit or not _at_limit(job, progress, agent)


def _at_limit(job: Job, progress: StepProgress, agent: AgentView) -> bool:
    index = job.steps.index(progress)
    tasks_on_executor = sum(
        1
        for task in job.tasks.values()
        if task.step_index == index and task.agent == agent.name
    )
    return tasks_on_executor >= progress.step.max_per_executor


def _link_to_reserve(
    state: DispatchState,
    job: Job,
    progress: StepProgress,
) -> Iterable[str]:
    step = progress.step
    service = job.queue.service
    reservable = (
        link
        for link in state.capacity.freest_links(service)
        if is_eligible(state.agents[link], service, step)
        and _could_run(state.agents[link], step)
    )
    return islice(reservable, 1)


def _could_run(agent: AgentView, step: Step) -> bool:
    return agent.report is not None and agent.report.capacity.covers(
        step.demand
    )
