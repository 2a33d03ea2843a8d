"""Let thousands of runs end at one moment, on separate processes."""

from __future__ import annotations

import contextlib
import os
import time
from typing import TYPE_CHECKING
from typing import Final

import pytest

from tests.processes.platform_fleet import JobShape
from tests.processes.platform_fleet import PlatformFleet
from tests.processes.process_memory import read_resident_bytes

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# Small tasks in jobs of the largest size that the users name.
LARGE_JOB: Final = JobShape(170, 25, 30_000)
JOBS: Final = 28
RUNS: Final = LARGE_JOB.tasks * JOBS
# Of the users' machines beside executors.
AGENT_MEMORY_MB: Final = 168
BYTES_PER_MB: Final = 1024 * 1024
WATCH_S: Final = 6
SAMPLE_INTERVAL_S: Final = 0.02
# A stop may be sent again after a call without an answer.
MAX_STOPS: Final = 2 * RUNS


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    """Provide two entries and two agents that serve."""
    number = os.getpid()
    network = f'127.{number // 250 % 100 + 100}.{number % 250}'
    with contextlib.closing(
        PlatformFleet(tmp_path, network, entries=2, agents=2),
    ) as started:
        started.wait_until_serving()
        yield started


def _read_peak_mb(fleet: PlatformFleet) -> float:
    """Return the most memory that an agent has while it is watched."""
    peak_bytes = 0
    ends_at = time.monotonic() + WATCH_S
    while time.monotonic() < ends_at:
        for agent in fleet.agents:
            resident_bytes = read_resident_bytes(agent.process.pid)
            peak_bytes = max(peak_bytes, resident_bytes)
        time.sleep(SAMPLE_INTERVAL_S)
    return peak_bytes / BYTES_PER_MB


def _count_calls(fleet: PlatformFleet, kind: str) -> int:
    name = f'savoryrudder_call_{kind}_total '
    return sum(
        int(float(line.split()[1]))
        for agent in fleet.agents
        for line in agent.read_metrics().splitlines()
        if line.startswith(name)
    )


def test_the_runs_of_a_killed_entry_end_within_the_memory_of_the_agents(
    fleet: PlatformFleet,
) -> None:
    """Guard against agents that end for thousands of runs without an owner.

    They sent a call for each run at once, and sent it again before it ended.
    """
    for _ in range(JOBS):
        fleet.submit_in_background(0, LARGE_JOB)
    fleet.wait_for_runs(RUNS, RUNS)
    fleet.entries[0].kill()
    peak_mb = _read_peak_mb(fleet)
    assert peak_mb < AGENT_MEMORY_MB
    assert _count_calls(fleet, 'StopRun') <= MAX_STOPS
    fleet.wait_for_runs(0, 0)
    fleet.serve_ordinary_job(1)
