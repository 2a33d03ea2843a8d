"""Measure the added latency and the CPU time per task on processes.

Run with `python -m bench.latency`. Latencies are compared with direct
calls of the upstream in the same run.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from tests.processes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Callable

_CALLS: Final = 300
_RUN_MS: Final = 20
_MAX_LATENCY_US: Final = 60_000_000
_US_PER_S: Final = 1_000_000
_CALLER_THREADS: Final = 8
# Pairs of tasks per job and jobs per measurement.
_JOB_SIZES: Final = ((1, 400), (10, 80), (170, 10))
_AGENTS: Final = 3
_IDLE_TIME_S: Final = 10


class Latency(NamedTuple):
    """Hold two quantiles in microseconds."""

    p50: float
    p99: float


def main() -> None:
    """Measure and print both tables."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            _measure(deployment)
        finally:
            deployment.close()


def _measure(deployment: Deployment) -> None:
    deployment.start(entries=1, agents=_AGENTS)
    url = deployment.upstreams['agent-0']
    direct = _time_calls(
        lambda number: deployment.http.post(
            f'{url}/run/cutting-plan',
            json={'run_ms': _RUN_MS},
            headers={'Idempotency-Key': f'direct/{number}'},
        ),
    )
    dispatched = _time_calls(
        lambda number: deployment.submit(
            'entry-0',
            f'through-{number}',
            run_ms=_RUN_MS,
        ),
    )
    _print_row(
        'call', 'p50 us', 'p99 us', 'added p50 us', 'p50 ratio', 'p99 ratio'
    )
    _print_row('direct', direct.p50, direct.p99, 0, 1, 1)
    _print_row(
        'dispatched',
        dispatched.p50,
        dispatched.p99,
        dispatched.p50 - direct.p50,
        dispatched.p50 / direct.p50,
        dispatched.p99 / direct.p99,
    )
    _print_row()
    agents = [f'agent-{number}' for number in range(_AGENTS)]
    entry_before = _cpu_seconds(deployment, ['entry-0'])
    agents_before = _cpu_seconds(deployment, agents)
    time.sleep(_IDLE_TIME_S)
    entry_idle = (
        _cpu_seconds(deployment, ['entry-0']) - entry_before
    ) / _IDLE_TIME_S
    agent_idle = (
        (_cpu_seconds(deployment, agents) - agents_before)
        / _IDLE_TIME_S
        / _AGENTS
    )
    _print_row('idle', 'percent of a core')
    _print_row('entry', entry_idle * 100)
    _print_row('agent', agent_idle * 100)
    _print_row()
    _print_row('tasks a job', 'tasks', 'entry us a task', 'agent us a task')
    for size, jobs in _JOB_SIZES:
        _measure_cpu(deployment, size, jobs)


def _measure_cpu(deployment: Deployment, size: int, jobs: int) -> None:
    agents = [f'agent-{number}' for number in range(_AGENTS)]
    entry_before = _cpu_seconds(deployment, ['entry-0'])
    agents_before = _cpu_seconds(deployment, agents)
    with ThreadPoolExecutor(_CALLER_THREADS) as pool:
        answers = list(
            pool.map(
                lambda number: deployment.submit(
                    'entry-0',
                    f'{size}-{number}',
                    tasks=size,
                    run_ms=5,
                ).json(),
                range(jobs),
            ),
        )
    complete = sum(answer['status'] == 'complete' for answer in answers)
    tasks = complete * size
    _print_row(
        size,
        tasks,
        (_cpu_seconds(deployment, ['entry-0']) - entry_before)
        / tasks
        * _US_PER_S,
        (_cpu_seconds(deployment, agents) - agents_before) / tasks * _US_PER_S,
    )


def _time_calls(call: Callable[[int], object]) -> Latency:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for number in range(_CALLS):
        started_at = time.perf_counter()
        call(number)
        histogram.record_value(
            int((time.perf_counter() - started_at) * _US_PER_S)
        )
    return Latency(
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
    )


def _cpu_seconds(deployment: Deployment, names: list[str]) -> float:
    ticks = 0
    for name in names:
        pid = deployment.processes[name].pid
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        ticks += sum(int(field) for field in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def _print_row(*cells: object) -> None:
    row = (
        f'{cell:.2f}' if isinstance(cell, float) else str(cell)
        for cell in cells
    )
    sys.stdout.write(f'{" | ".join(row)}\n')


if __name__ == '__main__':
    main()
