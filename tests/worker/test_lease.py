"""Check renewals, silence and slow runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver


def _run(driver: WorkerDriver, *tasks: str) -> None:
    for task in tasks:
        driver.start(task)
        driver.answer_start(task, verdicts.STARTED)


def test_an_idle_executor_is_not_looked_at(driver: WorkerDriver) -> None:
    """Guards against looks that nobody needs."""
    driver.tick(5)
    assert not driver.found(effects.CallRenew)


def test_a_start_is_followed_by_a_renewal_at_once(
    driver: WorkerDriver,
) -> None:
    """Guards against an end that is noticed half a second late."""
    driver.start('j.0')
    assert driver.found(effects.CallRenew)


def test_a_silent_executor_loses_its_runs_after_the_lease(
    driver: WorkerDriver,
) -> None:
    """Guards against runs that are given up while they may go on."""
    _run(driver, 'j.0')
    driver.post(events.LeaseUnanswered(driver.now, 'silent'))
    driver.tick(0.9)
    assert not driver.sent(work.TaskEnded)
    driver.post(events.LeaseUnanswered(driver.now, 'silent'))
    driver.tick(1.2)
    assert driver.sent(work.TaskEnded)[0].outcome == outcomes.LOST
    # The room stays taken: a late start may still be carried out.
    assert driver.state.runs


def test_a_run_without_progress_is_reported_once(
    driver: WorkerDriver,
) -> None:
    """Guards against tasks that wait for an executor that hangs."""
    _run(driver, 'j.0')
    listed = (events.RunListed('j.0', 1, 40),)
    driver.look(running=listed)
    driver.now += 0.4
    driver.look(running=listed)
    assert driver.sent(work.SlowRun)[0].remaining_ms == -1
    driver.look(running=listed)
    assert not driver.sent(work.SlowRun)


def test_one_job_far_over_its_estimate_is_no_slow_executor(
    driver: WorkerDriver,
) -> None:
    """Guards against tasks that move because their estimate was off."""
    _run(driver, 'j.0', 'j.1')
    driver.now += 0.2
    listed = (events.RunListed('j.0', 1, 25), events.RunListed('j.1', 1, 25))
    driver.look(running=listed)
    assert not driver.sent(work.SlowRun)


def test_several_slow_jobs_are_a_slow_executor(driver: WorkerDriver) -> None:
    """Guards against tasks that stay on an executor that has turned slow."""
    _run(driver, 'j.0', 'k.0')
    driver.now += 0.2
    listed = (events.RunListed('j.0', 1, 25), events.RunListed('k.0', 1, 25))
    driver.look(running=listed)
    slow = driver.sent(work.SlowRun)
    assert len(slow) == 2
    assert slow[0].remaining_ms == 600


def test_room_to_spare_is_reported_in_batches(driver: WorkerDriver) -> None:
    """Guards against a message to every entry for every start."""
    driver.start('j.0')
    assert not driver.sent(work.ExecutorReport)
    driver.tick(0.2)
    assert driver.sent(work.ExecutorReport)
    driver.start('j.1')
    driver.start('j.2')
    driver.start('j.3')
    assert driver.sent(work.ExecutorReport)[0].free.cpu == 0
