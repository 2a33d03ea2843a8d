"""Check that executors which are slow after their start are used last."""

from __future__ import annotations

from typing import Any

from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import ZONE

from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send


def _links_of_starts(effects: list[Any]) -> set[str]:
    return {
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask | work.StartTasks)
    }


def test_a_cold_executor_is_used_when_no_warm_one_is_free() -> None:
    """Guards against tasks on a slow executor while others are idle.

    The cold one is in the zone of the entry and has more free processors.
    """
    driver = EntryDriver(2, zones=(ZONE, 'zone-b'))
    driver.report('l0', CAPACITY, cold=True)
    half = CAPACITY._replace(cpu=CAPACITY.cpu // 2)
    driver.report('l1', half)
    assert _links_of_starts(driver.submit('j1', tasks=2, cpu=2000)) == {'l1'}
    assert _links_of_starts(driver.submit('j2', tasks=1, cpu=2000)) == {'l0'}
    driver.report('l0', CAPACITY, starts=1)
    driver.report('l1', half, starts=1)
    assert _links_of_starts(driver.submit('j3', tasks=1, cpu=2000)) == {'l0'}


def test_a_warm_executor_is_found_among_many_cold_ones() -> None:
    """Guards against a sample that holds cold executors only."""
    driver = EntryDriver(41)
    for number in range(40):
        driver.report(f'l{number}', CAPACITY, cold=True)
    warm = CAPACITY._replace(cpu=1000)
    driver.report('l40', warm)
    assert _links_of_starts(driver.submit('j1', tasks=1)) == {'l40'}
