"""Test that an agent ticks when something is due, and not otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.utils.ticks import IDLE_TICK_S
from savoryrudder.utils.ticks import TICK_S
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker.deadlines import next_tick_at

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

# The aim for a node at rest: control costs at most 2.9 % of a core.
MAX_IDLE_TICKS_PER_S = 3


def _ticks_until(driver: WorkerDriver, seconds: float) -> int:
    """Tick when something is due; return the number of ticks."""
    end = driver.now + seconds
    ticks = 0
    while True:
        due_at = next_tick_at(driver.state, driver.now)
        if due_at > end:
            return ticks
        ticks += 1
        driver.tick(due_at - driver.now)


def test_an_idle_agent_rarely_ticks(driver: WorkerDriver) -> None:
    """Guard against processes without work that use up processor time."""
    _ticks_until(driver, 1)
    assert _ticks_until(driver, 10) <= MAX_IDLE_TICKS_PER_S * 10


def test_a_waiting_renewal_needs_no_ticks(driver: WorkerDriver) -> None:
    """Guard against ticks beside an executor call that is under way."""
    driver.start('j.0')
    driver.answer_start('j.0', 'started')
    _ticks_until(driver, 1)
    assert _ticks_until(driver, 2) <= MAX_IDLE_TICKS_PER_S * 2


def test_an_executor_that_goes_on_after_its_sign_off_needs_no_ticks(
    driver: WorkerDriver,
) -> None:
    """Guard against ticks for an end that an answer will tell."""
    driver.start('j.0')
    driver.answer_start('j.0', 'started')
    driver.post(events.ExecutorLeft(driver.now, 'x1'))
    _ticks_until(driver, 2)
    assert _ticks_until(driver, 2) <= MAX_IDLE_TICKS_PER_S * 2


def test_a_renewal_is_sent_on_time(driver: WorkerDriver) -> None:
    """Guard against leases that lapse between two ticks."""
    driver.start('j.0')
    driver.answer_start('j.0', 'started')
    driver.fail_renewal()
    due_at = driver.state.lease.renew_at
    assert next_tick_at(driver.state, driver.now) == due_at
    driver.tick(due_at - driver.now)
    assert driver.effects_of(effects.RenewLease)


def test_the_runs_of_a_lost_owner_are_stopped_in_time(
    driver: WorkerDriver,
) -> None:
    """Guard against runs that another entry starts before they are stopped."""
    driver.start('j.0')
    driver.answer_start('j.0', 'started')
    driver.post(events.LinkDown(driver.now, 'l1', 'heartbeat timeout'))
    grace_s = driver.state.timing.owner_grace_s
    due_at = next_tick_at(driver.state, driver.now)
    assert due_at <= driver.now + grace_s + TICK_S
    driver.tick(due_at - driver.now)
    assert driver.effects_of(effects.StopRun)


def test_an_unconfirmed_stop_is_repeated_in_time(driver: WorkerDriver) -> None:
    """Guard against stops that are lost and not sent again."""
    driver.start('j.0')
    driver.receive(work.StopTask('j.0', 1))
    assert driver.effects_of(effects.StopRun)
    retry_s = driver.state.timing.stop_retry_s
    driver.post(events.StopAnswered(driver.now, 'j.0', 1, confirmed=False))
    driver.tick(next_tick_at(driver.state, driver.now) - driver.now)
    while not driver.effects_of(effects.StopRun):
        driver.tick(next_tick_at(driver.state, driver.now) - driver.now)
        assert driver.now <= 100 + retry_s + TICK_S


def test_the_next_tick_is_never_far(driver: WorkerDriver) -> None:
    """Guard against a stalled process that is noticed too late."""
    assert next_tick_at(driver.state, driver.now) <= (
        driver.now + IDLE_TICK_S + TICK_S
    )
