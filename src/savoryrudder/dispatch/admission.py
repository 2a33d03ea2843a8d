"""Decide whether an arriving job is taken."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.jobs.model import JobRequest
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.jobs.model import Queue
    from savoryrudder.jobs.model import Step

_RETRY_SOON_S: Final = 1
_RETRY_ELSEWHERE_S: Final = 0.2


def ideal_duration_s(request: JobRequest) -> float:
    """Return the longest chain of the steps' estimated durations."""
    ends: list[int] = []
    for step in request.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0) / MS_PER_S


def refusal_of(
    state: DispatchState,
    queue: Queue,
    request: JobRequest,
    now: float,
) -> answers.Answer | None:
    """Return why the job cannot be taken, or None."""
    if state.leaving and now + _needed_s(queue, request) > state.exit_at:
        return answers.Answer(
            answers.UNAVAILABLE,
            'entry is stopping',
            _RETRY_ELSEWHERE_S,
        )
    agents = [
        agent
        for agent in state.agents.values()
        if agent.report is not None and agent.report.service == queue.service
    ]
    if not any(agent.usable for agent in agents):
        return answers.Answer(
            answers.UNAVAILABLE,
            'no executor is available',
            _RETRY_SOON_S,
        )
    if not all(_fits_anywhere(agents, step) for step in request.steps):
        return answers.Answer(
            answers.UNSUPPORTED,
            'a task needs more than any executor has',
        )
    return None


def _needed_s(queue: Queue, request: JobRequest) -> float:
    return (
        queue.stretch * ideal_duration_s(request) + queue.target_ms / MS_PER_S
    )


def _fits_anywhere(agents: Iterable[AgentView], step: Step) -> bool:
    for agent in agents:
        report = agent.report
        if report is None or not report.capacity.holds(step.need):
            continue
        if not step.required_label or step.required_label in report.labels:
            return True
    return False
