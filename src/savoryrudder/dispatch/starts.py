"""Start the waiting tasks for which there is room."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from savoryrudder.dispatch import drain_rate
from savoryrudder.dispatch import fleet
from savoryrudder.dispatch.placement import place_tasks

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.protocol import work


class _StartGroup(NamedTuple):
    """Identify the starts of a turn that differ in their task only."""

    link: str
    job: str
    step_index: int


def start_tasks(state: DispatchState, turn: Turn) -> None:
    """Place tasks, and send the starts of a step to an agent together."""
    groups: dict[_StartGroup, list[work.StartTask]] = {}
    for placement in place_tasks(state, turn.now):
        job, task, link = placement
        group = _StartGroup(link, job.request.job_id, task.step_index)
        start = fleet.apply_placement(state, turn, placement)
        step = job.steps[task.step_index].step
        drain_rate.record_start(state, turn.now, job.queue.service, step)
        groups.setdefault(group, []).append(start)
    for group, group_starts in groups.items():
        fleet.send_starts(state, turn, group.link, group_starts)
    drain_rate.observe_queue(state, turn.now)
