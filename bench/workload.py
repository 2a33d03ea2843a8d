"""Generate the jobs of a run from a seed."""

from __future__ import annotations

import heapq
import random
from types import MappingProxyType
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.policy.model import URGENCY_BANDS

SLOTS: Final = 10
AGENTS: Final = 10
CAPACITY: Final = AGENTS * SLOTS
CLIENTS: Final = 12
# Mean of the service times drawn by `_draw_task`, in seconds.
MEAN_SERVICE_S: Final = 0.42
MEAN_TASKS: Final = 7.05
LATENCY_S: Final = MappingProxyType({'pane': 0.0015, 'rounds': 0.0005})
CLIENT_LATENCY_S: Final = 0.001
MAX_SMALL_JOB_TASKS: Final = 10

POLICY: Final = """
[services.pane]
[services.pane.operations]
quote = {{ idempotent = true, expected_ms = 125 }}
plan = {{ idempotent = false, expected_ms = 600 }}
sheet = {{ idempotent = false, expected_ms = 3500 }}
{clients}
[urgency.critical]
share = 0.4
[urgency.urgent]
share = 0.3
[urgency.normal]
share = 0.2
[urgency.background]
share = 0.1
"""
CLIENT: Final = """
[clients.{name}]
rate = 100000
burst = 100000
concurrent = 100000
highest_urgency = 'critical'
"""


Bands: TypeAlias = tuple[float, ...]

# Fractions of the jobs from the most to the least urgent band.
USUAL_BANDS: Final = (0.1, 0.3, 0.5, 0.1)


class BenchTask(NamedTuple):
    """Hold the operation and the true service time of a task."""

    operation: str
    service_s: float


class BenchJob(NamedTuple):
    """Hold a job; `arrival` is the time when its caller sends it."""

    arrival: float
    key: str
    client: str
    urgency: str
    deadline_s: float
    ideal_s: float
    tasks: tuple[BenchTask, ...]

    @property
    def work_s(self) -> float:
        """Return the service time of all tasks."""
        return sum(task.service_s for task in self.tasks)


class Stream(NamedTuple):
    """Describe a stream of jobs; `load` is in capacities of the fleet."""

    load: float
    clients: tuple[str, ...]
    bands: Bands = ()
    tasks: int = 0


def client_names(count: int = CLIENTS) -> tuple[str, ...]:
    """Return the default names of clients."""
    return tuple(f'client{number:02}' for number in range(count))


def policy_text(names: tuple[str, ...]) -> str:
    """Return the configuration for a run."""
    clients = ''.join(CLIENT.format(name=name) for name in names)
    return POLICY.format(clients=clients)


def generate(
    seed: int,
    stream: Stream,
    start: float,
    end: float,
    capacity: int = CAPACITY,
) -> list[BenchJob]:
    """Return the jobs of a stream with Poisson arrivals."""
    rng = random.Random(seed)
    mean_tasks = stream.tasks or MEAN_TASKS
    rate = stream.load * capacity / MEAN_SERVICE_S / mean_tasks
    jobs: list[BenchJob] = []
    now = start + rng.expovariate(rate)
    while now < end:
        tasks = tuple(
            _draw_task(rng)
            for _ in range(stream.tasks or _draw_task_count(rng))
        )
        ideal_s = ideal_duration(tasks)
        jobs.append(
            BenchJob(
                now,
                f'{seed}-{len(jobs)}',
                rng.choice(stream.clients),
                rng.choices(URGENCY_BANDS, stream.bands or USUAL_BANDS)[0],
                2 + 10 * ideal_s,
                ideal_s,
                tasks,
            ),
        )
        now += rng.expovariate(rate)
    return jobs


def idle_slots(count: int) -> list[float]:
    """Return the times at which idle slots are free: all 0."""
    return [float(0) for _ in range(count)]


def ideal_duration(tasks: tuple[BenchTask, ...]) -> float:
    """Return the time of the tasks on an idle fleet, longest first."""
    ends = idle_slots(AGENTS * SLOTS)
    last_end: float = 0
    for task in sorted(tasks, key=lambda timed_task: -timed_task.service_s):
        end = ends[0] + task.service_s
        heapq.heapreplace(ends, end)
        last_end = max(last_end, end)
    return last_end


def _draw_task_count(rng: random.Random) -> int:
    low, high = rng.choices(
        (
            (1, 1),
            (2, MAX_SMALL_JOB_TASKS),
            (MAX_SMALL_JOB_TASKS + 1, 60),
            (61, 170),
        ),
        (0.7, 0.2, 0.08, 0.02),
    )[0]
    return rng.randint(low, high)


def _draw_task(rng: random.Random) -> BenchTask:
    operation, low, high = rng.choices(
        (('quote', 0.05, 0.2), ('plan', 0.2, 1), ('sheet', 2, 5)),
        (0.5, 0.48, 0.02),
    )[0]
    return BenchTask(operation, rng.uniform(low, high))
