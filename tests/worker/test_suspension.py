"""Check the suspension of an executor without progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

STUCK_S = 0.2
SUSPENSION_S = 1.1


def _start_runs(
    driver: WorkerDriver,
    *tasks: str,
) -> tuple[events.RunProgress, ...]:
    for started in tasks:
        driver.start(started)
        driver.answer_start(started, verdicts.STARTED)
    listed = tuple(events.RunProgress(task, 1, 40) for task in tasks)
    driver.answer_renewal(running=listed)
    return listed


def _let_runs_get_stuck(driver: WorkerDriver, *tasks: str) -> None:
    listed = _start_runs(driver, *tasks)
    driver.now += STUCK_S
    driver.answer_renewal(running=listed)


def test_an_executor_without_progress_is_suspended(
    driver: WorkerDriver,
) -> None:
    """Guards against several jobs losing a task to a hanging executor.

    This happened in a replay of kpf-cutdesk scale-1, where each entry had to
    detect the fault by itself.
    """
    _let_runs_get_stuck(driver, 'j.0', 'k.0')
    assert not driver.state.accepting
    driver.start('l.0')
    assert not driver.effects_of(effects.StartRun)


def test_an_agent_that_stood_still_does_not_take_its_executor_for_stuck(
    driver: WorkerDriver,
) -> None:
    """Guards against judging runs by a list from before a standstill.

    The agents of a whole fleet suspended their executors when they woke up, and
    ordinary jobs were not answered for four seconds.
    """
    listed = _start_runs(driver, 'j.0', 'k.0')
    sent_at = driver.now
    driver.now += 3
    driver.answer_renewal(running=listed, sent_at=sent_at)
    assert driver.state.accepting
    assert not driver.messages_of(work.SlowRun)


def test_one_stuck_job_does_not_suspend_the_executor(
    driver: WorkerDriver,
) -> None:
    """Guards against suspending the executor because of one bad job."""
    _let_runs_get_stuck(driver, 'j.0', 'j.1')
    assert driver.state.accepting


def test_progress_of_one_run_prevents_the_suspension(
    driver: WorkerDriver,
) -> None:
    """Guards against suspending an executor that still runs tasks."""
    listed = _start_runs(driver, 'j.0', 'k.0', 'l.0')
    driver.now += STUCK_S
    driver.answer_renewal(
        running=(*listed[:2], events.RunProgress('l.0', 1, 60))
    )
    assert driver.state.accepting


def test_one_task_at_a_time_is_started_after_a_suspension(
    driver: WorkerDriver,
) -> None:
    """Guards against flooding an executor that may still hang."""
    _let_runs_get_stuck(driver, 'j.0', 'k.0')
    ends = tuple(
        events.RunEnd(number, task, 1, outcomes.STOPPED)
        for number, task in enumerate(('j.0', 'k.0'), 1)
    )
    driver.answer_renewal(ended=ends)
    driver.tick(SUSPENSION_S)
    assert driver.messages_of(work.ExecutorReport)[-1].on_trial
    driver.start('l.0')
    assert driver.effects_of(effects.StartRun)
    driver.start('m.0')
    assert not driver.effects_of(effects.StartRun)
    driver.answer_start('l.0', verdicts.STARTED)
    driver.answer_renewal(running=(events.RunProgress('l.0', 1, 10),))
    driver.answer_renewal(running=(events.RunProgress('l.0', 1, 20),))
    driver.start('m.0', run=2)
    assert driver.effects_of(effects.StartRun)


def test_an_executor_on_trial_with_a_run_has_nothing_free(
    driver: WorkerDriver,
) -> None:
    """Guards against entries that send it one refused start after another."""
    _let_runs_get_stuck(driver, 'j.0', 'k.0')
    ends = tuple(
        events.RunEnd(number, task, 1, outcomes.STOPPED)
        for number, task in enumerate(('j.0', 'k.0'), 1)
    )
    driver.answer_renewal(ended=ends)
    driver.tick(SUSPENSION_S)
    driver.start('l.0')
    driver.start('m.0')
    report = driver.messages_of(work.ExecutorReport)[-1]
    assert report.on_trial
    assert not report.free.cpu
    driver.answer_start('l.0', verdicts.STARTED)
    driver.answer_renewal(running=(events.RunProgress('l.0', 1, 10),))
    report = driver.messages_of(work.ExecutorReport)[-1]
    assert not report.on_trial
    assert report.free.cpu > 0
