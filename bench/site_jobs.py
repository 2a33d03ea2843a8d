"""Generate random jobs of the callers of a site."""

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

_STRETCH_FACTOR: Final = 1.6
_TARGET_DURATION_MS: Final = 60
_MEMORY_MB: Final = 64
# Standard deviations of logarithms; the first also applies to the error of
# the estimates.
_LOG_DEVIATION: Final = 0.4
_CPU_LOG_DEVIATION: Final = 0.2
_MAX_FACTOR: Final = 4
# Maximum deviation of a task from the mean duration in its job, as a share.
_TASK_VARIATION: Final = 0.15
# Share of the worth that does not depend on the work in a job.
_FIXED_WORTH_SHARE: Final = 0.3


class DrawnJob(NamedTuple):
    """Hold a job with its true task duration, worth and objective."""

    request: JobRequest
    task_s: float
    worth: float
    objective_s: float


class JobSource:
    """Draw random jobs and the durations of their tasks."""

    def __init__(self, seed: int) -> None:
        """Start with a seed."""
        self.random = random.Random(seed)
        self._count = 0

    def draw(self, kind: Kind) -> DrawnJob:
        """Return a job of a kind."""
        self._count += 1
        task_s = self._draw_log_normal(kind.task_ms, _LOG_DEVIATION) / MS_PER_S
        estimate_error = math.exp(self.random.gauss(0, _LOG_DEVIATION))
        demand = Resources(
            int(self._draw_log_normal(kind.cpu, _CPU_LOG_DEVIATION)),
            _MEMORY_MB,
            0,
        )
        tasks = max(1, round(self._draw_log_normal(kind.tasks, _LOG_DEVIATION)))
        estimate_ms = int(task_s * estimate_error * MS_PER_S)
        step = Step(tasks, demand, estimate_ms, (), '', '', 0)
        work = tasks * demand.cpu * task_s * MS_PER_S
        share = work / (kind.tasks * kind.cpu * kind.task_ms)
        worth = _FIXED_WORTH_SHARE + (1 - _FIXED_WORTH_SHARE) * share
        return DrawnJob(
            JobRequest(f'{self._count:016x}', 'spec', (step,)),
            task_s,
            kind.worth * min(worth, _MAX_FACTOR),
            _STRETCH_FACTOR * task_s * (1 + _TASK_VARIATION)
            + _TARGET_DURATION_MS / MS_PER_S,
        )

    def draw_task_s(self, job: DrawnJob) -> float:
        """Return the duration of a task on an executor without faults."""
        return job.task_s * self.random.uniform(
            1 - _TASK_VARIATION, 1 + _TASK_VARIATION
        )

    def _draw_log_normal(self, mean: float, deviation: float) -> float:
        drawn = math.exp(
            self.random.gauss(-deviation * deviation / 2, deviation)
        )
        return mean * min(drawn, _MAX_FACTOR)


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
            _STRETCH_FACTOR,
            _TARGET_DURATION_MS,
        )
        for kind in KINDS
    }
