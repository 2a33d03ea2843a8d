"""Tell which executors may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.jobs.model import Step


def may_run(agent: AgentView, service: str, step: Step) -> bool:
    """Tell whether an executor takes tasks of the step, room aside."""
    report = agent.report
    if not agent.usable or report is None or report.service != service:
        return False
    return not step.required_label or step.required_label in report.labels


def may_start(agent: AgentView, service: str, step: Step) -> bool:
    """Tell whether an executor has room for a task of the step now."""
    return agent.free.holds(step.need) and may_run(agent, service, step)
