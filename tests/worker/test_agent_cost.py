"""Test that the work of an agent per event does not grow with its runs."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from fakes.cost import count_lines

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.worker.deadlines import next_tick_at

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

SMALL_DEMAND = Resources(10, 1, 0)
# Events are to stay flat within this factor.
MAX_GROWTH = 2


def _add_runs(driver: WorkerDriver, count: int) -> None:
    for _ in range(count):
        task = f'j{len(driver.state.runs)}.0'
        driver.receive(
            work.StartTask(1, task, 1, 's', SMALL_DEMAND, 200, durable=False),
        )


def _acknowledge(driver: WorkerDriver) -> None:
    driver.receive(work.EndsAcknowledged(()))
    next_tick_at(driver.state, driver.now)


def test_an_event_costs_the_same_with_many_runs(driver: WorkerDriver) -> None:
    """Guard against a scan of all runs at each event.

    Agents summed up their runs three times an event, and together used more
    processor time than the entries.
    """
    _add_runs(driver, 3)
    small = count_lines(partial(_acknowledge, driver))
    _add_runs(driver, 300)
    assert count_lines(partial(_acknowledge, driver)) <= MAX_GROWTH * small


def test_the_free_capacity_follows_the_runs(driver: WorkerDriver) -> None:
    """Guard against capacity that stays occupied, or is released twice."""
    capacity = driver.state.free
    _add_runs(driver, 2)
    driver.start('j.0')
    driver.start('j.0')
    assert driver.state.free == capacity.minus(Resources(2020, 66, 0))
    driver.receive(work.StopTask('j.0', 1))
    driver.answer_start('j.0', 'refused')
    assert driver.state.free == capacity.minus(Resources(20, 2, 0))
    driver.replace_executor(name='x2')
    assert driver.state.free == capacity
    assert not driver.state.stopping
