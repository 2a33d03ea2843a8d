"""Test how an entry learns how fast its queue is worked off."""

from __future__ import annotations

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.dispatch import events
from savoryrudder.dispatch.drain_rate import DrainRate
from savoryrudder.dispatch.drain_rate import expected_cpu
from savoryrudder.jobs.model import Resources

AGENTS = 2
SHARE_CPU = AGENTS * CAPACITY.cpu
ONE_TASK = Resources(1000, 4096, 0)


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 1e6)), max_size=20))
def test_a_rate_decays_without_starts_and_grows_with_each(
    starts: list[tuple[float, float]],
) -> None:
    """Guard against a rate that is negative, or that no start changes."""
    rate = DrainRate(1000, 0)
    now = float(0)
    for elapsed_s, work_cpu_ms in starts:
        now += elapsed_s
        decayed = rate.at(now)
        assert 0 <= decayed <= rate.cpu
        rate.add(now, work_cpu_ms)
        assert rate.at(now) == pytest.approx(decayed + work_cpu_ms / 1000)


def test_a_steady_rate_of_starts_becomes_the_rate() -> None:
    """Guard against an average that is off by a factor."""
    rate = DrainRate(0, 0)
    for number in range(500):
        rate.add(number / 100, 40_000)
    assert rate.at(5) == pytest.approx(4000, rel=0.05)


def _expected_cpu(driver: EntryDriver) -> float:
    return expected_cpu(driver.state, SERVICE, driver.now)


def _full_driver() -> EntryDriver:
    driver = EntryDriver(AGENTS, NO_CPU)
    driver.state.started_at = driver.now - 10
    return driver


def test_an_entry_whose_queue_stands_still_expects_less_than_its_share() -> (
    None
):
    """Guard against jobs that are accepted for room that others have taken."""
    driver = _full_driver()
    driver.submit('j1')
    assert _expected_cpu(driver) == SHARE_CPU
    driver.now += 1
    assert _expected_cpu(driver) < SHARE_CPU / 2
    driver.now += 10
    assert 0 < _expected_cpu(driver) < SHARE_CPU / 2


def test_an_entry_that_gets_more_than_its_share_expects_it() -> None:
    """Guard against refusals for a share that is too small."""
    driver = _full_driver()
    driver.submit('j1', tasks=2)
    for number in range(100):
        driver.now += 0.01
        driver.submit(f'k{number}', tasks=1)
        driver.report(f'l{number % AGENTS}', ONE_TASK, starts=number)
    assert driver.state.job_queue
    assert _expected_cpu(driver) > SHARE_CPU


def test_without_a_queue_the_share_holds_again() -> None:
    """Guard against a low load that is taken for little room."""
    driver = _full_driver()
    driver.submit('j1', tasks=1)
    driver.now += 1
    assert _expected_cpu(driver) < SHARE_CPU
    driver.report('l0', CAPACITY)
    assert not driver.state.job_queue
    assert _expected_cpu(driver) == SHARE_CPU


def test_the_rate_is_forgotten_when_the_caller_leaves() -> None:
    """Guard against the rate of a queue that is gone."""
    driver = _full_driver()
    driver.submit('j1', tasks=1)
    driver.now += 1
    driver.post(events.CallerDisconnected(driver.now, 1))
    assert _expected_cpu(driver) == SHARE_CPU
