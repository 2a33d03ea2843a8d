"""Measure takeover, store calls and service during a store outage.

Run with `make bench` or `PYTHONPATH=src:tests:tests/proofs python -m
bench.recovery`. It runs the real reducers in the simulated world of the tests.
"""

from __future__ import annotations

import statistics
import sys
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from unittest import mock

from fakes.world import World
from oracle import Oracle

from savoryrudder.entry import partition_map

if TYPE_CHECKING:
    from fakes.callers import Call

_SEEDS: Final = range(1, 11)
_JOBS: Final = 30
_TASKS: Final = 5
_OUTAGE_S: Final = 300
_STEADY_S: Final = 60


class Recovery(NamedTuple):
    """Hold the recovery of a fleet from the loss of an entry."""

    first_s: float
    complete: int
    total: int


def main() -> None:
    """Print all tables."""
    _print_takeover()
    _print_store_calls()
    _print_outage()


def _print_takeover() -> None:
    _print_row(
        'takeover', 'median s to first answer', 'worst s', 'complete share'
    )
    _print_row('on', *_summarize([_lose_entry(seed) for seed in _SEEDS]))
    with mock.patch.object(partition_map, '_is_gone', lambda *_: False):
        _print_row('off', *_summarize([_lose_entry(seed) for seed in _SEEDS]))


def _lose_entry(seed: int) -> Recovery:
    """Kill an entry with jobs in flight, which are resubmitted."""
    world = World(Oracle(), seed)
    calls = [
        world.callers.submit(
            world.processes[f'e{number % 3 + 1}'],
            f'job-{number}',
            _TASKS,
            persistent=True,
        )
        for number in range(_JOBS)
    ]
    owned = {call.key for call in calls if world.owner_of(call.key) == 'e1'}
    world.clock.run(0.1)
    killed_at = world.clock.now
    world.kill('e1')
    world.clock.run(30)
    complete = _first_completions(world, owned)
    return Recovery(
        min(complete.values(), default=float('inf')) - killed_at,
        len(complete),
        len(owned),
    )


def _first_completions(world: World, keys: set[str]) -> dict[str, float]:
    """Return the time of the first complete answer to each job."""
    completions: dict[str, float] = {}
    for call in world.callers.calls.values():
        if call.key in keys and call.status == 'complete/':
            completions.setdefault(call.key, call.answered_at)
    return completions


def _summarize(recoveries: list[Recovery]) -> tuple[float, float, float]:
    total = sum(recovery.total for recovery in recoveries)
    return (
        statistics.median(recovery.first_s for recovery in recoveries),
        max(recovery.first_s for recovery in recoveries),
        sum(recovery.complete for recovery in recoveries) / total,
    )


def _print_store_calls() -> None:
    _print_row()
    _print_row('entries', 'agents', 'jobs a second', 'store calls a second')
    for entries, agents, rate in (
        (1, 3, 0),
        (2, 3, 0),
        (4, 3, 0),
        (8, 3, 0),
        (3, 3, 0),
        (3, 10, 0),
        (3, 30, 0),
        (3, 10, 5),
        (3, 10, 20),
    ):
        _print_row(entries, agents, rate, _store_calls(entries, agents, rate))


def _store_calls(entries: int, agents: int, rate: int) -> float:
    world = World(Oracle(), 1, entries=entries, agents=agents)
    world.clock.run(10)
    counting_call = mock.Mock(wraps=world.store.call)
    with mock.patch.object(world.store, 'call', counting_call):
        _submit_steadily(world, rate, _STEADY_S)
    return counting_call.call_count / _STEADY_S


def _submit_steadily(world: World, rate: int, seconds: int) -> list[Call]:
    calls = []
    if not rate:
        world.clock.run(seconds)
        return calls
    for number in range(rate * seconds):
        entry = world.pick_entry()
        if entry is not None:
            key = f'steady-{world.clock.now:.3f}-{number}'
            calls.append(world.callers.submit(entry, key, 1))
        world.clock.run(1 / rate)
    return calls


def _print_outage() -> None:
    _print_row()
    _print_row('store outage of 300 s', 'share of jobs complete')
    _print_row('all entries alive', _serve_outage(None))
    _print_row('one of three lost 20 s before', _serve_outage(-20))
    _print_row('one of three lost 60 s into it', _serve_outage(60))


def _serve_outage(lost_after_s: int | None) -> float:
    world = World(Oracle(), 3)
    if lost_after_s is not None and lost_after_s < 0:
        world.kill('e1')
        world.clock.run(-lost_after_s)
    world.store.down = True
    calls: list[Call] = []
    kill_after_s = lost_after_s if (lost_after_s or 0) > 0 else 0
    if kill_after_s:
        calls += _submit_steadily(world, 2, kill_after_s)
        world.kill('e1')
    calls += _submit_steadily(world, 2, _OUTAGE_S - kill_after_s)
    world.clock.run(15)
    complete = sum(call.status == 'complete/' for call in calls)
    return complete / len(calls)


def _print_row(*cells: object) -> None:
    texts = [
        f'{cell:.3f}' if isinstance(cell, float) else str(cell)
        for cell in cells
    ]
    sys.stdout.write(f'{" | ".join(texts)}\n')


if __name__ == '__main__':
    main()
