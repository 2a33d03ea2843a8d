"""Test that links between entries cost little, and are watched when needed."""

from __future__ import annotations

from typing import Any

from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE

from savoryrudder.dispatch import events
from savoryrudder.protocol import delegation
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import SetCarriesWork

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d', 'zone-e')
FEW_PEERS = 5
MANY_PEERS = 40
# Peers that are told the load, at any size of the fleet.
MAX_LISTENERS = 6


def _driver_with_peers(count: int, free: Any = CAPACITY) -> EntryDriver:
    driver = EntryDriver(1, free)
    driver.state.started_at = driver.now
    for number in range(count):
        link = f'p{number}'
        driver.post(events.LinkUp(driver.now, link, dialled=False))
        zone = ZONES[number % len(ZONES)]
        hello = work.EntryHello(f'x{number}', f'x{number}#1', link, zone)
        driver.receive(link, hello)
        driver.receive(link, work.JobsClaimed((), complete=True))
    return driver


def _tick(driver: EntryDriver, busy_share: float | None = None) -> list[Any]:
    driver.now += 1
    return driver.post(events.Tick(driver.now, busy_share))


def _load_listeners(peers: int) -> set[str]:
    driver = _driver_with_peers(peers)
    return {
        effect.peer
        for effect in _tick(driver, 0.5)
        if isinstance(effect, Send)
        and isinstance(effect.message, delegation.EntryLoad)
    }


def _work_changes(effects: list[Any]) -> dict[str, bool]:
    return {
        effect.peer: effect.carries_work
        for effect in effects
        if isinstance(effect, SetCarriesWork)
    }


def _accept_load(driver: EntryDriver, link: str) -> None:
    load = delegation.EntryLoad(
        {SERVICE: 100_000},
        busy_share=0,
        accepting=True,
        version=1,
    )
    driver.receive(link, load)


def test_the_load_is_told_to_a_bounded_number_of_entries() -> None:
    """Guard against messages that grow with the square of the entries."""
    few = _load_listeners(FEW_PEERS)
    many = _load_listeners(MANY_PEERS)
    assert few
    assert len(few) <= len(many) <= MAX_LISTENERS


def test_all_of_a_few_entries_are_told_the_load() -> None:
    """Guard against entries of a small fleet that cannot delegate."""
    assert len(_load_listeners(2)) == 2


def test_a_lost_listener_is_replaced() -> None:
    """Guard against a load that nobody hears after a failure."""
    driver = _driver_with_peers(MANY_PEERS)
    _tick(driver, 0.5)
    listeners = [
        link for link, peer in driver.state.peers.items() if peer.hears_load
    ]
    driver.post(events.LinkDown(driver.now, listeners[0], 'cut'))
    told = {
        effect.peer
        for effect in _tick(driver, 0.9)
        if isinstance(effect, Send)
        and isinstance(effect.message, delegation.EntryLoad)
    }
    assert len(told) == len(listeners)
    assert listeners[0] not in told


def test_links_without_jobs_are_quiet() -> None:
    """Guard against heartbeats that grow with the square of the entries."""
    driver = _driver_with_peers(MANY_PEERS)
    driver.submit('j1', tasks=1)
    assert set(_work_changes(_tick(driver)).values()) == {False}
    assert not driver.state.working_peers
    assert not _work_changes(_tick(driver))


def test_the_link_of_a_delegated_job_is_watched() -> None:
    """Guard against a delegated job whose entry is lost unnoticed."""
    driver = _driver_with_peers(2, NO_CPU)
    _tick(driver)
    _accept_load(driver, 'p1')
    assert _work_changes(driver.submit('j1')) == {'p1': True}
    assert not _work_changes(_tick(driver))
    answer = delegation.DelegatedAnswer('j1', 'completed', '', 0)
    driver.receive('p1', answer)
    assert _work_changes(_tick(driver)) == {'p1': False}


def test_the_link_of_a_job_that_was_taken_over_is_watched() -> None:
    """Guard against running a job for an entry that is lost unnoticed."""
    driver = _driver_with_peers(2)
    _tick(driver)
    submitted = driver.submit('j0', tasks=1)
    assert not _work_changes(submitted).get('p0')
    job = driver.state.jobs['j0'].request._replace(job_id='j1')
    delegated = delegation.DelegateJob('shop.example', '/plans/j1', job, None)
    assert _work_changes(driver.receive('p0', delegated))['p0']


def test_the_link_to_the_holder_of_a_job_is_watched() -> None:
    """Guard against a caller who waits for an entry that is lost."""
    driver = _driver_with_peers(2)
    _tick(driver)
    driver.receive('p1', work.JobsClaimed(('j1',)))
    assert _work_changes(driver.submit('j1')) == {'p1': True}
    driver.receive('p1', work.JobRelinquished('j1', ''))
    assert _work_changes(_tick(driver)) == {'p1': False}


def test_the_starts_of_a_step_share_a_message() -> None:
    """Guard against a copy of the job's content for each of its tasks."""
    driver = EntryDriver(0)
    driver.post(events.LinkUp(driver.now, 'l0', dialled=False))
    driver.receive('l0', work.AgentHello('a0', 'a0#1', 'zone-a', batches=True))
    driver.receive('l0', work.RunningTasks(()))
    driver.report('l0', CAPACITY)
    sent = [
        effect.message
        for effect in driver.submit('j1', tasks=4)
        if isinstance(effect, Send)
    ]
    assert [type(message) for message in sent] == [work.StartTasks]
    starts = list(sent[0].each())
    assert [start.number for start in starts] == [1, 2, 3, 4]
    assert {start.task for start in starts} == set(
        driver.state.jobs['j1'].tasks
    )


def test_an_agent_of_an_earlier_release_gets_each_start_alone() -> None:
    """Guard against starts that an agent does not understand."""
    driver = EntryDriver(1)
    sent = [
        effect.message
        for effect in driver.submit('j1', tasks=4)
        if isinstance(effect, Send)
    ]
    assert {type(message) for message in sent} == {work.StartTask}
