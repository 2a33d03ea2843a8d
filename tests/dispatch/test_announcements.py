"""Test how often an entry tells others of its jobs, and that it does."""

from __future__ import annotations

from typing import Any

from entry_driver import EntryDriver

from savoryrudder.dispatch import events
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

TICK_S = 0.025
JOBS_PER_TICK = 2
PEER = 'p1'
# A caller submits a job again after 1.3 s, and a node has 10 KB/s for control.
MAX_ANNOUNCEMENTS_PER_S = 20


def _linked_driver() -> EntryDriver:
    driver = EntryDriver(agents=1)
    driver.post(events.LinkUp(driver.now, PEER, dialled=False))
    driver.receive(PEER, work.EntryHello('e2', 'e2#1', 'e2'))
    return driver


def _tick(driver: EntryDriver) -> list[Any]:
    driver.now += TICK_S
    return [
        effect.message
        for effect in driver.post(events.Tick(driver.now))
        if isinstance(effect, Send)
    ]


def _end(driver: EntryDriver, job: str) -> None:
    task = f'{job}.0.0.0'
    driver.receive('l0', work.TaskEnded(task, 1, 'done', '', 10))


def test_announcements_do_not_grow_with_the_rate_of_jobs() -> None:
    """Guard against a message to every peer for nearly every job."""
    driver = _linked_driver()
    sent: list[Any] = []
    for number in range(int(1 / TICK_S) * JOBS_PER_TICK):
        driver.submit(f'j{number}', tasks=1)
        _end(driver, f'j{number}')
        if number % JOBS_PER_TICK:
            sent.extend(_tick(driver))
    announcements = [
        message
        for message in sent
        if isinstance(message, work.JobsClaimed | work.JobsReleased)
    ]
    assert len(announcements) <= MAX_ANNOUNCEMENTS_PER_S


def test_acknowledgements_do_not_grow_with_the_rate_of_ends() -> None:
    """Guard against a message to the agent for nearly every end."""
    driver = _linked_driver()
    sent: list[Any] = []
    for number in range(int(1 / TICK_S)):
        driver.submit(f'j{number}', tasks=1)
        _end(driver, f'j{number}')
        sent.extend(_tick(driver))
    driver.now += 1
    sent.extend(_tick(driver))
    acknowledged = [
        message.ends
        for message in sent
        if isinstance(message, work.EndsAcknowledged)
    ]
    assert len(acknowledged) <= MAX_ANNOUNCEMENTS_PER_S
    assert sum(map(len, acknowledged)) == int(1 / TICK_S)


def test_a_job_that_came_back_and_ended_is_released() -> None:
    """Guard against a peer that believes in a claim for ever."""
    driver = _linked_driver()
    driver.submit('j1', tasks=1)
    driver.now += 1
    assert work.JobsClaimed(('j1',)) in _tick(driver)
    driver.post(events.CallerDisconnected(driver.now, 1))
    driver.submit('j1', tasks=1)
    _end(driver, 'j1')
    driver.now += 1
    assert work.JobsReleased(('j1',)) in _tick(driver)
