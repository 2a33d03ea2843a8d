"""Test that an agent tells the runs of different entries and jobs apart."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
from worker_driver import DEMAND
from worker_driver import LINK

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

TASK = 'j.0.0.0'
OTHER_LINK = 'l2'
OTHER_OWNER = 'e2#1'


def _link(driver: WorkerDriver, link: str, owner: str) -> None:
    driver.post(events.LinkUp(driver.now, link))
    _receive(driver, link, work.EntryHello('e', owner, 'address'))


def _receive(driver: WorkerDriver, link: str, message: Any) -> None:
    driver.post(events.MessageReceived(driver.now, link, message))


def _start(driver: WorkerDriver, link: str) -> None:
    start = work.StartTask(1, TASK, 1, 's', DEMAND, 200, durable=False)
    _receive(driver, link, start)
    driver.answer_start(TASK, verdicts.STARTED)


def _end_refused(driver: WorkerDriver, link: str) -> None:
    start = work.StartTask(1, TASK, 1, 's', DEMAND, 200, durable=False)
    _receive(driver, link, start)
    driver.answer_start(TASK, verdicts.REFUSED)


def _ends_reported_to(driver: WorkerDriver, owner: str) -> list[str]:
    """Return the ends that the agent reports on a new link of an entry."""
    _link(driver, f'new link of {owner}', owner)
    return [ended.outcome for ended in driver.messages_of(work.TaskEnded)]


def test_a_stop_from_another_entry_stops_nothing(driver: WorkerDriver) -> None:
    """Guard against an entry that stops a run of the same name elsewhere."""
    _link(driver, OTHER_LINK, OTHER_OWNER)
    _start(driver, LINK)
    _receive(driver, OTHER_LINK, work.StopTask(TASK, 1))
    assert not driver.effects_of(effects.StopRun)
    _receive(driver, LINK, work.StopTask(TASK, 1))
    assert driver.effects_of(effects.StopRun)


def test_an_end_is_kept_beside_that_of_another_entry(
    driver: WorkerDriver,
) -> None:
    """Guard against an end that its owner never hears of.

    Two entries that run a job one after the other use the same run numbers.
    """
    _link(driver, OTHER_LINK, OTHER_OWNER)
    _start(driver, LINK)
    driver.post(events.LinkDown(driver.now, LINK, 'cut'))
    end = events.RunEnd(1, TASK, 1, outcomes.DONE)
    driver.answer_renewal(ended=(end,))
    _end_refused(driver, OTHER_LINK)
    assert _ends_reported_to(driver, 'e1#1') == [outcomes.DONE]


@pytest.mark.parametrize('owner', ['e1#1', OTHER_OWNER])
def test_an_entry_acknowledges_its_own_ends_only(
    driver: WorkerDriver,
    owner: str,
) -> None:
    """Guard against an end that is discarded before its owner knows it."""
    _link(driver, OTHER_LINK, OTHER_OWNER)
    _end_refused(driver, LINK)
    _end_refused(driver, OTHER_LINK)
    acknowledging = LINK if owner == 'e1#1' else OTHER_LINK
    _receive(driver, acknowledging, work.EndsAcknowledged(((TASK, 1),)))
    kept = {'e1#1', OTHER_OWNER} - {owner}
    assert not _ends_reported_to(driver, owner)
    assert _ends_reported_to(driver, kept.pop()) == [outcomes.NOT_STARTED]


def _start_for_job(driver: WorkerDriver, job_number: int) -> None:
    start = work.StartTask(1, TASK, 1, 's', DEMAND, 200, False, job_number)
    _receive(driver, LINK, start)


def test_a_stop_of_a_removed_job_stops_nothing(driver: WorkerDriver) -> None:
    """Guard against a stop that hits a run of the job submitted again."""
    _start_for_job(driver, 2)
    driver.answer_start(TASK, verdicts.STARTED)
    _receive(driver, LINK, work.StopTask(TASK, 1, 1))
    assert not driver.effects_of(effects.StopRun)
    _receive(driver, LINK, work.StopTask(TASK, 1, 2))
    assert driver.effects_of(effects.StopRun)


def test_reports_of_a_run_carry_the_number_of_its_job(
    driver: WorkerDriver,
) -> None:
    """Guard against reports that an entry takes for those of another run."""
    _start_for_job(driver, 2)
    driver.answer_start(TASK, verdicts.STARTED)
    _receive(driver, LINK, work.EntryHello('e1', 'e1#1', 'address'))
    listed = driver.messages_of(work.RunningTasks)[0]
    assert listed.run_ids == (work.RunId(TASK, 1, 2),)
    _start_for_job(driver, 3)
    refused = driver.messages_of(work.TaskEnded)[0]
    assert refused.run_id == work.RunId(TASK, 1, 3)
    driver.now += 0.2
    driver.answer_renewal(running=(events.RunProgress(TASK, 1, 4),))
    slow = driver.messages_of(work.SlowRun)[0]
    assert slow.run_id == work.RunId(TASK, 1, 2)
    end = events.RunEnd(1, TASK, 1, outcomes.DONE)
    driver.answer_renewal(ended=(end,))
    ended = driver.messages_of(work.TaskEnded)[0]
    assert ended.run_id == work.RunId(TASK, 1, 2)


def test_an_acknowledgement_of_a_removed_job_discards_nothing(
    driver: WorkerDriver,
) -> None:
    """Guard against an end of the job submitted again that is lost."""
    for job_number in (1, 2):
        _start_for_job(driver, job_number)
        driver.answer_start(TASK, verdicts.REFUSED)
    acknowledged = work.EndsAcknowledged.of([work.RunId(TASK, 1, 1)])
    _receive(driver, LINK, acknowledged)
    assert [key.run_id.job_number for key in driver.state.ends] == [2]
