"""Test the log lines of an agent about its runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Log
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

SMALL_DEMAND = Resources(1, 1, 0)
RUNS = 300
# Lines of a burst that the log takes, for all that it has to tell.
MAX_LINES = 20


def _run_tasks(driver: WorkerDriver) -> None:
    for number in range(RUNS):
        task = f'j.0.0.{number}'
        driver.receive(
            work.StartTask(1, task, 1, 's', SMALL_DEMAND, 200, durable=False),
        )
        driver.answer_start(task, verdicts.STARTED)
    driver.now += 0.1


def _lines(driver: WorkerDriver, name: str) -> list[dict[str, str]]:
    return [
        dict(line.fields)
        for line in driver.effects_of(Log)
        if line.name == name
    ]


def test_the_runs_of_a_job_that_end_together_share_a_line(
    driver: WorkerDriver,
) -> None:
    """Guard against lines that are dropped when thousands of runs end."""
    _run_tasks(driver)
    driver.answer_renewal()
    assert len(driver.effects_of(Log)) <= MAX_LINES
    line = _lines(driver, 'run-ended')[0]
    assert (line['job'], line['count']) == ('j', str(RUNS))
    assert line['outcome'] == outcomes.LOST
    assert '0.0.17' in line['tasks'].split()


def test_the_end_of_one_run_has_a_line_of_its_own(
    driver: WorkerDriver,
) -> None:
    """Guard against a failed task that its name does not find in the log."""
    driver.start('j.0.0.1')
    driver.answer_start('j.0.0.1', verdicts.STARTED)
    ended = events.RunEnd(1, 'j.0.0.1', 1, outcomes.FAILED)
    driver.answer_renewal(ended=(ended,))
    assert _lines(driver, 'run-ended')[0]['task'] == 'j.0.0.1'


def test_the_runs_of_a_lost_owner_share_a_line(driver: WorkerDriver) -> None:
    """Guard against a line for each of thousands of runs to be stopped."""
    _run_tasks(driver)
    driver.post(events.LinkDown(driver.now, 'l1', 'cut'))
    driver.tick(0.5)
    assert len(driver.effects_of(Log)) <= MAX_LINES
    line = _lines(driver, 'owner-lost')[0]
    assert (line['job'], line['count']) == ('j', str(RUNS))


def test_the_runs_of_a_former_process_share_a_line(
    driver: WorkerDriver,
) -> None:
    """Guard against a line for each run that a restarted agent finds."""
    driver.replace_executor()
    found = tuple(
        events.RunProgress(f'j.0.0.{number}', 1, 10) for number in range(RUNS)
    )
    driver.answer_renewal(found, started_ms=6)
    assert len(driver.effects_of(Log)) <= MAX_LINES
    line = _lines(driver, 'stray-run')[0]
    assert (line['job'], line['count']) == ('j', str(RUNS))
