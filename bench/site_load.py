"""Replay the load and the faults of the days of a site on the reducers.

Processes, links and executors are the fakes of the tests; the reducers are
those of the product. `python -m bench.site_load SEEDS DAY...` prints the means
of each day, or of all days if none is named.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Final

from fakes.executor import FakeExecutor
from fakes.fleet import Fleet

from bench.site_days import DAYS
from bench.site_days import DISCONNECTED
from bench.site_days import HANG
from bench.site_days import KINDS
from bench.site_days import SLOW
from bench.site_days import UNRESPONSIVE
from bench.site_jobs import JobSource
from bench.site_jobs import queues
from bench.site_score import Outcome
from bench.site_score import Result
from bench.site_score import score_day
from savoryrudder.dispatch import answers
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Resources

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.site_days import Day
    from bench.site_days import Fault
    from bench.site_days import Kind
    from bench.site_jobs import DrawnJob
    from savoryrudder.worker.effects import StartRun

_ENTRIES: Final = 3
_EXECUTORS: Final = 11
_SMALL_CAPACITY: Final = Resources(64_000, 131_072, 0)
_LARGE_CAPACITY: Final = Resources(96_000, 131_072, 0)
_LARGE_SLOWNESS: Final = 1.3
_DAY_S: Final = 30
_SETTLE_S: Final = 12
_DEFAULT_SEEDS: Final = 3


class Replay:
    """Replay a day."""

    def __init__(self, seed: int, day: Day) -> None:
        """Start the processes."""
        self._day = day
        self._source = JobSource(seed)
        self._queues = queues()
        self.fleet = Fleet(
            seed,
            _ENTRIES,
            configuration=Configuration(1, self._queues),
            executors=[_executor(number) for number in range(_EXECUTORS)],
        )
        self.fleet.calls.draw_duration_s = self._draw_task_s
        self.started_at = self.fleet.clock.now
        self.sent: dict[int, tuple[Kind, float, DrawnJob]] = {}
        self._jobs: dict[str, DrawnJob] = {}

    def play(self) -> Outcome:
        """Run the day and return its outcome."""
        for fault in self._day.faults:
            self._schedule_fault(fault)
        for kind in KINDS:
            self.fleet.clock.after(0, self._submit_next, kind)
        self.fleet.run(_DAY_S + _SETTLE_S)
        return score_day(self.results())

    def results(self) -> list[Result]:
        """Return the result of each job."""
        job_results = []
        for number, (kind, sent_at, job) in self.sent.items():
            answer = self.fleet.answers.get(number)
            is_served = answer and answer.verdict == answers.COMPLETED
            answered_at = self.fleet.answered_at.get(number, 0)
            job_results.append(
                Result(
                    kind.name,
                    sent_at - self.started_at,
                    job.worth,
                    job.objective_s,
                    answered_at - sent_at if is_served else None,
                ),
            )
        return job_results

    def _submit_next(self, kind: Kind) -> None:
        clock = self.fleet.clock
        elapsed_s = clock.now - self.started_at
        if elapsed_s > _DAY_S:
            return
        rate = kind.rate_per_s * self._day.load
        for burst in self._day.bursts:
            is_active = (
                burst.start_s <= elapsed_s < burst.start_s + burst.duration_s
            )
            if is_active and burst.kind == kind.name:
                rate *= burst.factor
        interval_s = self._source.random.expovariate(rate)
        clock.after(interval_s, self._submit_next, kind)
        job = self._source.draw(kind)
        self._jobs[job.request.job_id] = job
        entry = self._source.random.randrange(_ENTRIES)
        queue = self._queues[kind.name]
        number = self.fleet.submit(entry, job.request, queue)
        self.sent[number] = (kind, clock.now, job)

    def _draw_task_s(self, call: StartRun) -> float:
        job = self._jobs[call.task.partition('.')[0]]
        return self._source.draw_task_s(job)

    def _schedule_fault(self, fault: Fault) -> None:
        agents = range(_EXECUTORS)
        for index in self._source.random.sample(agents, fault.count):
            ends_at = fault.start_s + fault.duration_s
            clock = self.fleet.clock
            clock.after(fault.start_s, self._begin_fault, fault, index)
            clock.after(ends_at, self._end_fault, fault, index)

    def _begin_fault(self, fault: Fault, index: int) -> None:
        now = self.fleet.clock.now
        agent = self.fleet.agents[index]
        if fault.mode == SLOW:
            agent.executor.slow_down(now, fault.factor)
        elif fault.mode == HANG:
            agent.executor.hang(now)
        elif fault.mode == UNRESPONSIVE:
            agent.executor.unresponsive = True
        elif fault.mode == DISCONNECTED:
            for entry in self.fleet.entries:
                self.fleet.silence_link(
                    entry.name, agent.name, fault.duration_s
                )

    def _end_fault(self, fault: Fault, index: int) -> None:
        executor = self.fleet.agents[index].executor
        if fault.mode == SLOW:
            executor.slow_down(self.fleet.clock.now, 1 / fault.factor)
        elif fault.mode == HANG:
            executor.hanging = False
        elif fault.mode == UNRESPONSIVE:
            executor.unresponsive = False
            self.fleet.crash_executor(index)


def _executor(number: int) -> FakeExecutor:
    is_large = number % 3 == 2
    capacity = _LARGE_CAPACITY if is_large else _SMALL_CAPACITY
    executor = FakeExecutor(f'x{number}', capacity)
    executor.slowness = _LARGE_SLOWNESS if is_large else 1
    return executor


def main(arguments: Sequence[str] = ()) -> None:
    """Print the mean outcome of each day over the seeds."""
    seeds = int(arguments[0]) if arguments else _DEFAULT_SEEDS
    selected = arguments[1:]
    kinds = ' '.join(kind.name for kind in KINDS)
    sys.stdout.write(f'day worth whole windows {kinds} late refused\n')
    for day in DAYS:
        if not selected or day.name in selected:
            outcomes = [Replay(seed, day).play() for seed in range(seeds)]
            sys.stdout.write(f'{day.name} {_format_means(outcomes)}\n')


def _format_means(outcomes: list[Outcome]) -> str:
    rows = [
        (
            outcome.worth,
            outcome.day,
            outcome.windows,
            *(outcome.kinds[kind.name] for kind in KINDS),
            outcome.late,
            outcome.refused,
        )
        for outcome in outcomes
    ]
    means = [sum(column) / len(rows) for column in zip(*rows)]
    return ' '.join(f'{mean:.3f}' for mean in means)


if __name__ == '__main__':
    main(sys.argv[1:])
