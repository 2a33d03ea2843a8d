"""Compute the response times of simple and of ideal placements."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_right
from collections.abc import Callable
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from bench.workload import AGENTS
from bench.workload import CLIENT_LATENCY_S
from bench.workload import LATENCY_S
from bench.workload import SLOTS
from bench.workload import BenchJob
from bench.workload import idle_slots
from savoryrudder.policy.model import URGENCY_BANDS

REPORT_INTERVAL_S: Final = 0.1
_NETWORK_S: Final = 2 * (CLIENT_LATENCY_S + LATENCY_S['pane'])

Chooser = Callable[['PushedQueues', float], int]


class PushedQueues:
    """Simulate a FIFO queue for each agent that gets tasks on arrival."""

    def __init__(self, seed: int) -> None:
        """Create empty queues."""
        self.rng = random.Random(seed)
        self.turn = itertools.cycle(range(AGENTS))
        self._free = [idle_slots(SLOTS) for _ in range(AGENTS)]
        self._ends: list[list[float]] = [[] for _ in range(AGENTS)]
        self._reported = (-1, [0 for _ in range(AGENTS)])

    def push(self, agent: int, now: float, service_s: float) -> float:
        """Queue a task at an agent and return the time of its end."""
        end = max(now, self._free[agent][0]) + service_s
        heapq.heapreplace(self._free[agent], end)
        ends = self._ends[agent]
        ends.insert(bisect_right(ends, end), end)
        return end

    def loads(self, now: float) -> list[int]:
        """Return the last reported number of tasks at each agent."""
        interval = int(now / REPORT_INTERVAL_S)
        if interval > self._reported[0]:
            self._ends = [
                ends[bisect_right(ends, now) :] for ends in self._ends
            ]
            self._reported = (interval, list(map(len, self._ends)))
        return self._reported[1]


def _least_loaded(queues: PushedQueues, now: float) -> int:
    loads = queues.loads(now)
    return min(range(AGENTS), key=loads.__getitem__)


def _two_choices(queues: PushedQueues, now: float) -> int:
    loads = queues.loads(now)
    return min(queues.rng.sample(range(AGENTS), 2), key=loads.__getitem__)


PUSHED: Final = MappingProxyType[str, Chooser](
    {
        'random': lambda queues, _: queues.rng.randrange(AGENTS),
        'round robin': lambda queues, _: next(queues.turn),
        'least loaded': _least_loaded,
        'two choices': _two_choices,
    }
)


def run_pushed(jobs: Iterable[BenchJob], chooser: Chooser) -> dict[str, float]:
    """Return the response time of each job if its tasks are pushed."""
    queues = PushedQueues(1)
    return {
        job.key: max(
            queues.push(chooser(queues, job.arrival), job.arrival, task[1])
            for task in job.tasks
        )
        - job.arrival
        + _NETWORK_S
        for job in jobs
    }


def run_fifo(jobs: Iterable[BenchJob]) -> dict[str, float]:
    """Return the response times with one common FIFO queue."""
    free = idle_slots(AGENTS * SLOTS)
    times = {}
    for job in jobs:
        last_end = job.arrival
        for task in job.tasks:
            end = max(job.arrival, free[0]) + task.service_s
            heapq.heapreplace(free, end)
            last_end = max(last_end, end)
        times[job.key] = last_end - job.arrival + _NETWORK_S
    return times


def run_omniscient(jobs: list[BenchJob]) -> dict[str, float]:
    """Return the response times of the omniscient central scheduler.

    It has one queue and no network delay; tasks are ordered by band, deadline
    and falling duration.
    """
    ends: list[tuple[float, BenchJob]] = []
    queue: list[tuple[int, float, float, int, BenchJob]] = []
    order = itertools.count()
    last_end: dict[str, float] = {}
    arrivals = iter(sorted(jobs))
    next_job = next(arrivals, None)
    now: float = 0
    while next_job or ends or queue:
        if queue and len(ends) < AGENTS * SLOTS:
            job = heapq.heappop(queue)
            end = now - job[2]
            last_end[job[4].key] = max(end, last_end.get(job[4].key, 0))
            heapq.heappush(ends, (end, job[4]))
        elif next_job and (not ends or next_job.arrival <= ends[0][0]):
            now = next_job.arrival
            _enqueue(queue, next_job, order)
            next_job = next(arrivals, None)
        else:
            now = heapq.heappop(ends)[0]
    return {job.key: last_end[job.key] - job.arrival for job in jobs}


def _enqueue(
    queue: list[tuple[int, float, float, int, BenchJob]],
    job: BenchJob,
    order: Iterable[int],
) -> None:
    deadline = job.arrival + job.deadline_s
    band = URGENCY_BANDS.index(job.urgency)
    for task, number in zip(job.tasks, order, strict=False):
        heapq.heappush(queue, (band, deadline, -task.service_s, number, job))
