"""Replay loads of several kinds of jobs on a fleet with too little room."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from fakes.executor import FakeExecutor
from fakes.fleet import SERVICE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.jobs.model import Resources
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.worker.effects import StartRun

LOAD_S = 6
ENTRIES = 2
AGENTS = 4
# Share of the capacity that the load takes apart from bursts.
USUAL_LOAD = 0.75
TASK_CPU = 2000
# Durations of tasks relative to their estimates.
DURATION_FACTORS = (0.85, 1.1)
RECOVERY_S = 10
# Tasks that run concurrently at each agent.
AGENT_TASKS = 16
PRIORITY_WEIGHT = 0.5


class Kind(NamedTuple):
    """Describe the jobs of a queue: mean number and duration of tasks."""

    queue: Queue
    tasks: int
    task_ms: int


def _kind(name: str, priority: int, tasks: int, task_ms: int) -> Kind:
    prefix = f'/{name}/'
    queue = Queue(name, 'shop.example', prefix, SERVICE, priority, 2, 1.6, 60)
    return Kind(queue, tasks, task_ms)


CHECKS = _kind('checks', 0, 4, 80)
QUOTES = _kind('quotes', 1, 2, 200)
PLANS = _kind('plans', 2, 4, 500)
KINDS = (CHECKS, QUOTES, PLANS)
CONFIGURATION = Configuration(
    1, {kind.queue.name: kind.queue for kind in KINDS}
)


class Burst(NamedTuple):
    """Multiply the arrivals of some kinds, and the tasks of their jobs.

    `lost_agents` are killed in the middle of the burst.
    """

    kinds: Sequence[Kind]
    factor: float
    size_factor: int = 1
    lost_agents: int = 0
    starts_s: float = 1
    ends_s: float = 4

    def includes(self, kind: Kind, now: float) -> bool:
        """Return whether the burst changes the jobs of a kind at a time."""
        return kind in self.kinds and self.starts_s <= now < self.ends_s


class Submission(NamedTuple):
    """Hold a job with its kind and the time of its submission."""

    kind: Kind
    job: JobRequest
    sent_at: float


class Sample(NamedTuple):
    """Hold what became of a job; a late one is still worth something."""

    kind: Kind
    work: int
    in_time: bool
    late: bool
    refused: bool
    elapsed_s: float
    objective_s: float


def replay(seed: int, burst: Burst) -> list[Sample]:
    """Submit jobs of all kinds during a burst; return what became of them."""
    fleet = _new_fleet(seed)
    rng = random.Random(seed)
    started_at = fleet.clock.now
    submissions: dict[int, Submission] = {}
    lost_at = started_at + (burst.starts_s + burst.ends_s) / 2
    fleet.clock.after(lost_at - started_at, _lose_agents, fleet, burst)
    for arrives_s, kind in _arrivals(rng, burst):
        fleet.run(max(started_at + arrives_s - fleet.clock.now, 0))
        size_factor = (
            burst.size_factor if burst.includes(kind, arrives_s) else 1
        )
        job = _draw_job(rng, kind, size_factor, len(submissions))
        request = fleet.submit(rng.randrange(ENTRIES), job, kind.queue)
        submissions[request] = Submission(kind, job, fleet.clock.now)
    fleet.run(RECOVERY_S)
    return [
        _sample(fleet, request, submission)
        for request, submission in submissions.items()
    ]


def _new_fleet(seed: int) -> Fleet:
    capacity = Resources(AGENT_TASKS * TASK_CPU, 4096, 0)
    executors = [FakeExecutor(f'x{index}', capacity) for index in range(AGENTS)]
    fleet = Fleet(
        seed,
        ENTRIES,
        configuration=CONFIGURATION,
        executors=executors,
    )
    fleet.calls.draw_duration_s = partial(_draw_duration_s, random.Random(seed))
    return fleet


def _draw_duration_s(rng: random.Random, call: StartRun) -> float:
    return int(call.spec) / MS_PER_S * rng.uniform(*DURATION_FACTORS)


def _lose_agents(fleet: Fleet, burst: Burst) -> None:
    for agent in fleet.agents[: burst.lost_agents]:
        agent.alive = False
        fleet.links.drop(agent)


def _arrivals(rng: random.Random, burst: Burst) -> list[tuple[float, Kind]]:
    arrivals: list[tuple[float, Kind]] = []
    for kind in KINDS:
        work_s = kind.tasks * kind.task_ms / MS_PER_S
        usual_rate = USUAL_LOAD * AGENTS * AGENT_TASKS / len(KINDS) / work_s
        now: float = 0
        while now < LOAD_S:
            factor = burst.factor if burst.includes(kind, now) else 1
            now += rng.expovariate(usual_rate * factor)
            arrivals.append((now, kind))
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _draw_job(
    rng: random.Random,
    kind: Kind,
    size_factor: int,
    number: int,
) -> JobRequest:
    width = round(kind.tasks * rng.lognormvariate(0, 0.4))
    tasks = max(width, 1) * size_factor
    task_ms = int(kind.task_ms * rng.lognormvariate(0, 0.3))
    job = job_of(f'j{number}', tasks, TASK_CPU, task_ms)
    # The executors read the duration from the specification.
    return job._replace(spec=str(task_ms))


def _sample(fleet: Fleet, request: int, submission: Submission) -> Sample:
    kind, job, sent_at = submission
    step = job.steps[0]
    queue = kind.queue
    objective_ms = queue.stretch * step.estimate_ms + queue.target_ms
    objective_s = objective_ms / MS_PER_S
    verdict = fleet.answers[request].verdict
    elapsed_s = fleet.answered_at[request] - sent_at
    is_done = verdict == answers.COMPLETED
    return Sample(
        kind,
        step.tasks * step.estimate_ms,
        is_done and elapsed_s <= objective_s,
        is_done and objective_s < elapsed_s <= 3 * objective_s,
        verdict == answers.OVERLOADED,
        elapsed_s,
        objective_s,
    )


def weight_in_time(samples: Sequence[Sample]) -> float:
    """Return the share of the work, by priority, that was done in time."""
    weights = {kind: PRIORITY_WEIGHT**kind.queue.priority for kind in KINDS}
    total = sum(weights[sample.kind] * sample.work for sample in samples)
    in_time = sum(
        weights[sample.kind] * sample.work
        for sample in samples
        if sample.in_time
    )
    return in_time / total


def served_share(samples: Sequence[Sample]) -> float:
    """Return the share of the jobs that were done, in time or late."""
    served = sum(sample.in_time or sample.late for sample in samples)
    return served / len(samples)


def of_kind(samples: Sequence[Sample], kind: Kind) -> list[Sample]:
    """Return the samples of a kind."""
    return [sample for sample in samples if sample.kind == kind]


def largest_tenth(samples: Sequence[Sample]) -> list[Sample]:
    """Return the samples of the largest jobs."""
    ranked = sorted(samples, key=lambda sample: sample.work)
    return ranked[-(len(ranked) // 10) :]
