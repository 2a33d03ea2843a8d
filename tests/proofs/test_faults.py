"""Guard the invariants against one class of faults at a time."""

from __future__ import annotations

from fakes.world import World
from oracle import Oracle


def test_job_completes_without_faults() -> None:
    """Guard against a world that proves nothing because nothing runs."""
    world = World(Oracle(), seed=1)
    calls = [
        world.callers.submit(world.places[place], f'k-{place}', 5)
        for place in ('e1', 'e2', 'e3')
    ]
    world.clock.run(5)
    assert {call.status for call in calls} == {'complete/'}
    assert world.oracle.judge() == []
