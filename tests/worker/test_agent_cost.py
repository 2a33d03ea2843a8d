"""Test that the work of an agent per event does not grow with its runs."""

from __future__ import annotations

from functools import partial

from fakes.cost import count_lines
from worker_driver import LINK
from worker_driver import WorkerDriver

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.worker import events
from savoryrudder.worker import verdicts
from savoryrudder.worker.deadlines import next_tick_at

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


def _stop_runs(driver: WorkerDriver, count: int) -> None:
    _add_runs(driver, count)
    for run in tuple(driver.state.runs.values()):
        driver.receive(work.StopTask(*run.run_id))


def test_an_event_costs_the_same_while_many_runs_are_stopped(
    driver: WorkerDriver,
) -> None:
    """Guard against a scan of all runs being stopped at each event."""
    _stop_runs(driver, 3)
    small = count_lines(partial(_acknowledge, driver))
    _stop_runs(driver, 300)
    assert count_lines(partial(_acknowledge, driver)) <= MAX_GROWTH * small


def _lose_owner(driver: WorkerDriver, count: int) -> None:
    _add_runs(driver, count)
    driver.post(events.LinkDown(driver.now, LINK, 'cut'))
    driver.tick(0.5)


def _answer_stop(driver: WorkerDriver) -> None:
    key = next(iter(driver.state.stopping.values())).key
    answer = events.StopAnswered(driver.now, *key, confirmed=False)
    driver.post(answer)
    next_tick_at(driver.state, driver.now)


def test_an_event_costs_the_same_while_many_runs_have_no_owner() -> None:
    """Guard against a scan of all runs for the jobs that entries are told."""
    few = WorkerDriver()
    _lose_owner(few, 3)
    many = WorkerDriver()
    _lose_owner(many, 300)
    small = count_lines(partial(_answer_stop, few))
    assert count_lines(partial(_answer_stop, many)) <= MAX_GROWTH * small


def _refuse_start(driver: WorkerDriver) -> None:
    task = next(iter(driver.state.runs))
    driver.answer_start(task, verdicts.REFUSED)


def test_an_end_costs_the_same_while_many_runs_have_no_owner() -> None:
    """Guard against a scan of all runs at the end of each of them."""
    few = WorkerDriver()
    _lose_owner(few, 3)
    many = WorkerDriver()
    _lose_owner(many, 300)
    small = count_lines(partial(_refuse_start, few))
    assert count_lines(partial(_refuse_start, many)) <= MAX_GROWTH * small


def _list_slow_runs(count: int) -> int:
    """Return the cost of a list on which all runs turn out to be slow."""
    driver = WorkerDriver()
    _add_runs(driver, count)
    tasks = tuple(driver.state.runs)
    for started in tasks:
        driver.answer_start(started, verdicts.STARTED)
    driver.now += 10
    listed = tuple(events.RunProgress(task, 1, 10) for task in tasks)
    return count_lines(partial(driver.answer_renewal, listed))


def test_the_cost_of_slow_runs_grows_with_their_number_only() -> None:
    """Guard against a comparison of each slow run with all others."""
    assert _list_slow_runs(300) <= MAX_GROWTH * 10 * _list_slow_runs(30)
