"""Test placement and moves with executors of different speed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from entry_driver import EntryDriver
from fakes.cost import count_lines
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE

from savoryrudder.dispatch import events
from savoryrudder.dispatch.health import is_avoided
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView

# As for blocked jobs: a look, not a search.
MAX_LINES_PER_JOB = 40


def _slow_run(driver: EntryDriver, *, sound_executor: bool) -> AgentView:
    link = _starts(driver.submit('j1', tasks=1))[0]
    slow = work.SlowRun('j1.0.0.0', 1, 7, 1000, 1, sound_executor)
    driver.receive(link, slow)
    return driver.state.agents[link]


def test_a_long_run_beside_normal_ones_is_not_the_fault_of_its_executor() -> (
    None
):
    """Guard against sound executors that are avoided for seconds."""
    driver = EntryDriver(8)
    agent = _slow_run(driver, sound_executor=True)
    assert not is_avoided(agent, driver.now)


def test_an_executor_is_avoided_unless_other_runs_show_it_sound() -> None:
    """Guard against slow executors that are taken for sound ones."""
    driver = EntryDriver(8)
    agent = _slow_run(driver, sound_executor=False)
    assert is_avoided(agent, driver.now)


def _starts(effects: list[Any]) -> list[str]:
    return [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    ]


def _report(
    driver: EntryDriver,
    link: str,
    slowness: float,
    free_tasks: int,
) -> list[Any]:
    report = work.ExecutorReport(
        link,
        SERVICE,
        (),
        CAPACITY,
        CAPACITY._replace(cpu=1000 * free_tasks),
        accepting=True,
        starts_seen=100,
        slowness=slowness,
    )
    return driver.receive(link, report)


def test_faster_executors_are_preferred() -> None:
    """Guard against a free slow executor before a fast one with less room."""
    driver = EntryDriver(2)
    _report(driver, 'l0', 1.5, 8)
    _report(driver, 'l1', 0.7, 5)
    assert _starts(driver.submit('j1', tasks=2)) == ['l1', 'l1']


def _driver_with_a_slow_executor(slowness: float) -> EntryDriver:
    # Seven of eight executors have room for one task each, the slow one for
    # many.
    driver = EntryDriver(8)
    for number in range(1, 8):
        _report(driver, f'l{number}', 1, 1)
    _report(driver, 'l0', slowness, 8)
    driver.post(_tick(driver))
    return driver


def _tick(driver: EntryDriver) -> events.Tick:
    return events.Tick(driver.now)


def test_the_last_task_of_a_job_waits_for_a_faster_executor() -> None:
    """Guard against one task in eight that makes the whole job late."""
    driver = _driver_with_a_slow_executor(2.5)
    started = _starts(driver.submit('j1', tasks=8))
    assert sorted(started) == [f'l{number}' for number in range(1, 8)]
    driver.now += 0.01
    started = _starts(_report(driver, 'l3', 1, 1))
    assert started == ['l3']


def test_a_task_waits_no_longer_than_that_helps() -> None:
    """Guard against tasks that wait beside free processors until too late."""
    driver = _driver_with_a_slow_executor(2.5)
    driver.submit('j1', tasks=8)
    driver.now += 0.05
    assert _starts(driver.post(_tick(driver))) == ['l0']


def test_a_slow_executor_is_used_if_the_job_is_in_time_there() -> None:
    """Guard against slow executors that stand idle."""
    driver = _driver_with_a_slow_executor(1.45)
    assert 'l0' in _starts(driver.submit('j1', tasks=8))


def test_a_slow_executor_is_used_if_much_work_is_waiting() -> None:
    """Guard against a queue that would be served later for want of it."""
    driver = _driver_with_a_slow_executor(2.5)
    driver.state.started_at = driver.now
    assert 'l0' in _starts(driver.submit('j1', tasks=150))


def _deferred_queue_cost(jobs: int) -> int:
    driver = _driver_with_a_slow_executor(2.5)
    driver.submit('j0', tasks=8)
    for number in range(1, jobs):
        driver.submit(f'j{number}', tasks=1)
    assert len(driver.state.job_queue) == jobs
    _report(driver, 'l0', 2.5, 7)
    return count_lines(partial(_report, driver, 'l0', 2.5, 8))


def test_jobs_behind_deferred_ones_are_not_all_searched_for() -> None:
    """Guard against a search for each waiting job at each end of a task."""
    added_cost = _deferred_queue_cost(24) - _deferred_queue_cost(4)
    assert added_cost <= MAX_LINES_PER_JOB * 20
