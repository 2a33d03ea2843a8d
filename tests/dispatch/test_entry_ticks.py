"""Test that an entry ticks when something is due, and not otherwise."""

from __future__ import annotations

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY

from savoryrudder.dispatch import events
from savoryrudder.dispatch.deadlines import next_tick_at
from savoryrudder.protocol import work
from savoryrudder.utils.ticks import TICK_S

MAX_IDLE_TICKS_PER_S = 3


def _ticks_in(driver: EntryDriver, seconds: float) -> int:
    """Tick when something is due; return the number of ticks."""
    end = driver.now + seconds
    ticks = 0
    while True:
        due_at = next_tick_at(driver.state, driver.now)
        if due_at > end:
            return ticks
        ticks += 1
        driver.now = due_at
        driver.post(events.Tick(driver.now))


def test_an_idle_entry_rarely_ticks() -> None:
    """Guard against processes without work that use up processor time."""
    assert _ticks_in(EntryDriver(10), 10) <= MAX_IDLE_TICKS_PER_S * 10


def test_an_entry_whose_tasks_run_rarely_ticks() -> None:
    """Guard against ticks of an entry that waits for the ends of its tasks."""
    driver = EntryDriver(10)
    driver.submit('j1')
    _ticks_in(driver, 1)
    assert _ticks_in(driver, 10) <= MAX_IDLE_TICKS_PER_S * 10


def test_queued_jobs_are_looked_at_each_tick() -> None:
    """Guard against refusals that come later than they could."""
    driver = EntryDriver(2, NO_CPU)
    driver.submit('j1')
    assert next_tick_at(driver.state, driver.now) <= driver.now + 2 * TICK_S


def test_claims_are_announced_in_time() -> None:
    """Guard against a job that another entry starts for want of a claim."""
    driver = EntryDriver(2)
    for changes in driver.state.claim_changes:
        changes.announced_at = driver.now
    driver.submit('j1')
    interval_s = driver.state.timing.announcement_s
    due_at = next_tick_at(driver.state, driver.now)
    assert due_at <= driver.now + interval_s + TICK_S


def test_tasks_of_a_lost_agent_are_looked_at_each_tick() -> None:
    """Guard against tasks that are started again later than they could be."""
    driver = EntryDriver(1)
    driver.submit('j1')
    driver.receive('l0', work.RunningTasks(()))
    driver.post(events.LinkDown(driver.now, 'l0', 'connection lost'))
    assert next_tick_at(driver.state, driver.now) <= driver.now + 2 * TICK_S


def test_a_job_that_cannot_start_is_refused_on_time() -> None:
    """Guard against refusals that wait for the next of the regular ticks."""
    driver = EntryDriver(2, NO_CPU)
    driver.submit('j1')
    job = driver.state.jobs['j1']
    refused_at = job.arrived_at + job.objective_s / 4
    while driver.state.jobs:
        driver.now = next_tick_at(driver.state, driver.now)
        driver.post(events.Tick(driver.now))
    assert driver.now == pytest.approx(refused_at)


def test_a_job_that_starts_is_not_refused_later() -> None:
    """Guard against a refusal of a job whose first task runs."""
    driver = EntryDriver(1, CAPACITY._replace(cpu=1000))
    driver.submit('j1', tasks=2, cpu=1000)
    assert driver.state.jobs['j1'].started_at is not None
    _ticks_in(driver, 10)
    assert not driver.state.jobs['j1'].ended
