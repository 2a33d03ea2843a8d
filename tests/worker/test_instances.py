"""Check an executor that restarts under the name that it had."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

LISTED = (events.RunProgress('j.0', 1, 10),)


def _start(driver: WorkerDriver) -> None:
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    driver.now += 0.1


def test_a_run_in_the_new_instance_is_not_reported_lost(
    driver: WorkerDriver,
) -> None:
    """Guard against a task that is started elsewhere while it runs here.

    Its start reached the new instance before the heartbeat of that did.
    """
    _start(driver)
    driver.send_heartbeat(started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_renewal(LISTED, started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    assert driver.state.runs


def test_a_list_tells_of_a_new_instance_before_its_heartbeat(
    driver: WorkerDriver,
) -> None:
    """Guard against ends of the new instance that are taken for known."""
    _start(driver)
    end = events.RunEnd(7, 'k.0', 1, outcomes.DONE)
    driver.answer_renewal(LISTED, (end,), started_ms=5)
    driver.answer_renewal(started_ms=6)
    renewal = driver.effects_of(effects.RenewLease)[0]
    assert renewal.acknowledged_upto == 0
    end = events.RunEnd(1, 'j.0', 1, outcomes.DONE)
    driver.answer_renewal(ended=(end,), started_ms=6)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.DONE


def test_only_a_call_with_a_raised_token_settles_runs_of_a_new_instance(
    driver: WorkerDriver,
) -> None:
    """Guard against a start of the former instance that arrives late."""
    _start(driver)
    former_fence = driver.state.fence
    driver.answer_renewal(started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    assert driver.effects_of(effects.RenewLease)[0].fence > former_fence
    driver.answer_renewal(started_ms=6, fence=former_fence)
    assert not driver.messages_of(work.TaskEnded)
    driver.now += 0.1
    driver.answer_renewal(started_ms=6)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


def test_a_list_of_a_former_instance_is_ignored(driver: WorkerDriver) -> None:
    """Guard against runs that are lost because an answer came late."""
    driver.send_heartbeat(started_ms=6)
    driver.answer_renewal(started_ms=6)
    _start(driver)
    driver.answer_renewal(started_ms=5)
    assert not driver.messages_of(work.TaskEnded)
    driver.tick(0.1)
    assert driver.effects_of(effects.RenewLease)


def test_an_unanswered_start_of_a_former_instance_is_stopped_in_the_new_one(
    driver: WorkerDriver,
) -> None:
    """Guard against a start that the new instance carries out late."""
    driver.start('j.0')
    driver.answer_renewal(started_ms=6)
    driver.now += 0.1
    driver.answer_renewal(started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_start('j.0', verdicts.UNKNOWN)
    assert driver.effects_of(effects.StopRun)


def test_a_new_instance_gets_no_tasks_before_its_heartbeat(
    driver: WorkerDriver,
) -> None:
    """Guard against tasks that exceed the capacity of another kind."""
    _start(driver)
    for _ in range(2):
        driver.answer_renewal(started_ms=6)
    driver.start('k.0')
    assert not driver.effects_of(effects.StartRun)
    driver.send_heartbeat(started_ms=6)
    driver.start('k.0', run=2)
    assert driver.effects_of(effects.StartRun)


def test_an_answer_of_a_former_instance_sets_no_clock(
    driver: WorkerDriver,
) -> None:
    """Guard against leases that never expire on a clock that began anew."""
    driver.start('j.0')
    driver.send_heartbeat(started_ms=6, clock_ms=100)
    driver.answer_start('j.0', verdicts.STARTED)
    assert driver.state.lease.estimate_clock_ms(driver.now) == 100


def test_a_former_instance_that_signs_off_late_ends_no_run(
    driver: WorkerDriver,
) -> None:
    """Guard against runs of a new instance that are taken for lost."""
    driver.send_heartbeat(started_ms=6)
    driver.answer_renewal(started_ms=6)
    _start(driver)
    driver.post(events.ExecutorLeft(driver.now, 'x1', 5))
    assert not driver.messages_of(work.TaskEnded)
    assert driver.state.accepting
    driver.post(events.ExecutorLeft(driver.now, 'x1', 6))
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


def test_a_refused_token_of_a_former_call_raises_no_token(
    driver: WorkerDriver,
) -> None:
    """Guard against tokens that rise with each call that was overtaken."""
    driver.start('j.0')
    driver.send_heartbeat(started_ms=6)
    fence = driver.state.fence
    driver.answer_start('j.0', verdicts.FENCED)
    assert driver.state.fence == fence
