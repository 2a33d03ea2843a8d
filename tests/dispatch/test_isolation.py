"""Test what an entry holds back after it did not run, or was cut off."""

from __future__ import annotations

from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.protocol import relay
from savoryrudder.protocol import work
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Send


def _link_peer(driver: EntryDriver, link: str) -> None:
    driver.post(events.LinkUp(driver.now, link, dialled=False))
    driver.receive(link, work.EntryHello('e2', 'e2#1', 'address', 'zone-a'))


def _link_agent(driver: EntryDriver, link: str) -> list[Any]:
    driver.post(events.LinkUp(driver.now, link, dialled=False))
    driver.receive(link, work.AgentHello('a0', 'a0#1', 'zone-a'))
    driver.receive(link, work.RunningTasks(()))
    return driver.report(link, CAPACITY)


def _started(effects: list[Any]) -> set[str]:
    return {
        effect.message.task.partition('.')[0]
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    }


@pytest.fixture
def stalled() -> EntryDriver:
    """Return an entry with a waiting job that did not run for five seconds."""
    driver = EntryDriver(1, NO_CPU)
    _link_peer(driver, 'p1')
    driver.receive('p1', work.JobsClaimed((), complete=True))
    driver.submit('old', tasks=1)
    driver.state.jobs['old'].objective_s = 100
    driver.now += 0.05
    effects = driver.post(events.Stalled(driver.now, 5))
    closed = {
        effect.peer for effect in effects if isinstance(effect, CloseLink)
    }
    assert closed == {'l0', 'p1'}
    return driver


def test_an_old_job_waits_for_what_the_others_have(
    stalled: EntryDriver,
) -> None:
    """Guards against a job that another entry runs by now."""
    assert not _started(_link_agent(stalled, 'l1'))
    _link_peer(stalled, 'p2')
    stalled.receive('p2', work.JobsClaimed((), complete=True))
    stalled.now += 0.05
    assert _started(stalled.post(events.Tick(stalled.now))) == {'old'}


def test_a_job_that_another_entry_has_is_yielded(stalled: EntryDriver) -> None:
    """Guards against two entries that run a job."""
    _link_agent(stalled, 'l1')
    _link_peer(stalled, 'p2')
    effects = stalled.receive('p2', work.JobsClaimed(('old',)))
    replies = [effect for effect in effects if isinstance(effect, Reply)]
    assert [reply.answer.verdict for reply in replies] == [answers.SUPERSEDED]
    assert 'old' not in stalled.state.jobs


def test_a_new_job_starts_at_once(stalled: EntryDriver) -> None:
    """Guards against an entry that serves nobody after a pause."""
    _link_agent(stalled, 'l1')
    # The agent was asked for the lost entry.
    stalled.receive('l1', relay.EntryUnreachable('e2'))
    stalled.now += 0.05
    assert _started(stalled.submit('new', tasks=1)) == {'new'}


def test_an_old_job_does_not_wait_for_a_dead_entry(
    stalled: EntryDriver,
) -> None:
    """Guards against a job that waits for claims that nobody tells."""
    job = stalled.state.jobs['old']
    job.latest_start = job.arrived_at + 100
    stalled.state.start_deadlines.clear()
    _link_agent(stalled, 'l1')
    stalled.now += stalled.state.timing.settle_s
    assert _started(stalled.post(events.Tick(stalled.now))) == {'old'}


def test_a_lone_entry_holds_nothing_back() -> None:
    """Guards against waiting for claims where no other entry is known."""
    driver = EntryDriver(1, NO_CPU)
    driver.submit('old', tasks=1)
    driver.post(events.Stalled(driver.now, 5))
    assert _started(_link_agent(driver, 'l1')) == {'old'}


def test_the_loss_of_one_entry_holds_nothing_back() -> None:
    """Guards against jobs that wait whenever another entry dies."""
    driver = EntryDriver(1, NO_CPU)
    _link_peer(driver, 'p1')
    driver.receive('p1', work.JobsClaimed((), complete=True))
    driver.submit('old', tasks=1)
    driver.post(events.LinkDown(driver.now, 'p1', 'cut'))
    assert _started(driver.report('l0', CAPACITY)) == {'old'}


def test_an_entry_that_is_back_is_asked_again_for_a_job() -> None:
    """Guards against starting a job that its first entry still runs."""
    driver = EntryDriver(1)
    _link_peer(driver, 'p1')
    driver.receive('p1', work.JobsClaimed(('j1',)))
    driver.submit('j1', tasks=1)
    driver.post(events.LinkDown(driver.now, 'p1', 'cut'))
    _link_peer(driver, 'p2')
    driver.now += 10
    assert not _started(driver.post(events.Tick(driver.now)))
    relinquished = work.JobRelinquished('j1', '')
    assert _started(driver.receive('p2', relinquished)) == {'j1'}
