"""Test what an agent learns and tells of the speed of its executor."""

from __future__ import annotations

import pytest
from worker_driver import WorkerDriver

from savoryrudder.protocol import work
from savoryrudder.worker import events
from savoryrudder.worker import outcomes

ESTIMATE_S = 0.2
RUNS = 40
HEARTBEAT_S = 1.5


def _run_tasks(driver: WorkerDriver, slowness: float) -> float:
    told: float = 0
    for number in range(RUNS):
        task = f'j{number}.0.0.0'
        driver.start(task)
        driver.answer_start(task, 'started')
        driver.now += ESTIMATE_S * slowness
        driver.answer_renewal(ended=(_end(driver, task),))
        told = _told_slowness(driver) or told
    return told


def _end(driver: WorkerDriver, task: str) -> events.RunEnd:
    number = driver.state.lease.last_end_number + 1
    return events.RunEnd(number, task, 1, outcomes.DONE)


def _told_slowness(driver: WorkerDriver) -> float:
    reports = driver.messages_of(work.ExecutorReport)
    return reports[-1].slowness if reports else 0


def _beat(driver: WorkerDriver, beats: int) -> list[float]:
    told = []
    for _ in range(beats):
        driver.now += HEARTBEAT_S
        driver.send_heartbeat()
        told.append(_told_slowness(driver))
    return told


@pytest.mark.parametrize('slowness', [0.6, 1.6])
def test_entries_are_told_the_speed_of_an_executor(slowness: float) -> None:
    """Guard against an entry that has to learn it by its own tasks."""
    driver = WorkerDriver()
    assert _run_tasks(driver, slowness) == pytest.approx(slowness, 0.2)


def test_an_idle_executor_that_was_slow_is_tried_again() -> None:
    """Guard against an executor that is left alone for ever."""
    driver = WorkerDriver()
    _run_tasks(driver, 4)
    told = [slowness for slowness in _beat(driver, 30) if slowness]
    assert told == sorted(told, reverse=True)
    assert told[-1] == pytest.approx(1, 0.25)
    # The reports stay rare.
    assert len(told) < 15


def test_another_instance_of_the_executor_has_a_speed_of_its_own() -> None:
    """Guard against a fast machine that is taken for its slow predecessor."""
    driver = WorkerDriver()
    _run_tasks(driver, 4)
    driver.replace_executor()
    driver.answer_renewal()
    assert _told_slowness(driver) == 1


@pytest.mark.parametrize('is_lone', [True, False])
def test_a_slow_run_tells_whether_other_runs_are_normal(
    *,
    is_lone: bool,
) -> None:
    """Guard against executors that are blamed for a long task."""
    driver = WorkerDriver()
    tasks = ('j1.0.0.0', 'j2.0.0.0')
    for task in tasks:
        driver.start(task)
        driver.answer_start(task, 'started')
    driver.now += ESTIMATE_S * 0.6
    driver.answer_renewal(
        (
            events.RunProgress(tasks[0], 1, 5),
            events.RunProgress(tasks[1], 1, 50 if is_lone else 5),
        ),
    )
    slow_runs = driver.messages_of(work.SlowRun)
    assert slow_runs[0].task == tasks[0]
    assert slow_runs[0].sound_executor is is_lone


def test_a_normal_end_since_its_start_shows_a_long_run_lone() -> None:
    """Guard against the blame for a long task whose siblings have ended."""
    driver = WorkerDriver()
    for task in ('j1.0.0.0', 'j2.0.0.0'):
        driver.start(task)
        driver.answer_start(task, 'started')
    driver.now += ESTIMATE_S
    driver.answer_renewal(
        (events.RunProgress('j1.0.0.0', 1, 1),),
        (_end(driver, 'j2.0.0.0'),),
    )
    driver.now += ESTIMATE_S
    driver.answer_renewal((events.RunProgress('j1.0.0.0', 1, 20),))
    assert driver.messages_of(work.SlowRun)[0].sound_executor
