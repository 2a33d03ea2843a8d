"""Test what an agent concludes from the executor's lists of runs and ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

FIRST_END = events.RunEnd(1, 'j.0.0.0', 1, outcomes.DONE)
SECOND_END = events.RunEnd(2, 'j.0.0.1', 1, outcomes.DONE)


def _run_two_tasks(driver: WorkerDriver) -> None:
    for number in range(2):
        driver.start(f'j.0.0.{number}')
        driver.answer_start(f'j.0.0.{number}', verdicts.STARTED)
    driver.now += 0.1


@pytest.mark.parametrize('is_stopped', [True, False])
def test_a_run_whose_end_is_not_on_the_list_yet_is_not_lost(
    driver: WorkerDriver,
    is_stopped: bool,
) -> None:
    """Guard against tasks that run again though they are done.

    An executor lists 500 ends at a time, and more runs may end at one moment.
    """
    _run_two_tasks(driver)
    if is_stopped:
        driver.receive(work.StopTask('j.0.0.1', 1))
        answer = events.StopAnswered(driver.now, 'j.0.0.1', 1, confirmed=True)
        driver.post(answer)
        driver.now += 0.1
    driver.answer_renewal(ended=(FIRST_END,), more_ends=True)
    assert [end.task for end in driver.messages_of(work.TaskEnded)] == [
        'j.0.0.0',
    ]
    assert driver.effects_of(effects.RenewLease)[0].acknowledged_upto == 1
    driver.answer_renewal(ended=(SECOND_END,))
    end = driver.messages_of(work.TaskEnded)[0]
    assert (end.task, end.outcome) == ('j.0.0.1', outcomes.DONE)


def test_a_run_that_no_list_shows_is_lost(driver: WorkerDriver) -> None:
    """Guard against a task that waits for a run that has ended unseen."""
    _run_two_tasks(driver)
    driver.answer_renewal(ended=(FIRST_END,))
    ends = driver.messages_of(work.TaskEnded)
    assert [end.outcome for end in ends] == [outcomes.DONE, outcomes.LOST]
