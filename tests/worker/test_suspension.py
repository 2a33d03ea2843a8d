"""Check the judgement of an executor that stands still."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

STILL_S = 0.2
SUSPENSION_S = 1.1


def _run(driver: WorkerDriver, *tasks: str) -> tuple[events.RunListed, ...]:
    for started in tasks:
        driver.start(started)
        driver.answer_start(started, verdicts.STARTED)
    listed = tuple(events.RunListed(one, 1, 40) for one in tasks)
    driver.look(running=listed)
    return listed


def _stand_still(driver: WorkerDriver, *tasks: str) -> None:
    listed = _run(driver, *tasks)
    driver.now += STILL_S
    driver.look(running=listed)


def test_an_executor_on_which_nothing_goes_on_takes_no_tasks(
    driver: WorkerDriver,
) -> None:
    """Guards against jobs that lose a task each to an executor that hangs.

    Seen in a replay of kpf-cutdesk scale-1: each entry found out by itself.
    """
    _stand_still(driver, 'j.0', 'k.0')
    assert not driver.state.accepting
    driver.start('l.0')
    assert not driver.found(effects.CallStart)


def test_a_job_that_stands_still_alone_is_no_fault_of_the_executor(
    driver: WorkerDriver,
) -> None:
    """Guards against an executor that is given up for one bad job."""
    _stand_still(driver, 'j.0', 'j.1')
    assert driver.state.accepting


def test_one_run_that_goes_on_shows_a_sound_executor(
    driver: WorkerDriver,
) -> None:
    """Guards against a suspension while tasks are being done."""
    listed = _run(driver, 'j.0', 'k.0', 'l.0')
    driver.now += STILL_S
    driver.look(running=(*listed[:2], events.RunListed('l.0', 1, 60)))
    assert driver.state.accepting


def test_after_a_suspension_one_task_at_a_time_is_tried(
    driver: WorkerDriver,
) -> None:
    """Guards against a flood of tasks for an executor that may still hang."""
    _stand_still(driver, 'j.0', 'k.0')
    ends = tuple(
        events.EndListed(number, task, 1, outcomes.STOPPED)
        for number, task in enumerate(('j.0', 'k.0'), 1)
    )
    driver.look(ended=ends)
    driver.tick(SUSPENSION_S)
    assert driver.sent(work.ExecutorReport)[-1].on_trial
    driver.start('l.0')
    assert driver.found(effects.CallStart)
    driver.start('m.0')
    assert not driver.found(effects.CallStart)
    driver.answer_start('l.0', verdicts.STARTED)
    driver.look(running=(events.RunListed('l.0', 1, 10),))
    driver.look(running=(events.RunListed('l.0', 1, 20),))
    driver.start('m.0', run=2)
    assert driver.found(effects.CallStart)
