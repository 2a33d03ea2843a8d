"""Check that a job runs at one entry, whichever entries its callers reach."""

from __future__ import annotations

from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import QUEUE
from fakes.fleet import SERVICE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.protocol import delegation as protocol
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

RECOVERY_S = 30
# A caller submits a job again after this time.
RESUBMISSION_S = 1.3
LONG_TASKS = 20
JOB = job_of('one', tasks=4)


def _completed(fleet: Fleet, request: int) -> bool:
    answer = fleet.answers.get(request)
    return answer is not None and answer.verdict == answers.COMPLETED


@pytest.mark.parametrize('seed', range(5))
def test_two_entries_that_wait_for_a_lost_entry_do_not_both_start(
    seed: int,
) -> None:
    """Guards against two runs of a job that two entries wait to start.

    The entry that had it is lost, and its caller goes on before the runs there
    must have ended.
    """
    fleet = Fleet(seed, entries=3)
    fleet.calls.duration_factor = LONG_TASKS
    fleet.submit(0, JOB)
    fleet.run(0.6)
    fleet.kill_entry(0, 10)
    fleet.run(0.1)
    fleet.submit(1, JOB)
    fleet.run(RESUBMISSION_S)
    second = fleet.submit(2, JOB)
    fleet.run(RECOVERY_S)
    assert _completed(fleet, second)


@pytest.mark.parametrize('seed', range(5))
def test_two_entries_that_ask_for_a_job_do_not_both_start(seed: int) -> None:
    """Guards against two runs of a job that two entries have asked for.

    The entry that has it has lost its agents, and takes until their runs must
    have ended; the caller goes on meanwhile.
    """
    fleet = Fleet(seed, entries=3)
    fleet.calls.duration_factor = LONG_TASKS
    fleet.submit(0, JOB)
    fleet.run(0.6)
    for agent in range(3):
        fleet.silence_link('e0', f'a{agent}', 5)
    fleet.run(0.8)
    first = fleet.submit(1, JOB)
    fleet.run(RESUBMISSION_S)
    second = fleet.submit(2, JOB)
    fleet.run(RECOVERY_S)
    assert fleet.answers[first].verdict == answers.SUPERSEDED
    assert _completed(fleet, second)


@pytest.mark.parametrize('seed', range(5))
def test_entries_that_lose_only_each_other_do_not_both_start(
    seed: int,
) -> None:
    """Guards against an entry that takes another one for dead.

    Both reach the agents, and the caller goes from one to the other.
    """
    fleet = Fleet(seed)
    fleet.calls.duration_factor = LONG_TASKS
    fleet.submit(0, JOB)
    fleet.silence_link('e0', 'e1', 12)
    fleet.run(RESUBMISSION_S)
    second = fleet.submit(1, JOB)
    fleet.run(RECOVERY_S)
    assert _completed(fleet, second)


@pytest.mark.parametrize('seed', range(5))
def test_a_restarted_entry_asks_for_the_claims_of_unlinked_entries(
    seed: int,
) -> None:
    """Guards against a start before the claims of all entries are known.

    The restarted entry is cut off from the one that has the job.
    """
    fleet = Fleet(seed)
    fleet.calls.duration_factor = LONG_TASKS
    fleet.submit(0, JOB)
    fleet.run(0.6)
    fleet.silence_link('e0', 'e1', 12)
    fleet.kill_entry(1, 0.6)
    fleet.run(0.7)
    second = fleet.submit(1, JOB)
    fleet.run(RECOVERY_S)
    assert _completed(fleet, second)


def test_an_announcement_that_comes_late_leaves_a_delegated_job_claimed() -> (
    None
):
    """Guards against a release from before a job was delegated again.

    The job would start at once if the link was lost then.
    """
    driver = EntryDriver(2, NO_CPU)
    driver.post(events.LinkUp(driver.now, 'p0', dialled=False))
    driver.receive('p0', work.EntryHello('e2', 'e2#1', 'e2'))
    driver.receive('p0', work.JobsClaimed((), complete=True))
    idle = protocol.EntryLoad({SERVICE: 64000}, 0, accepting=True, version=1)
    driver.receive('p0', idle)
    driver.submit('one')
    assert driver.state.delegations
    driver.receive('p0', work.JobsReleased(('one',)))
    driver.post(events.LinkDown(driver.now, 'p0', 'cut'))
    assert 'one' in driver.state.contested_jobs


def test_a_job_that_was_asked_for_starts_soon_after_an_entry_is_lost() -> None:
    """Guards against new jobs that wait for the runs of an entry without any.

    The entry had not told its claims lately, and was asked for the job.
    """
    fleet = Fleet(1, entries=3)
    for name in ('e1', 'e2', 'a0', 'a1', 'a2'):
        fleet.silence_link('e0', name, 10)
    fleet.run(RESUBMISSION_S)
    submitted_at = fleet.clock.now
    request = fleet.submit(1, JOB)
    fleet.run(RECOVERY_S)
    assert fleet.answered_at[request] < submitted_at + 2


def test_an_idle_entry_tells_its_first_claim_at_once() -> None:
    """Guards against a claim that waits for the next empty announcement."""
    driver = _linked_driver()
    driver.now += 10
    driver.post(events.Tick(driver.now))
    driver.now += 0.1
    driver.receive('p0', work.JobsClaimed(()))
    driver.submit('one')
    driver.now += 0.05
    sent = driver.post(events.Tick(driver.now))
    assert work.JobsClaimed(('one',)) in _messages(sent)


def test_a_job_that_waits_for_a_lost_entry_is_not_relinquished_yet() -> None:
    """Guards against an answer that the runs of a lost entry have ended."""
    driver = _linked_driver()
    driver.receive('p0', work.JobsClaimed(('one',)))
    driver.post(events.LinkDown(driver.now, 'p0', 'cut'))
    driver.submit('one')
    _link_peer(driver, 'p1', 'e3')
    sent = driver.receive('p1', work.RelinquishJob('one'))
    assert work.JobRelinquished('one', '') not in _messages(sent)
    driver.now += 3
    sent = driver.post(events.Tick(driver.now))
    assert work.JobRelinquished('one', '') in _messages(sent)


def test_an_unanswered_question_is_repeated() -> None:
    """Guards against a job that waits for an answer that was lost."""
    driver = _linked_driver()
    driver.receive('p0', work.JobsClaimed(('one',)))
    assert work.RelinquishJob('one') in _messages(driver.submit('one'))
    driver.now += 1
    sent = driver.post(events.Tick(driver.now))
    assert work.RelinquishJob('one') in _messages(sent)


def test_a_contested_job_can_be_cancelled() -> None:
    """Guards against a job that starts after its caller has cancelled it."""
    driver = _linked_driver()
    driver.receive('p0', work.JobsClaimed(('one',)))
    driver.submit('one')
    path = f'{QUEUE.prefix}one'
    cancelled = events.JobCancelled(driver.now, 99, QUEUE.host, path)
    verdicts = [
        effect.answer.verdict
        for effect in driver.post(cancelled)
        if isinstance(effect, Reply)
    ]
    assert verdicts == [answers.CANCELLED, answers.CANCELLED]
    assert not driver.state.contested_jobs


def _linked_driver() -> EntryDriver:
    driver = EntryDriver(2)
    _link_peer(driver, 'p0', 'e2')
    return driver


def _link_peer(driver: EntryDriver, link: str, entry: str) -> None:
    driver.post(events.LinkUp(driver.now, link, dialled=False))
    driver.receive(link, work.EntryHello(entry, f'{entry}#1', entry))
    driver.receive(link, work.JobsClaimed((), complete=True))


def _messages(sent: list[Any]) -> list[Any]:
    return [effect.message for effect in sent if isinstance(effect, Send)]
