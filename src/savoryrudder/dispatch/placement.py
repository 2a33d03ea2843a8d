"""Choose executors for waiting tasks.

Jobs are served in the order of their latest start times. If the first task
fits on no executor, the suitable executor with the most free CPU is reserved
for it, so that a stream of smaller tasks does not starve it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.dispatch.eligibility import can_start
from savoryrudder.dispatch.eligibility import is_eligible
from savoryrudder.dispatch.health import avoided_links
from savoryrudder.dispatch.health import slowness_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import StepProgress
    from savoryrudder.dispatch.state import Task

# Number of blocked jobs after which the search ends. It limits how far other
# jobs may overtake the first blocked one.
_MAX_BLOCKED_JOBS: Final = 24
# Cost of a placement in another zone, in ms of task duration.
_OTHER_ZONE_COST_MS: Final = 6
# Cost factor of a placement outside the rack that holds the task's data.
_REMOTE_DATA_FACTOR: Final = 1.5
# Ranks executors on trial, and those the task avoids, behind all others.
_AVOIDED_PENALTY_MS: Final = 100_000
# A task on an executor on trial may have to be restarted after this time. Jobs
# that have to start sooner are not placed there, unless they are late already.
_TRIAL_RESTART_S: Final = 0.35


class Placement(NamedTuple):
    """Hold the choice of an agent, by its link, for a task."""

    job: Job
    task: Task
    link: str


def place_tasks(state: DispatchState, now: float) -> Iterator[Placement]:
    """Yield placements; the caller applies each one before the next."""
    if not state.job_queue:
        return
    avoided = avoided_links(state, now)
    reserved: set[str] = set()
    blocked_jobs = 0
    for _, _, job_id in tuple(state.job_queue):
        job = state.jobs[job_id]
        for progress in job.steps:
            if progress.unlocked:
                yield from _place_step(
                    _SearchContext(state, now, avoided, reserved),
                    job,
                    progress,
                )
        if job.has_waiting_tasks:
            blocked_jobs += 1
            if blocked_jobs > _MAX_BLOCKED_JOBS:
                return


class _SearchContext(NamedTuple):
    """Hold the inputs of the search for an executor."""

    state: DispatchState
    now: float
    avoided: set[str]
    # The executor that is kept for the first task that fits nowhere.
    reserved: set[str]


def _place_step(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
) -> Iterator[Placement]:
    while progress.waiting:
        task = progress.waiting[-1]
        link = _choose_link(search, job, progress, task)
        if not link:
            if not search.reserved:
                search.reserved.update(
                    _link_to_reserve(search.state, job, progress)
                )
            return
        yield Placement(job, task, link)


def _choose_link(
    search: _SearchContext,
    job: Job,
    progress: StepProgress,
    task: Task,
) -> str:
    best_link = ''
    best_cost = (float('inf'), 0)
    excluded = search.avoided | search.reserved
    for link, agent in _candidates(search.state.agents, job, progress):
        if link in excluded:
            continue
        if (
            agent.on_trial
            and 0 < job.latest_start - search.now < _TRIAL_RESTART_S
        ):
            continue
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
    slowness = max(agent.average_slowness, slowness_of(agent, now))
    cost_ms = step.estimate_ms * slowness
    report = agent.report
    if step.data_rack and report and step.data_rack not in report.labels:
        cost_ms *= _REMOTE_DATA_FACTOR
    if agent.zone != state.identity.zone:
        cost_ms += _OTHER_ZONE_COST_MS
    return cost_ms


def _candidates(
    agents: Mapping[str, AgentView],
    job: Job,
    progress: StepProgress,
) -> Iterator[tuple[str, AgentView]]:
    step = progress.step
    for link, agent in agents.items():
        if not can_start(agent, job.queue.service, step):
            continue
        if step.max_per_executor and _at_limit(job, progress, agent):
            continue
        yield link, agent


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
    ranked_links = [
        (agent.free.cpu, link)
        for link, agent in state.agents.items()
        if is_eligible(agent, job.queue.service, step)
        and agent.report
        and agent.report.capacity.covers(step.demand)
    ]
    return [max(ranked_links)[1]] if ranked_links else []
