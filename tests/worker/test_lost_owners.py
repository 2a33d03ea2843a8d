"""Check what an agent tells and does about runs of entries that it has lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

OTHER_LINK = 'l2'
LISTED = (events.RunProgress('j.0', 1, 10), events.RunProgress('k.0', 1, 10))
STOPPED = events.RunEnd(1, 'j.0', 1, 'stopped')


def _link_other_entry(driver: WorkerDriver) -> None:
    driver.post(events.LinkUp(driver.now, OTHER_LINK))
    hello = work.EntryHello('e2', 'e2#1', 'address')
    driver.post(events.MessageReceived(driver.now, OTHER_LINK, hello))


def _start_at(driver: WorkerDriver, link: str, task: str) -> None:
    demand = driver.state.free._replace(cpu=1000, memory=1)
    start = work.StartTask(1, task, 1, 's', demand, 200, durable=False)
    driver.post(events.MessageReceived(driver.now, link, start))
    driver.answer_start(task, verdicts.STARTED)


def _lose_owner(driver: WorkerDriver) -> None:
    _link_other_entry(driver)
    _start_at(driver, 'l1', 'j.0')
    _start_at(driver, OTHER_LINK, 'k.0')
    driver.now += 0.1
    driver.answer_renewal(LISTED, started_ms=5)
    driver.post(events.LinkDown(driver.now, 'l1', 'cut'))


def test_entries_hear_of_runs_without_their_owner_and_of_their_end(
    driver: WorkerDriver,
) -> None:
    """Guard against an entry that starts a job whose runs are going on."""
    _lose_owner(driver)
    assert driver.messages_of(work.OrphanedJobs) == [work.OrphanedJobs(('j',))]
    driver.tick(0.5)
    assert driver.effects_of(effects.StopRun)
    driver.post(events.StopAnswered(driver.now, 'j.0', 1, confirmed=False))
    assert not driver.messages_of(work.OrphanedJobs)
    driver.answer_renewal(LISTED[1:], (STOPPED,), started_ms=5)
    assert driver.messages_of(work.OrphanedJobs) == [work.OrphanedJobs(())]


def test_an_entry_hears_of_runs_without_their_owner_before_its_own(
    driver: WorkerDriver,
) -> None:
    """Guard against a list that looks complete and is not."""
    _lose_owner(driver)
    driver.post(events.LinkUp(driver.now, 'l3'))
    hello = work.EntryHello('e1', 'e1#2', 'address')
    driver.post(events.MessageReceived(driver.now, 'l3', hello))
    types = [
        type(send.message)
        for send in driver.effects_of(Send)
        if send.peer == 'l3'
    ]
    told = types.index(work.OrphanedJobs)
    assert told < types.index(work.RunningTasks)


def test_an_owner_that_is_linked_again_has_its_runs(
    driver: WorkerDriver,
) -> None:
    """Guard against a job that others hold back after a short cut."""
    _lose_owner(driver)
    driver.post(events.LinkUp(driver.now, 'l3'))
    hello = work.EntryHello('e1', 'e1#1', 'address')
    driver.post(events.MessageReceived(driver.now, 'l3', hello))
    assert work.OrphanedJobs(()) in driver.messages_of(work.OrphanedJobs)
    driver.tick(1)
    assert not driver.effects_of(effects.StopRun)
    assert not driver.state.lease_withheld


def test_stray_runs_are_told_like_those_of_lost_owners(
    driver: WorkerDriver,
) -> None:
    """Guard against a start beside a run from before the agent's restart."""
    driver.replace_executor()
    driver.answer_renewal((events.RunProgress('old.0', 3, 10),), started_ms=6)
    assert driver.messages_of(work.OrphanedJobs) == [
        work.OrphanedJobs(('old',)),
    ]
    driver.answer_renewal(started_ms=6)
    assert driver.messages_of(work.OrphanedJobs) == [work.OrphanedJobs(())]


def test_the_lease_is_withheld_while_stops_stay_unanswered(
    driver: WorkerDriver,
) -> None:
    """Guard against a run that goes on for as long as its stops fail."""
    _lose_owner(driver)
    driver.tick(0.5)
    driver.tick(0.2)
    driver.answer_renewal(LISTED, started_ms=5)
    renewal = driver.effects_of(effects.RenewLease)[0]
    assert renewal.lease_until_ms == 0
    assert not driver.state.accepting
    _start_at(driver, OTHER_LINK, 'm.0')
    assert 'm.0' not in driver.state.runs
    driver.answer_renewal(LISTED[1:], (STOPPED,), started_ms=5)
    assert driver.state.accepting
    driver.tick(0.1)
    renewal = driver.effects_of(effects.RenewLease)[0]
    assert renewal.lease_until_ms > 0
