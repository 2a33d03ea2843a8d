"""Check lease renewals, slow runs and reports of free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts
from savoryrudder.worker.deadlines import next_tick_at
from savoryrudder.worker.lease import MAX_CLOCK_DRIFT

if TYPE_CHECKING:
    from worker_driver import WorkerDriver


def _start_runs(driver: WorkerDriver, *tasks: str) -> None:
    for task in tasks:
        driver.start(task)
        driver.answer_start(task, verdicts.STARTED)


def test_an_idle_executor_gets_no_renewals(driver: WorkerDriver) -> None:
    """Guards against needless calls to an executor without runs."""
    driver.tick(5)
    assert not driver.effects_of(effects.RenewLease)


def test_a_renewal_is_sent_at_once_after_a_start(
    driver: WorkerDriver,
) -> None:
    """Guards against detecting the end of a run half a second late."""
    driver.start('j.0')
    assert driver.effects_of(effects.RenewLease)


def test_runs_of_a_silent_executor_are_lost_when_the_lease_expires(
    driver: WorkerDriver,
) -> None:
    """Guards against giving up runs that may still be running."""
    _start_runs(driver, 'j.0')
    driver.fail_renewal()
    driver.tick(0.9)
    assert not driver.messages_of(work.TaskEnded)
    driver.fail_renewal()
    driver.tick(1.2)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST
    # The capacity stays occupied: a delayed start may still take effect.
    assert driver.state.runs


def test_an_unanswered_start_outlasts_the_lease_of_a_silent_executor(
    driver: WorkerDriver,
) -> None:
    """Guard against a late start while the task runs elsewhere."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.UNKNOWN)
    driver.fail_renewal()
    driver.tick(12)
    assert not driver.messages_of(work.TaskEnded)
    driver.tick(1.1)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


def test_a_call_without_an_answer_raises_the_token_of_the_next(
    driver: WorkerDriver,
) -> None:
    """Guard against a renewal that extends the lease of runs given up."""
    _start_runs(driver, 'j.0')
    former_fence = driver.state.fence
    driver.fail_renewal()
    driver.tick(0.1)
    assert driver.effects_of(effects.RenewLease)[0].fence > former_fence


def test_a_start_without_an_answer_raises_the_token_of_its_stop(
    driver: WorkerDriver,
) -> None:
    """Guard against a start that takes effect after its stop."""
    driver.start('j.0')
    former_fence = driver.effects_of(effects.StartRun)[0].fence
    driver.answer_start('j.0', verdicts.UNKNOWN)
    assert driver.effects_of(effects.StopRun)[0].fence > former_fence


def test_no_lease_outlasts_its_estimate_on_a_slow_clock(
    driver: WorkerDriver,
) -> None:
    """Guard against runs that outlive the time at which they are given up."""
    driver.tick(30)
    clock_ms = int(30_000 * (1 - MAX_CLOCK_DRIFT))
    driver.start('j.0')
    lease_until_ms = driver.effects_of(effects.StartRun)[0].lease_until_ms
    assert lease_until_ms <= clock_ms + 1000


def test_a_heartbeat_advances_the_clock_of_an_idle_executor(
    driver: WorkerDriver,
) -> None:
    """Guard against leases that shrink while no renewal reads the clock."""
    driver.tick(30)
    driver.send_heartbeat(clock_ms=30_000)
    driver.start('j.0')
    assert driver.effects_of(effects.StartRun)[0].lease_until_ms == 31_000
    driver.send_heartbeat(clock_ms=20_000)
    driver.start('k.0')
    assert driver.effects_of(effects.StartRun)[0].lease_until_ms == 31_000


def test_a_run_without_progress_is_reported_once(
    driver: WorkerDriver,
) -> None:
    """Guards against tasks that stay on an executor that hangs."""
    _start_runs(driver, 'j.0')
    listed = (events.RunProgress('j.0', 1, 40),)
    driver.answer_renewal(running=listed)
    driver.now += 0.4
    driver.answer_renewal(running=listed)
    assert driver.messages_of(work.SlowRun)[0].remaining_ms == -1
    driver.answer_renewal(running=listed)
    assert not driver.messages_of(work.SlowRun)


def test_runs_of_one_job_over_its_estimate_are_not_reported(
    driver: WorkerDriver,
) -> None:
    """Guards against moving tasks whose estimate was wrong."""
    _start_runs(driver, 'j.0', 'j.1')
    driver.now += 0.2
    listed = (
        events.RunProgress('j.0', 1, 25),
        events.RunProgress('j.1', 1, 25),
    )
    driver.answer_renewal(running=listed)
    assert not driver.messages_of(work.SlowRun)


def test_slow_runs_of_several_jobs_are_reported(driver: WorkerDriver) -> None:
    """Guards against tasks that stay on an executor that became slow."""
    _start_runs(driver, 'j.0', 'k.0')
    driver.now += 0.2
    listed = (
        events.RunProgress('j.0', 1, 25),
        events.RunProgress('k.0', 1, 25),
    )
    driver.answer_renewal(running=listed)
    slow_runs = driver.messages_of(work.SlowRun)
    assert len(slow_runs) == 2
    assert slow_runs[0].remaining_ms == 600


def test_free_capacity_is_reported_in_batches(driver: WorkerDriver) -> None:
    """Guards against a message to every entry for every start."""
    driver.start('j.0')
    assert not driver.messages_of(work.ExecutorReport)
    driver.tick(0.2)
    assert not driver.messages_of(work.ExecutorReport)
    driver.tick(0.3)
    assert driver.messages_of(work.ExecutorReport)
    driver.start('j.1')
    driver.start('j.2')
    driver.start('j.3')
    assert driver.messages_of(work.ExecutorReport)[0].free.cpu == 0


def test_entries_soon_hear_what_a_full_executor_frees(
    driver: WorkerDriver,
) -> None:
    """Guard against jobs that are refused for capacity that is free again."""
    for number in range(4):
        driver.start(f'j.{number}')
        driver.answer_start(f'j.{number}', 'started')
    driver.tick(0.2)
    end = events.RunEnd(1, 'j.0', 1, 'done')
    listed = tuple(
        events.RunProgress(f'j.{index}', 1, 5) for index in (1, 2, 3)
    )
    driver.answer_renewal(listed, (end,))
    assert driver.messages_of(work.ExecutorReport)[0].free.cpu == 2000


def _reported_links(driver: WorkerDriver) -> set[str]:
    return {
        effect.peer
        for effect in driver.effects_of(Send)
        if isinstance(effect.message, work.ExecutorReport)
    }


def test_entries_without_runs_hear_less_often(driver: WorkerDriver) -> None:
    """Guard against reports that cost more than what they tell is used."""
    driver.post(events.LinkUp(driver.now, 'l2'))
    hello = work.EntryHello('e2', 'e2#1', 'address')
    driver.post(events.MessageReceived(driver.now, 'l2', hello))
    driver.tick(0.5)
    driver.start('j.0')
    driver.tick(0.4)
    assert 'l2' not in _reported_links(driver)
    driver.tick(0.3)
    assert 'l2' in _reported_links(driver)


def _list_runs(count: int) -> tuple[events.RunProgress, ...]:
    return tuple(
        events.RunProgress(f'j.0.0.{number}', 1, 10) for number in range(count)
    )


def test_long_lists_of_runs_are_not_requested_without_a_pause(
    driver: WorkerDriver,
) -> None:
    """Guard against an agent that does nothing but read lists of its runs.

    Each end of one of thousands of runs let it request all of them again.
    """
    # The executor is nearly full, so that each end is told at once.
    demand = Resources(7, 1, 0)
    runs = _list_runs(1000)
    for listed in runs:
        driver.receive(
            work.StartTask(1, listed.task, 1, 's', demand, 200, durable=False),
        )
        driver.answer_start(listed.task, verdicts.STARTED)
    driver.now += 0.1
    for number in range(1, 20):
        ended = events.RunEnd(number, runs[number].task, 1, outcomes.DONE)
        driver.answer_renewal(runs[number + 1 :], (ended,))
        assert not driver.effects_of(effects.RenewLease)
        due_at = next_tick_at(driver.state, driver.now)
        assert due_at < driver.now + driver.state.timing.lease_s / 3
        driver.tick(due_at - driver.now)
        renewal = driver.effects_of(effects.RenewLease)[0]
        assert renewal.lease_until_ms > 0


def test_a_short_list_of_runs_is_requested_at_once_for_their_capacity(
    driver: WorkerDriver,
) -> None:
    """Guard against a full executor whose free capacity is told late."""
    for number in range(4):
        driver.start(f'j.0.0.{number}')
        driver.answer_start(f'j.0.0.{number}', verdicts.STARTED)
    driver.now += 0.1
    ended = events.RunEnd(1, 'j.0.0.0', 1, outcomes.DONE)
    driver.answer_renewal(_list_runs(4)[1:], (ended,))
    driver.start('j.0.0.4')
    driver.now += 0.01
    driver.answer_renewal(_list_runs(5)[1:])
    assert driver.effects_of(effects.RenewLease)


def test_a_renewal_waits_for_the_end_of_a_run_that_is_stopped(
    driver: WorkerDriver,
) -> None:
    """Guard against one renewal after another until a stop has taken effect."""
    driver.start('j.0.0.0')
    driver.answer_start('j.0.0.0', verdicts.STARTED)
    driver.receive(work.StopTask('j.0.0.0', 1))
    driver.post(events.StopAnswered(driver.now, 'j.0.0.0', 1, confirmed=True))
    driver.now += 0.01
    driver.answer_renewal(_list_runs(1))
    renewal = driver.effects_of(effects.RenewLease)[0]
    assert renewal.wait_ms > 0
