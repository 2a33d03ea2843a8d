"""Test that entries hand jobs to others that can serve them."""

from __future__ import annotations

from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE
from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import delegation
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

PEER = 'p1'
IDLE_LOAD = delegation.EntryLoad(
    {SERVICE: 64_000},
    busy_share=0.1,
    accepting=True,
    version=1,
)
RECOVERY_S = 10


def _driver(free: Resources = NO_CPU) -> EntryDriver:
    driver = EntryDriver(2, free)
    driver.state.started_at = driver.now - 10
    driver.post(events.LinkUp(driver.now, PEER, dialled=False))
    driver.receive(PEER, work.EntryHello('e2', 'e2#1', 'e2'))
    driver.receive(PEER, work.JobsClaimed((), complete=True))
    return driver


def _sent(effects: list[Any], message_type: type[Any]) -> list[Any]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, message_type)
    ]


def _replies(effects: list[Any]) -> list[Any]:
    return [effect.answer for effect in effects if isinstance(effect, Reply)]


def _delegates(driver: EntryDriver, name: str) -> bool:
    return bool(_sent(driver.submit(name), delegation.DelegateJob))


def test_an_entry_without_room_hands_jobs_to_one_that_has_it() -> None:
    """Guard against callers who are refused while other executors are free.

    An entry that was alone in its zone refused half of its callers while
    others saw free executors.
    """
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    effects = driver.submit('j1', tasks=4)
    assert _sent(effects, delegation.DelegateJob)[0].job.job_id == 'j1'
    assert not _replies(effects)


def test_a_busy_entry_hands_on_a_part_of_its_jobs() -> None:
    """Guard against an entry that works off everything itself, but late."""
    driver = _driver(CAPACITY)
    driver.receive(PEER, IDLE_LOAD)
    assert not _delegates(driver, 'j0')
    for _ in range(6):
        driver.post(events.Tick(driver.now, 1))
    delegated = sum(_delegates(driver, f'k{number}') for number in range(10))
    assert 5 <= delegated <= 9
    for _ in range(6):
        driver.post(events.Tick(driver.now, 0.3))
    assert not _delegates(driver, 'j1')


@pytest.mark.parametrize(
    'load',
    [
        IDLE_LOAD._replace(free_cpu={SERVICE: 3000}),
        IDLE_LOAD._replace(busy_share=0.9),
        IDLE_LOAD._replace(accepting=False),
        IDLE_LOAD._replace(version=0),
    ],
)
def test_jobs_are_not_handed_to_an_entry_that_cannot_serve_them(
    load: delegation.EntryLoad,
) -> None:
    """Guard against jobs that are refused, or misrouted, elsewhere."""
    driver = _driver()
    driver.receive(PEER, load)
    assert not _delegates(driver, 'j1')


def test_a_job_is_handed_on_once_at_most() -> None:
    """Guard against jobs that go round between entries without room."""
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    job = job_of('j1', tasks=4)
    message = delegation.DelegateJob('shop.example', '/plans/j1', job, None)
    effects = driver.receive(PEER, message)
    assert not _sent(effects, delegation.DelegateJob)


def test_the_capacity_of_another_entry_is_not_promised_twice() -> None:
    """Guard against many jobs that are sent for the same free processors."""
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    delegated = sum(_delegates(driver, f'j{number}') for number in range(40))
    assert 4000 * delegated <= IDLE_LOAD.free_cpu[SERVICE]


def test_the_answer_of_a_delegated_job_reaches_its_caller() -> None:
    """Guard against a caller whose job ends elsewhere without an answer."""
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    driver.submit('j1')
    completed = delegation.DelegatedAnswer('j1', answers.COMPLETED, '', 0)
    effects = driver.receive(PEER, completed)
    assert _replies(effects) == [answers.Answer(answers.COMPLETED)]
    assert not driver.state.open_requests


def test_a_delegated_job_is_withdrawn_when_its_caller_disconnects() -> None:
    """Guard against executors that run tasks without a waiting caller."""
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    driver.submit('j1')
    effects = driver.post(events.CallerDisconnected(driver.now, 1))
    assert _sent(effects, delegation.WithdrawJob)


@pytest.mark.parametrize('free', [NO_CPU, CAPACITY])
def test_a_job_that_may_have_run_elsewhere_is_not_refused(
    free: Resources,
) -> None:
    """Guard against "has not run" for a job that the lost entry had started."""
    driver = _driver()
    driver.receive(PEER, IDLE_LOAD)
    for number in range(6):
        driver.submit(f'j{number}')
    assert len(driver.state.delegations) == 6
    driver.report('l0', free)
    driver.post(events.LinkDown(driver.now, PEER, 'connection lost'))
    driver.report('l0', NO_CPU)
    given: list[answers.Answer] = []
    for _ in range(200):
        driver.now += 0.05
        given.extend(_replies(driver.post(events.Tick(driver.now))))
    assert len(given) == 6
    assert {answer.verdict for answer in given} == {answers.INTERRUPTED}


def _busy_fleet() -> Fleet:
    fleet = Fleet(1)
    fleet.entries[0].busy_share = 1
    fleet.entries[1].busy_share = 0.1
    fleet.run(3)
    return fleet


def _submit_delegated(fleet: Fleet) -> int:
    """Submit jobs until one is delegated; return its request."""
    number = 0
    while True:
        number += 1
        job = job_of(f'j{number}', tasks=2, cpu=500)
        request = fleet.submit(0, job)
        if job.job_id in fleet.entries[0].state.delegations:
            return request


def test_a_delegated_job_completes() -> None:
    """Guard against a job that neither entry runs."""
    fleet = _busy_fleet()
    request = _submit_delegated(fleet)
    fleet.run(1)
    assert fleet.answers[request].verdict == answers.COMPLETED
    assert fleet.entries[1].state.jobs_created


def test_runs_of_a_delegated_job_stop_when_the_caller_disconnects() -> None:
    """Guard against runs at the other entry that no caller waits for."""
    fleet = _busy_fleet()
    fleet.calls.duration_factor = 20
    request = _submit_delegated(fleet)
    fleet.run(0.2)
    fleet.disconnect_caller(0, request)
    fleet.run(0.3)
    assert not fleet.entries[1].state.jobs


def test_a_job_survives_the_loss_of_the_entry_that_it_went_to() -> None:
    """Guard against callers who wait for an entry that is gone."""
    fleet = _busy_fleet()
    fleet.calls.duration_factor = 5
    request = _submit_delegated(fleet)
    fleet.run(0.2)
    fleet.kill_entry(1, 1)
    fleet.run(RECOVERY_S)
    assert fleet.answers[request].verdict == answers.COMPLETED


def test_a_stopping_entry_answers_callers_of_delegated_jobs() -> None:
    """Guard against connections that are closed without an answer."""
    fleet = _busy_fleet()
    fleet.calls.duration_factor = 60
    request = _submit_delegated(fleet)
    fleet.run(0.1)
    fleet.drain_entry(0, 5)
    fleet.run(6)
    assert fleet.answers[request].verdict == answers.INTERRUPTED
    assert fleet.entries[0].state.exited
    assert not fleet.entries[1].state.jobs


def _delegated_again(driver: EntryDriver) -> delegation.DelegateJob:
    """Withdraw the job `j1` and delegate it again; return the last message.

    The release of the job that the other entry ran before arrives meanwhile.
    """
    driver.receive(PEER, IDLE_LOAD)
    assert _delegates(driver, 'j1')
    driver.post(events.CallerDisconnected(driver.now, 1))
    driver.receive(PEER, work.JobsReleased(('j1',)))
    sent = _sent(driver.submit('j1'), delegation.DelegateJob)
    delegated: delegation.DelegateJob = sent[0]
    return delegated


@pytest.mark.parametrize(
    'verdict',
    [answers.OVERLOADED, answers.INTERRUPTED, answers.SUPERSEDED],
)
def test_an_answer_to_a_withdrawn_job_does_not_answer_the_next(
    verdict: str,
) -> None:
    """Guard against a caller who hears that a job that runs never will.

    The answer crosses the withdrawal of the job, which is delegated again.
    """
    driver = _driver()
    current = _delegated_again(driver)
    former = delegation.DelegatedAnswer('j1', verdict, '', 0)
    effects = driver.receive(PEER, former._replace(number=current.number - 1))
    assert not _replies(effects)
    assert 'j1' in driver.state.peers[PEER].jobs
    effects = driver.receive(PEER, former._replace(number=current.number))
    assert [answer.verdict for answer in _replies(effects)] == [verdict]


def test_an_answer_names_the_delegation_that_it_answers() -> None:
    """Guard against answers that their receiver cannot tell apart."""
    driver = _driver()
    message = delegation.DelegateJob(
        'shop.example',
        '/plans/j1',
        job_of('j1', tasks=4),
        None,
        7,
    )
    driver.receive(PEER, message)
    driver.now += RECOVERY_S
    effects = driver.post(events.Tick(driver.now))
    assert _sent(effects, delegation.DelegatedAnswer)[0].number == 7
