"""Order the queued tasks of one service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class QueuedTask(NamedTuple):
    """Identify a queued task and what its order depends on.

    `deadline` and `enqueued` are monotonic seconds.
    """

    submission: bytes
    task: int
    client: str
    urgency: str
    operation: str
    deadline: float
    enqueued: float


class ServiceQueue:
    """Hold the queued tasks of one service in the order of their start."""

    def __init__(
        self,
        shares: Mapping[str, float],
        weights: Mapping[str, float],
    ) -> None:
        """Create a queue with band shares and client weights."""
        self._tasks: deque[QueuedTask] = deque()
        self._removed: set[tuple[bytes, int]] = set()
        self.configure(shares, weights)

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._tasks) - len(self._removed)

    def configure(
        self,
        shares: Mapping[str, float],
        weights: Mapping[str, float],
    ) -> None:
        """Change band shares and client weights."""
        self._shares = shares
        self._weights = weights

    def push(self, task: QueuedTask) -> None:
        """Add a task."""
        self._tasks.append(task)

    def pop(self, now: float) -> QueuedTask | None:
        """Remove and return the task to start next."""
        while self._tasks:
            task = self._tasks.popleft()
            identity = (task.submission, task.task)
            if identity not in self._removed:
                return task
            self._removed.discard(identity)
        return None

    def remove(self, task: QueuedTask) -> None:
        """Remove a task that waits, in constant time."""
        self._removed.add((task.submission, task.task))
