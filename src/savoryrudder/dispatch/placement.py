"""Choose executors for waiting tasks.

Jobs go in the order in which they have to start to meet their objectives.
When the first waiting task finds no room, the executor with the most free
room is kept for it, so that a stream of smaller tasks does not starve it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.dispatch.health import avoided_links
from savoryrudder.dispatch.health import slowness_of
from savoryrudder.dispatch.room import may_run
from savoryrudder.dispatch.room import may_start

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import StepProgress
    from savoryrudder.dispatch.state import Task

# How many jobs behind the first one that waits may overtake it.
_OVERTAKING_JOBS: Final = 24
# Weighs a way to another zone against the duration of a task.
_OTHER_ZONE_MS: Final = 6
_FAR_FACTOR: Final = 1.5
# Puts an executor that had trouble with a task behind all others.
_AVOIDED_PENALTY_MS: Final = 100_000
# A task that is sent on trial may have to start anew after this.
_TRIAL_S: Final = 0.35


class Placement(NamedTuple):
    """Send a task to the agent at a link."""

    job: Job
    task: Task
    link: str


def place(state: DispatchState, now: float) -> Iterator[Placement]:
    """Yield placements; the caller applies each before taking the next."""
    if not state.waiting:
        return
    avoided = avoided_links(state, now)
    reserved: set[str] = set()
    blocked = 0
    for _, _, name in tuple(state.waiting):
        job = state.jobs[name]
        for progress in job.steps:
            if progress.unlocked:
                yield from _place_step(
                    _Search(state, now, avoided, reserved),
                    job,
                    progress,
                )
        if job.has_waiting:
            blocked += 1
            if blocked > _OVERTAKING_JOBS:
                return


class _Search(NamedTuple):
    """Hold what a search for room depends on."""

    state: DispatchState
    now: float
    avoided: set[str]
    # Kept for the first task that found no room.
    reserved: set[str]


def _place_step(
    search: _Search,
    job: Job,
    progress: StepProgress,
) -> Iterator[Placement]:
    while progress.waiting:
        task = progress.waiting[-1]
        link = _choose(search, job, progress, task)
        if not link:
            if not search.reserved:
                search.reserved.update(_roomiest(search.state, job, progress))
            return
        yield Placement(job, task, link)


def _choose(
    search: _Search,
    job: Job,
    progress: StepProgress,
    task: Task,
) -> str:
    best = ''
    best_cost = (float('inf'), 0)
    excluded = search.avoided | search.reserved
    for link, agent in _fitting(search.state.agents, job, progress):
        if link in excluded:
            continue
        if agent.on_trial and 0 < job.latest_start - search.now < _TRIAL_S:
            continue
        penalty_ms = _AVOIDED_PENALTY_MS * (
            agent.on_trial + (agent.agent in task.avoided)
        )
        cost = (
            penalty_ms + _cost_ms(search.state, progress, agent, search.now),
            -agent.free.cpu,
        )
        if cost < best_cost:
            best = link
            best_cost = cost
    return best


def _cost_ms(
    state: DispatchState,
    progress: StepProgress,
    agent: AgentView,
    now: float,
) -> float:
    step = progress.step
    slowness = max(agent.usual_slowness, slowness_of(agent, now))
    cost = step.estimate_ms * slowness
    report = agent.report
    if step.data_rack and report and step.data_rack not in report.labels:
        cost *= _FAR_FACTOR
    if agent.zone != state.identity.zone:
        cost += _OTHER_ZONE_MS
    return cost


def _fitting(
    agents: Mapping[str, AgentView],
    job: Job,
    progress: StepProgress,
) -> Iterator[tuple[str, AgentView]]:
    step = progress.step
    for link, agent in agents.items():
        if not may_start(agent, job.queue.service, step):
            continue
        if step.max_per_executor and _is_full(job, progress, agent):
            continue
        yield link, agent


def _is_full(job: Job, progress: StepProgress, agent: AgentView) -> bool:
    index = job.steps.index(progress)
    there = sum(
        1
        for task in job.tasks.values()
        if task.step == index and task.agent == agent.agent
    )
    return there >= progress.step.max_per_executor


def _roomiest(
    state: DispatchState,
    job: Job,
    progress: StepProgress,
) -> Iterable[str]:
    step = progress.step
    suitable = [
        (agent.free.cpu, link)
        for link, agent in state.agents.items()
        if may_run(agent, job.queue.service, step)
        and agent.report
        and agent.report.capacity.holds(step.need)
    ]
    return [max(suitable)[1]] if suitable else []
