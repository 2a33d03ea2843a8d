"""Report the executor's free room to entries.

Each start and each end changes the room, but only a change that decides
whether a task fits is worth a message of its own. While there is room to
spare, changes are gathered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.protocol import work
from savoryrudder.worker.state import Reported

if TYPE_CHECKING:
    from savoryrudder.jobs.model import Room
    from savoryrudder.utils.turn import Turn
    from savoryrudder.worker.state import EntryLink
    from savoryrudder.worker.state import WorkerState

# Below this share of its processors an executor is nearly full.
_TIGHT_SHARE: Final = 0.25
_GATHERING_S: Final = 0.1


def is_tight(state: WorkerState) -> bool:
    """Tell whether the executor is nearly full."""
    if state.report is None:
        return False
    return state.free.cpu < state.report.capacity.cpu * _TIGHT_SHARE


def send_reports(state: WorkerState, turn: Turn) -> None:
    """Send a report on each link whose entry needs to know of a change."""
    executor = state.report
    if executor is None:
        return
    current = Reported(
        state.free,
        state.accepting,
        state.health.on_trial,
        executor.executor,
        turn.now,
    )
    tight_cpu = executor.capacity.cpu * _TIGHT_SHARE
    for name, link in state.links.items():
        if not link.incarnation or not _is_due(link, current, tight_cpu):
            continue
        link.reported = current
        turn.send(
            name,
            work.ExecutorReport(
                executor.executor,
                executor.service,
                executor.labels,
                executor.capacity,
                current.free,
                current.accepting,
                link.starts_seen,
                current.on_trial,
            ),
        )


def _is_due(link: EntryLink, current: Reported, tight_cpu: float) -> bool:
    last = link.reported
    if last is None or last.executor != current.executor:
        return True
    if last.accepting != current.accepting:
        return True
    if last.on_trial != current.on_trial:
        return True
    if last.free == current.free:
        return False
    is_tight = _least_cpu(last.free, current.free) < tight_cpu
    return is_tight or current.sent_at - last.sent_at >= _GATHERING_S


def _least_cpu(one: Room, other: Room) -> int:
    return min(one.cpu, other.cpu)
