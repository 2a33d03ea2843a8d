"""Order the queued tasks of one service."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.policy.model import URGENCY_BANDS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savoryrudder.protocol.messages import TaskKey

# A heap may hold this many removed tasks, or as many as waiting ones, before
# it is rebuilt.
MAX_REMOVED: Final = 64
# Long enough to smooth jobs of 170 tasks, short enough to follow a burst.
LOAD_WINDOW_S: Final = 5
# Work, by weight, that a client with near deadlines gets ahead of others.
MAX_PATIENCE_S: Final = 30
LEAST_WORK_S: Final = 1e-6

_Item: TypeAlias = 'tuple[float, float, int, QueuedTask]'
_Items: TypeAlias = list[_Item]


class QueuedTask(NamedTuple):
    """Identify a queued task and what its order depends on.

    `deadline` and `enqueued` are monotonic seconds; `work` is the expected
    service time in seconds.
    """

    submission: bytes
    task: int
    client: str
    urgency: str
    operation: str
    deadline: float
    enqueued: float
    work: float = 1


class _ClientQueue:
    """Hold the tasks of one client in one band, earliest deadline first.

    `start` is the client's virtual start time, `due` the expected work by
    deadline in whole seconds.
    """

    def __init__(self, live: dict[TaskKey, QueuedTask]) -> None:
        self.waiting = 0
        self.work: float = 0
        self.due: dict[int, float] = {}
        self.start: float = 0
        self.rank: float = 0
        self._live = live
        self._items: _Items = []

    def push(self, task: QueuedTask, sequence: int) -> None:
        # Of one job, the longest task first shortens the job.
        item = (task.deadline, -task.work, sequence, task)
        heapq.heappush(self._items, item)
        self._add(1, task, task.work)

    def pop(self) -> QueuedTask:
        self.head()
        task = heapq.heappop(self._items)[3]
        self._live.pop((task.submission, task.task))
        self._add(-1, task, -task.work)
        return task

    def head(self) -> QueuedTask:
        while not self._is_live(self._items[0]):
            heapq.heappop(self._items)
        return self._items[0][3]

    def forget(self, task: QueuedTask) -> None:
        """Account for a task that was removed from the live ones."""
        self._add(-1, task, -task.work)
        if len(self._items) > 2 * self.waiting + MAX_REMOVED:
            self._items = [item for item in self._items if self._is_live(item)]
            heapq.heapify(self._items)

    def _add(self, count: int, task: QueuedTask, work: float) -> None:
        self.waiting += count
        if not self.waiting:
            # Sums of floats do not return to zero exactly.
            self.work = 0
            self.due.clear()
            return
        self.work += work
        bucket = math.ceil(task.deadline)
        due = self.due.get(bucket, 0) + work
        self.due[bucket] = due
        if due < LEAST_WORK_S:
            self.due.pop(bucket)

    def _is_live(self, item: _Item) -> bool:
        task = item[3]
        return self._live.get((task.submission, task.task)) is task


class _Band:
    """Share the starts of a band among its clients by virtual time.

    A client's rank is its virtual start time plus the time to the deadline of
    its first task, within a bound: deadlines decide in the short run, weights
    in the long run.
    """

    def __init__(self, live: dict[TaskKey, QueuedTask]) -> None:
        self.waiting = 0
        self.work: float = 0
        self.credit: float = 0
        self.clients: dict[str, _ClientQueue] = {}
        self._live = live
        self._virtual_time: float = 0
        self._started: float = 0
        self._started_at: float = 0
        self._order: list[tuple[float, int, str]] = []

    def push(self, task: QueuedTask, sequence: int) -> None:
        client = self.clients.get(task.client)
        if client is None:
            client = _ClientQueue(self._live)
            self.clients[task.client] = client
        if not client.waiting:
            client.start = max(self._virtual_time, client.start)
            client.rank = float('inf')
        client.push(task, sequence)
        self._add(1, task.work)
        rank = client.start + _patience(task)
        if rank < client.rank:
            client.rank = rank
            heapq.heappush(self._order, (rank, sequence, task.client))

    def head_work(self) -> float:
        return self.clients[self._first()].head().work

    def pop(self, weights: Mapping[str, float]) -> QueuedTask:
        name = self._first()
        client = self.clients[name]
        task = client.pop()
        self._add(-1, -task.work)
        self._virtual_time = max(self._virtual_time, client.start)
        client.start += task.work / weights.get(name, 1)
        sequence = heapq.heappop(self._order)[1]
        if client.waiting:
            client.rank = client.start + _patience(client.head())
            heapq.heappush(self._order, (client.rank, sequence, name))
        if not self.waiting:
            self._end_busy_period()
        return task

    def remove(self, task: QueuedTask) -> None:
        self.clients[task.client].forget(task)
        self._add(-1, -task.work)
        if not self.waiting:
            self._end_busy_period()

    def note_start(self, work: float, now: float) -> None:
        self._started = self.load(now) * LOAD_WINDOW_S + work
        self._started_at = now

    def load(self, now: float) -> float:
        """Return the work started in a second, averaged exponentially."""
        age = (now - self._started_at) / LOAD_WINDOW_S
        return self._started * math.exp(-age) / LOAD_WINDOW_S

    def _first(self) -> str:
        while True:
            rank, _, name = self._order[0]
            client = self.clients[name]
            if client.waiting and client.rank == rank:
                return name
            heapq.heappop(self._order)

    def _end_busy_period(self) -> None:
        """Forget past use: nobody waited for it."""
        self._order.clear()
        self._virtual_time = 0
        self.credit = 0
        self.clients.clear()

    def _add(self, count: int, work: float) -> None:
        self.waiting += count
        self.work += work
        if not self.waiting:
            self.work = 0


class ServiceQueue:
    """Hold the queued tasks of one service in the order of their start.

    Each band is guaranteed its share of the started work while it waits;
    what is left goes to the most urgent band. Clients share a band by weight.
    """

    def __init__(
        self,
        shares: Mapping[str, float],
        weights: Mapping[str, float],
    ) -> None:
        """Create a queue with band shares and client weights."""
        self._live: dict[TaskKey, QueuedTask] = {}
        self._bands = {name: _Band(self._live) for name in URGENCY_BANDS}
        self._sequence = 0
        self.configure(shares, weights)

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._live)

    @property
    def work(self) -> float:
        """Return the expected service time of all waiting tasks."""
        return sum(band.work for band in self._bands.values())

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
        self._sequence += 1
        self._live[task.submission, task.task] = task
        self._bands[task.urgency].push(task, self._sequence)

    def pop(self, now: float) -> QueuedTask | None:
        """Remove and return the task to start next."""
        name = self._next_band()
        if name is None:
            return None
        task = self._bands[name].pop(self._weights)
        self._charge(name, task.work, now)
        return task

    def remove(self, task: QueuedTask) -> None:
        """Remove a task that waits, in constant amortized time."""
        known = self._live.pop((task.submission, task.task), None)
        if known is not None:
            self._bands[task.urgency].remove(known)

    def work_due(self, urgency: str, client: str) -> dict[int, float]:
        """Return a client's expected work by deadline in whole seconds."""
        own = self._bands[urgency].clients.get(client)
        return own.due if own else {}

    def work_up_to(self, urgency: str) -> float:
        """Return the expected work of a band and of more urgent ones."""
        place = URGENCY_BANDS.index(urgency)
        return sum(
            self._bands[name].work for name in URGENCY_BANDS[: place + 1]
        )

    def drain_s(
        self,
        urgency: str,
        client: str,
        work: float,
        slots: float,
        now: float,
    ) -> float:
        """Estimate when the last of a client's work starts with the new work.

        The band has at least its share of the slots, else what more urgent
        bands and the shares of waiting less urgent bands leave.
        """
        place = URGENCY_BANDS.index(urgency)
        left = slots
        before = self._work_before(urgency, client, work)
        wait_s = float('inf')
        if self._shares.get(urgency):
            wait_s = before / (slots * self._shares[urgency])
        for name, band in self._bands.items():
            if URGENCY_BANDS.index(name) < place:
                left -= band.load(now)
                before += band.work
            elif band.waiting and name != urgency:
                left -= slots * self._shares.get(name, 0)
        if left <= 0:
            return wait_s
        return min(wait_s, before / left)

    def _work_before(self, urgency: str, client: str, work: float) -> float:
        """Return the work that a band starts up to a client's new work."""
        clients = self._bands[urgency].clients
        own = clients.get(client)
        before = work
        if own is not None:
            before += own.work
        rounds = before / self._weights.get(client, 1)
        for name, other in clients.items():
            if name != client:
                due = rounds * self._weights.get(name, 1)
                before += min(other.work, due)
        return before

    def _next_band(self) -> str | None:
        first: str | None = None
        due: str | None = None
        most: float = 0
        for name, band in self._bands.items():
            if not band.waiting:
                continue
            first = first or name
            if band.credit > most and band.credit >= band.head_work():
                due = name
                most = band.credit
        return due or first

    def _charge(self, started: str, work: float, now: float) -> None:
        """Give waiting bands their shares of a start and charge its band.

        A band pays at most what it has: use of a share that nobody claimed is
        free. An idle band saves nothing up.
        """
        for name, band in self._bands.items():
            if band.waiting:
                band.credit += self._shares.get(name, 0) * work
        charged = self._bands[started]
        charged.credit = max(0, charged.credit - work)
        charged.note_start(work, now)


def _patience(task: QueuedTask) -> float:
    return min(MAX_PATIENCE_S, task.deadline - task.enqueued)
