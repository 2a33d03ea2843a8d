"""Check that a job runs at one entry, whichever entries its callers reach."""

from __future__ import annotations

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import SERVICE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.protocol import delegation as protocol
from savoryrudder.protocol import work

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
