"""Check starts, stops and ends of runs."""

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


def test_a_start_without_room_is_refused(driver: WorkerDriver) -> None:
    """Guards against an executor over its capacity."""
    for number in range(4):
        driver.start(f'j.{number}')
        assert driver.found(effects.CallStart)
    driver.start('j.4')
    assert not driver.found(effects.CallStart)
    assert driver.sent(work.TaskEnded)[0].outcome == outcomes.NOT_STARTED


def test_a_draining_executor_gets_no_start(driver: WorkerDriver) -> None:
    """Guards against work for an executor that leaves."""
    driver.beat(draining=True)
    assert not driver.sent(work.ExecutorReport)[0].accepting
    driver.start('j.0')
    assert not driver.found(effects.CallStart)


@pytest.mark.parametrize('is_confirmed', [True, False])
def test_an_unanswered_start_keeps_its_room_until_it_is_settled(
    driver: WorkerDriver,
    is_confirmed: bool,
) -> None:
    """Guards against a late start beside a run elsewhere."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.UNKNOWN)
    assert driver.found(effects.CallStop)
    driver.now += 0.1
    driver.post(events.StopAnswered(driver.now, 'j.0', 1, is_confirmed))
    driver.now += 0.1
    driver.look()
    assert ('j.0' not in driver.state.runs) is is_confirmed


def test_an_end_is_reported_once_and_kept_until_noted(
    driver: WorkerDriver,
) -> None:
    """Guards against an end that is lost with its link."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    end = events.EndListed(1, 'j.0', 1, outcomes.DONE)
    driver.look(ended=(end,))
    assert len(driver.sent(work.TaskEnded)) == 1
    driver.look(ended=(end,))
    assert not driver.sent(work.TaskEnded)
    driver.receive(work.EntryHello('e1', 'e1#1', 'address'))
    assert len(driver.sent(work.TaskEnded)) == 1
    driver.receive(work.EndsNoted((('j.0', 1),)))
    assert not driver.state.ends


def test_a_durable_end_is_acknowledged_after_it_was_noted(
    driver: WorkerDriver,
) -> None:
    """Guards against an end that neither store nor executor remembers."""
    driver.start('j.0', durable=True)
    driver.answer_start('j.0', verdicts.STARTED)
    driver.look(ended=(events.EndListed(1, 'j.0', 1, outcomes.DONE),))
    assert driver.state.lease.noted_upto == 0
    driver.receive(work.EndsNoted((('j.0', 1),)))
    assert driver.state.lease.noted_upto == 1


def test_a_new_life_of_the_executor_ends_its_runs(
    driver: WorkerDriver,
) -> None:
    """Guards against runs that are waited for after a crash."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    driver.beat(born_ms=6)
    assert driver.sent(work.TaskEnded)[0].outcome == outcomes.LOST
    driver.beat(born_ms=5)
    assert driver.state.report is not None
    assert driver.state.report.born_ms == 6


def test_a_run_of_a_former_agent_is_stopped_before_any_start(
    driver: WorkerDriver,
) -> None:
    """Guards against room that is given out twice after a restart."""
    driver.beat(born_ms=6)
    driver.look(running=(events.RunListed('old.0', 3, 10),))
    assert driver.found(effects.CallStop)[0].task == 'old.0'
    driver.start('j.0')
    assert not driver.found(effects.CallStart)
    driver.look()
    driver.start('j.0', run=2)
    assert driver.found(effects.CallStart)


def test_the_runs_of_a_lost_entry_are_stopped(driver: WorkerDriver) -> None:
    """Guards against executors that work for a dead entry."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    driver.post(events.LinkDown(driver.now, 'l1', 'cut'))
    driver.tick(0.1)
    assert not driver.found(effects.CallStop)
    driver.tick(0.3)
    assert driver.found(effects.CallStop)


def test_a_higher_fence_is_overtaken(driver: WorkerDriver) -> None:
    """Guards against an agent whose every start is fenced off."""
    fence = driver.state.fence
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.FENCED)
    assert driver.state.fence > fence


def test_a_fenced_look_raises_the_fence(driver: WorkerDriver) -> None:
    """Guards against a restarted agent that never takes a task.

    Its clock may be behind that of its former life.
    """
    fence = driver.state.fence
    driver.beat(born_ms=6)
    fenced = events.LeaseUnanswered(driver.now, 'fence', fenced=True)
    driver.post(fenced)
    assert driver.state.fence > fence
    driver.tick(0.1)
    driver.look()
    assert driver.state.accepting
