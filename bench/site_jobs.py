"""Draw jobs as callers of a site submit them."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from bench.site_days import KINDS
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Queue
from savoryrudder.jobs.model import Resources
from savoryrudder.jobs.model import Step
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from bench.site_days import Kind

SERVICE: Final = 'pane'

_STRETCH: Final = 1.6
_TARGET_MS: Final = 60
_MEMORY_MB: Final = 64
# Standard deviations of logarithms; the estimate errs by the first, too.
_SPREAD: Final = 0.4
_CPU_SPREAD: Final = 0.2
_LARGEST_FACTOR: Final = 4
# Durations of a job's tasks differ by up to this share.
_UNEVEN: Final = 0.15
# Share of the worth that does not depend on the work in a job.
_FIXED_WORTH: Final = 0.3


class DrawnJob(NamedTuple):
    """Hold a job with its true duration, worth and objective."""

    request: JobRequest
    task_s: float
    worth: float
    objective_s: float


class JobSource:
    """Draw jobs, and the durations of their tasks."""

    def __init__(self, seed: int) -> None:
        """Start with a seed."""
        self.random = random.Random(seed)
        self._count = 0

    def draw(self, kind: Kind) -> DrawnJob:
        """Return a job of a kind."""
        self._count += 1
        task_s = self._spread(kind.task_ms, _SPREAD) / MS_PER_S
        error = math.exp(self.random.gauss(0, _SPREAD))
        demand = Resources(
            int(self._spread(kind.cpu, _CPU_SPREAD)),
            _MEMORY_MB,
            0,
        )
        tasks = max(1, round(self._spread(kind.tasks, _SPREAD)))
        estimate_ms = int(task_s * error * MS_PER_S)
        step = Step(tasks, demand, estimate_ms, (), '', '', 0)
        work = tasks * demand.cpu * task_s * MS_PER_S
        share = work / (kind.tasks * kind.cpu * kind.task_ms)
        worth = _FIXED_WORTH + (1 - _FIXED_WORTH) * share
        return DrawnJob(
            JobRequest(f'{self._count:016x}', 'spec', (step,)),
            task_s,
            kind.worth * min(worth, _LARGEST_FACTOR),
            _STRETCH * task_s * (1 + _UNEVEN) + _TARGET_MS / MS_PER_S,
        )

    def draw_task_s(self, job: DrawnJob) -> float:
        """Return the duration of one task on a sound executor."""
        return job.task_s * self.random.uniform(1 - _UNEVEN, 1 + _UNEVEN)

    def _spread(self, mean: float, spread: float) -> float:
        drawn = math.exp(self.random.gauss(-spread * spread / 2, spread))
        return mean * min(drawn, _LARGEST_FACTOR)


def queues() -> dict[str, Queue]:
    """Return a queue for each kind of job."""
    return {
        kind.name: Queue(
            kind.name,
            'site.example',
            f'/{kind.name}/',
            SERVICE,
            kind.priority,
            kind.attempts,
            _STRETCH,
            _TARGET_MS,
        )
        for kind in KINDS
    }
