"""Collect the effects of one event of an agent."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

from savoryrudder.utils import turn
from savoryrudder.utils.task_names import describe_tasks

if TYPE_CHECKING:
    from savoryrudder.worker.state import Run


class _EndGroup(NamedTuple):
    """Identify the ends of an event that share a log line."""

    job: str
    outcome: str
    reason: str


@dataclass(slots=True)
class Turn(turn.Turn):
    """Collect the effects of one event, including ends of runs to be logged.

    Thousands of runs may end at one moment. A line for each of them would
    exceed the rate limit of the log, which then drops lines of other kinds,
    too.
    """

    _ends: dict[_EndGroup, list[Run]] = field(default_factory=dict)

    def log_end(self, run: Run, outcome: str, reason: str) -> None:
        """Write of the end of a run when the event has been handled."""
        group = _EndGroup(run.job, outcome, reason)
        self._ends.setdefault(group, []).append(run)

    def write_ends(self) -> None:
        """Write one log line for the runs of a job that ended alike."""
        for group, runs in self._ends.items():
            self.log(
                'run-ended',
                **describe_tasks([run.task for run in runs]),
                run=max(run.number for run in runs),
                outcome=group.outcome,
                reason=group.reason,
            )
        self._ends.clear()
