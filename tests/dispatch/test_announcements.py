"""Test how often an entry tells others of its jobs, and that it does."""

from __future__ import annotations

from typing import Any

from entry_driver import EntryDriver
from fakes.fleet import ZONE

from savoryrudder.dispatch import events
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

TICK_S = 0.025
JOBS_PER_TICK = 2
PEER = 'p1'
# A caller submits a job again after 1.3 s, and a node has 10 KB/s for control.
MAX_ANNOUNCEMENTS_PER_S = 5
MAX_LONE_ACKNOWLEDGEMENTS = 2
# A caller submits a job again after this time, mostly in its zone.
RESUBMISSION_S = 1.3


def _linked_driver() -> EntryDriver:
    driver = EntryDriver(agents=1)
    driver.post(events.LinkUp(driver.now, PEER, dialled=False))
    driver.receive(PEER, work.EntryHello('e2', 'e2#1', 'e2'))
    driver.receive(PEER, work.JobsClaimed((), complete=True))
    return driver


def _tick(driver: EntryDriver) -> list[Any]:
    driver.now += TICK_S
    return [
        effect.message
        for effect in driver.post(events.Tick(driver.now))
        if isinstance(effect, Send)
    ]


def _frames_to(effects: list[Any], link: str) -> list[Any]:
    """Return the messages to a link; those of one event share a frame."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and effect.peer == link
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


def test_acknowledgements_share_the_frames_of_starts() -> None:
    """Guard against a message to the agent for nearly every end.

    An acknowledgement costs no frame beside a start; those that go alone must
    not grow with the rate of ends, and none may be missing.
    """
    driver = _linked_driver()
    acknowledged: list[Any] = []
    lone_frames = 0
    for number in range(int(4 / TICK_S)):
        frames = [_frames_to(driver.submit(f'j{number}', tasks=1), 'l0')]
        _end(driver, f'j{number}')
        driver.now += TICK_S
        frames.append(_frames_to(driver.post(events.Tick(driver.now)), 'l0'))
        for messages in filter(None, frames):
            lone_frames += isinstance(messages[-1], work.EndsAcknowledged)
            acknowledged.extend(
                key
                for message in messages
                if isinstance(message, work.EndsAcknowledged)
                for key in message.ends
            )
    driver.now += 3
    for message in _tick(driver):
        if isinstance(message, work.EndsAcknowledged):
            acknowledged.extend(message.ends)
    assert lone_frames <= MAX_LONE_ACKNOWLEDGEMENTS
    assert len(acknowledged) == len(set(acknowledged)) == int(4 / TICK_S)


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


def _claimed_within(zone: str) -> float:
    """Return how long after a job's arrival another entry hears of it."""
    driver = EntryDriver(agents=1)
    driver.post(events.LinkUp(driver.now, PEER, dialled=False))
    driver.receive(PEER, work.EntryHello('e2', 'e2#1', 'e2', zone))
    driver.receive(PEER, work.JobsClaimed((), complete=True))
    for changes in driver.state.claim_changes:
        changes.announced_at = driver.now
    driver.submit('j1', tasks=1)
    submitted_at = driver.now
    while work.JobsClaimed(('j1',)) not in _tick(driver):
        assert driver.now < submitted_at + RESUBMISSION_S
    return driver.now - submitted_at


def test_entries_hear_of_a_job_before_its_caller_comes_back() -> None:
    """Guard against a job that another entry starts for want of a claim."""
    assert _claimed_within(ZONE) <= RESUBMISSION_S / 2
    assert _claimed_within('another zone') < RESUBMISSION_S
