"""Keep how often jobs are turned away, by their queue and their size.

Only what has arrived lately counts: the shares decay. Sizes are classed among
the latest ones of their queue, so that memory is bounded by the number of
queues.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from bisect import insort
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from savoryrudder.jobs.model import Queue

# Time in which a count decays to 37 %.
_DECAY_S: Final = 10
# The same for the counts by priority, which follow the load of the moment.
_LEVEL_DECAY_S: Final = 1
# Less urgent jobs give way while more urgent ones are served less often.
_URGENT_SERVED_SHARE: Final = 0.8
# Number of latest sizes of a queue.
_SIZES: Final = 100
# Shares of a queue's jobs that are larger than those of a size class.
_CLASS_BOUNDS: Final = (0.7, 0.9)
# A queue is spared while it is served less than this often compared to all, and
# a size class while it is compared to its queue.
_GUARANTEED_QUEUE_RATIO: Final = 0.75
_GUARANTEED_CLASS_RATIO: Final = 0.6


@dataclass(slots=True)
class _Count:
    """Count the jobs that arrived and those turned away, with decay."""

    decay_s: float = _DECAY_S
    arrived: float = 0
    turned_away: float = 0
    decayed_at: float = 0

    def decay(self, now: float) -> None:
        """Let the counts decay until a time."""
        # A job that was handed over and comes back tells an earlier time.
        elapsed_s = max(now - self.decayed_at, 0)
        factor = math.exp(-elapsed_s / self.decay_s)
        self.arrived *= factor
        self.turned_away *= factor
        self.decayed_at = max(now, self.decayed_at)

    def served_share(self, now: float) -> float:
        """Return the share that was not turned away; near 1 for a few jobs."""
        self.decay(now)
        served = max(self.arrived - self.turned_away, 0)
        return (served + 1) / (self.arrived + 1)


@dataclass(slots=True)
class _QueueShares:
    """Hold the latest sizes of a queue (`cpu` x ms) and its counts."""

    latest_sizes: deque[int] = field(default_factory=deque)
    sorted_sizes: list[int] = field(default_factory=list)
    total_size: int = 0
    count: _Count = field(default_factory=_Count)
    class_counts: tuple[_Count, ...] = field(
        default_factory=lambda: tuple(
            _Count() for _ in range(len(_CLASS_BOUNDS) + 1)
        ),
    )

    def record_size(self, size: int) -> None:
        """Record the size of a job that arrived."""
        if len(self.latest_sizes) == _SIZES:
            oldest = self.latest_sizes.popleft()
            self.total_size -= oldest
            self.sorted_sizes.pop(bisect_left(self.sorted_sizes, oldest))
        self.latest_sizes.append(size)
        self.total_size += size
        insort(self.sorted_sizes, size)

    def class_count(self, size: int) -> _Count:
        """Return the counts of the size class of a job."""
        smaller = bisect_left(self.sorted_sizes, size)
        share = smaller / max(len(self.sorted_sizes), 1)
        return self.class_counts[bisect_left(_CLASS_BOUNDS, share)]


class RefusalShares:
    """Tell which jobs were turned away more often than others."""

    def __init__(self) -> None:
        """Start without any job."""
        self._queues: dict[str, _QueueShares] = {}
        self._count = _Count()
        self._levels: dict[int, _Count] = {}

    def forget_others(self, queues: AbstractSet[str]) -> None:
        """Forget the queues that are not among those given."""
        for queue in self._queues.keys() - queues:
            self._queues.pop(queue)
        self._levels.clear()

    def mean_size(self, queue: str) -> float:
        """Return the mean size of the latest jobs of a queue, or 0."""
        shares = self._queues.get(queue)
        if shares is None or not shares.latest_sizes:
            return 0
        return shares.total_size / len(shares.latest_sizes)

    def is_guarded(self, queue: str, size: int, now: float) -> bool:
        """Return whether others should be turned away in a job's place."""
        shares = self._queues.get(queue)
        if shares is None:
            return False
        queue_share = shares.count.served_share(now)
        class_share = shares.class_count(size).served_share(now)
        return (
            queue_share
            < _GUARANTEED_QUEUE_RATIO * self._count.served_share(now)
            or class_share < _GUARANTEED_CLASS_RATIO * queue_share
        )

    def gives_way(self, queue: Queue, now: float) -> bool:
        """Return whether jobs should leave room to more urgent ones."""
        return any(
            count.served_share(now) < _URGENT_SERVED_SHARE
            for priority, count in self._levels.items()
            if priority < queue.priority
        )

    def record_arrival(self, queue: Queue, size: int, now: float) -> None:
        """Count a job that arrived."""
        self._shares_of(queue).record_size(size)
        for count in self._counts(queue, size):
            count.decay(now)
            count.arrived += 1

    def record_refusal(self, queue: Queue, size: int, now: float) -> None:
        """Count a job that was turned away for want of room.

        Its queue may have left the configuration meanwhile.
        """
        if queue.name not in self._queues:
            return
        for count in self._counts(queue, size):
            count.decay(now)
            count.turned_away += 1

    def _shares_of(self, queue: Queue) -> _QueueShares:
        return self._queues.setdefault(queue.name, _QueueShares())

    def _counts(self, queue: Queue, size: int) -> tuple[_Count, ...]:
        shares = self._shares_of(queue)
        level = self._levels.setdefault(queue.priority, _Count(_LEVEL_DECAY_S))
        return shares.count, shares.class_count(size), level, self._count
