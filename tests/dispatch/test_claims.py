"""Check that a job runs at one entry, whichever entries its callers reach."""

from __future__ import annotations

import pytest
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers

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
