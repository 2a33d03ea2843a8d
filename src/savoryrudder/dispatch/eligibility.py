"""Determine which executors can run the tasks of a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.jobs.model import Step


def is_eligible(agent: AgentView, service: str, step: Step) -> bool:
    """Return whether an executor accepts tasks of the step.

    Its free resources are not considered.
    """
    report = agent.report
    if not agent.usable or report is None or report.service != service:
        return False
    return not step.required_label or step.required_label in report.labels


def can_start(agent: AgentView, service: str, step: Step) -> bool:
    """Return whether a task of the step can start on an executor now."""
    if agent.on_trial and agent.runs:
        # It takes one task at a time.
        return False
    return agent.free.covers(step.demand) and is_eligible(agent, service, step)
