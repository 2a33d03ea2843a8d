"""Check that an agent refuses starts while its zone is evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from worker_driver import WorkerDriver

ZONE = 'zone'
OTHER_LINK = 'l2'


def _link_other_entry(driver: WorkerDriver) -> None:
    driver.post(events.LinkUp(driver.now, OTHER_LINK))
    hello = work.EntryHello('e2', 'e2#1', 'address')
    driver.post(events.MessageReceived(driver.now, OTHER_LINK, hello))


def _is_started(driver: WorkerDriver, task: str) -> bool:
    driver.start(task)
    return bool(driver.effects_of(effects.StartRun))


def test_a_start_in_an_evacuated_zone_is_refused(driver: WorkerDriver) -> None:
    """Guards against an entry that has lost the store and starts on."""
    driver.receive(EvacuatedZones(7, (ZONE,)))
    assert not _is_started(driver, 'j.0')
    refusals = driver.messages_of(work.TaskEnded)
    assert [(refusal.outcome, refusal.reason) for refusal in refusals] == [
        (outcomes.NOT_STARTED, 'zone is evacuated'),
    ]
    assert not driver.state.runs


def test_starts_go_on_while_another_zone_is_evacuated(
    driver: WorkerDriver,
) -> None:
    """Guards against agents that refuse for any evacuation."""
    driver.receive(EvacuatedZones(7, ('zone-b',)))
    assert _is_started(driver, 'j.0')


def test_all_entries_hear_at_once_that_nothing_is_accepted(
    driver: WorkerDriver,
) -> None:
    """Guards against starts of entries that were not told by the store."""
    _link_other_entry(driver)
    driver.receive(EvacuatedZones(7, (ZONE,)))
    reports = driver.messages_of(work.ExecutorReport)
    assert [report.accepting for report in reports] == [False, False]
    driver.post(
        events.MessageReceived(
            driver.now,
            OTHER_LINK,
            EvacuatedZones(8, ()),
        ),
    )
    reports = driver.messages_of(work.ExecutorReport)
    assert [report.accepting for report in reports] == [True, True]
    assert _is_started(driver, 'j.0')


def test_outdated_news_changes_nothing(driver: WorkerDriver) -> None:
    """Guards against an entry that lost the store before the evacuation.

    And against one that lost it before the zone was restored.
    """
    driver.receive(EvacuatedZones(7, (ZONE,)))
    driver.receive(EvacuatedZones(6, ()))
    assert not _is_started(driver, 'j.0')
    driver.receive(EvacuatedZones(9, ()))
    driver.receive(EvacuatedZones(8, (ZONE,)))
    assert _is_started(driver, 'j.1')


def test_a_run_goes_on_to_its_end_in_an_evacuated_zone(
    driver: WorkerDriver,
) -> None:
    """Guards against work that is thrown away."""
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    driver.receive(EvacuatedZones(7, (ZONE,)))
    assert not driver.effects_of(effects.StopRun)
    driver.answer_renewal((events.RunProgress('j.0', 1, 10),))
    renewals = driver.effects_of(effects.RenewLease)
    assert [renewal.lease_until_ms > 0 for renewal in renewals] == [True]
    end = events.RunEnd(1, 'j.0', 1, outcomes.DONE)
    driver.answer_renewal(ended=(end,))
    ends = driver.messages_of(work.TaskEnded)
    assert [ended.outcome for ended in ends] == [outcomes.DONE]
