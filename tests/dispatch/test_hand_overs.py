"""Test how entries without room spread their jobs over those that have some."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE
from fakes.fleet import ZONE
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch import peer_choice
from savoryrudder.dispatch.effects import Reply
from savoryrudder.protocol import delegation
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savoryrudder.jobs.model import Resources

OTHER_ZONE = 'zone-b'
IDLE_LOAD = delegation.EntryLoad(
    {SERVICE: 400_000},
    busy_share=0.1,
    accepting=True,
    version=1,
)
REFUSED = delegation.DelegatedAnswer('j1', answers.OVERLOADED, 'no room', 1)


def _driver(
    zones: Sequence[str],
    free: Resources = NO_CPU,
) -> EntryDriver:
    """Return an entry with linked entries `p0`, `p1`, ... in some zones."""
    driver = EntryDriver(2, free)
    driver.state.started_at = driver.now - 10
    for number, zone in enumerate(zones):
        link = f'p{number}'
        name = f'e{number + 2}'
        driver.post(events.LinkUp(driver.now, link, dialled=False))
        driver.receive(link, work.EntryHello(name, f'{name}#1', name, zone))
        driver.receive(link, work.JobsClaimed((), complete=True))
    return driver


def _receivers(effects: list[Any]) -> list[str]:
    return [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, delegation.DelegateJob)
    ]


def _verdicts(effects: list[Any]) -> list[str]:
    return [
        effect.answer.verdict for effect in effects if isinstance(effect, Reply)
    ]


def _hand_over(driver: EntryDriver, jobs: int) -> Counter[str]:
    """Submit jobs and return how many each other entry received."""
    received: Counter[str] = Counter()
    for number in range(jobs):
        received.update(_receivers(driver.submit(f'j{number}', tasks=1)))
    return received


def test_jobs_are_spread_over_all_entries_with_room() -> None:
    """Guard against a herd on the one entry with the most room."""
    driver = _driver((ZONE, ZONE, ZONE))
    for number, cpu in enumerate((400_000, 390_000, 200_000)):
        load = IDLE_LOAD._replace(free_cpu={SERVICE: cpu})
        driver.receive(f'p{number}', load)
    received = _hand_over(driver, 90)
    assert min(received[f'p{number}'] for number in range(3)) >= 9
    assert received['p0'] > received['p2']


def test_entries_in_the_zone_go_first() -> None:
    """Guard against jobs that cross zones although the own one has room."""
    driver = _driver([OTHER_ZONE, ZONE])
    driver.receive('p0', IDLE_LOAD)
    driver.receive('p1', IDLE_LOAD._replace(free_cpu={SERVICE: 8000}))
    received = _hand_over(driver, 20)
    assert received['p0']
    assert received['p1']
    assert _receivers(_fresh(driver).submit('k1', tasks=1)) == ['p1']


def _fresh(driver: EntryDriver) -> EntryDriver:
    """Let the entries tell their loads again, a while later."""
    driver.now += 0.1
    driver.receive('p0', IDLE_LOAD)
    driver.receive('p1', IDLE_LOAD._replace(free_cpu={SERVICE: 8000}))
    return driver


def test_a_busy_event_loop_gets_fewer_jobs() -> None:
    """Guard against an entry with free executors and no time."""
    driver = _driver((ZONE, ZONE))
    driver.receive('p0', IDLE_LOAD)
    driver.receive('p1', IDLE_LOAD._replace(busy_share=0.55))
    received = _hand_over(driver, 90)
    assert 0 < received['p1'] < received['p0']


def test_an_old_announcement_counts_for_less() -> None:
    """Guard against room that was taken since it was announced."""
    driver = _driver([ZONE])
    job = job_of('j1', tasks=4, cpu=1000)
    load = IDLE_LOAD._replace(free_cpu={SERVICE: 5500})
    driver.receive('p0', load)
    state = driver.state
    assert peer_choice.choose_peer(state, driver.now, SERVICE, job)
    assert not peer_choice.choose_peer(state, driver.now + 1, SERVICE, job)


def test_a_job_that_crosses_an_announcement_still_counts() -> None:
    """Guard against room that is promised twice around an announcement."""
    driver = _driver([ZONE])
    load = IDLE_LOAD._replace(free_cpu={SERVICE: 6000})
    driver.receive('p0', load)
    assert _receivers(driver.submit('j1'))
    driver.receive('p0', load)
    assert not _receivers(driver.submit('j2'))
    driver.now += 0.1
    driver.receive('p0', load)
    assert _receivers(driver.submit('j3'))


def test_a_refused_job_goes_to_a_second_entry_and_no_third() -> None:
    """Guard against callers who are refused while a second entry has room."""
    driver = _driver((ZONE, ZONE, ZONE))
    for number in range(3):
        driver.receive(f'p{number}', IDLE_LOAD)
    first = _receivers(driver.submit('j1'))[0]
    second = _receivers(driver.receive(first, REFUSED))[0]
    assert second != first
    effects = driver.receive(second, REFUSED)
    assert not _receivers(effects)
    assert _verdicts(effects) == [answers.OVERLOADED]


def test_a_refused_job_runs_here_if_it_fits_by_now() -> None:
    """Guard against a refusal beside executors that have become free."""
    driver = _driver([ZONE])
    driver.receive('p0', IDLE_LOAD)
    driver.submit('j1')
    driver.report('l0', CAPACITY)
    effects = driver.receive('p0', REFUSED)
    assert not _verdicts(effects)
    assert driver.state.jobs['j1'].started_at == driver.now
    assert not driver.state.delegations


def test_a_job_that_waited_elsewhere_is_handed_over_no_more() -> None:
    """Guard against jobs that are accepted and late, in place of a refusal."""
    driver = _driver((ZONE, ZONE))
    driver.receive('p0', IDLE_LOAD)
    driver.receive('p1', IDLE_LOAD)
    receiver = _receivers(driver.submit('j1'))[0]
    driver.now += 0.1
    driver.report('l0', CAPACITY)
    effects = driver.receive(receiver, REFUSED)
    assert _verdicts(effects) == [answers.OVERLOADED]


def test_an_entry_that_refused_gets_no_job_for_a_while() -> None:
    """Guard against jobs that go on to an entry that is full."""
    driver = _driver([ZONE])
    driver.receive('p0', IDLE_LOAD)
    driver.submit('j1')
    driver.receive('p0', REFUSED)
    assert not _receivers(driver.submit('j2'))
    driver.now += 0.6
    assert _receivers(driver.submit('j3'))


@pytest.mark.parametrize('lost_before_answer', [False, True])
def test_callers_hear_one_answer_when_the_second_entry_is_lost(
    *,
    lost_before_answer: bool,
) -> None:
    """Guard against "has not run" for a job that the second entry had."""
    driver = _driver((ZONE, ZONE))
    driver.receive('p0', IDLE_LOAD)
    driver.receive('p1', IDLE_LOAD)
    first = _receivers(driver.submit('j1'))[0]
    second = _receivers(driver.receive(first, REFUSED))[0]
    given: list[str] = []
    if not lost_before_answer:
        given += _verdicts(driver.receive(second, REFUSED))
    given += _verdicts(
        driver.post(events.LinkDown(driver.now, second, 'cut')),
    )
    for _ in range(200):
        driver.now += 0.05
        given += _verdicts(driver.post(events.Tick(driver.now)))
    expected = answers.INTERRUPTED if lost_before_answer else answers.OVERLOADED
    assert given == [expected]


def test_many_entries_do_not_swamp_an_idle_one() -> None:
    """Guard against own callers who are refused for jobs of other entries.

    Several entries without room hear of the same room and fill it at once.
    """
    idle = _driver((OTHER_ZONE,) * 5, CAPACITY)
    load = IDLE_LOAD._replace(free_cpu={SERVICE: 2 * CAPACITY.cpu})
    sent = 0
    for sender in range(5):
        driver = _driver([OTHER_ZONE])
        driver.receive('p0', load)
        for number in range(10):
            name = f'j{sender}-{number}'
            if _receivers(driver.submit(name)):
                sent += 1
                message = delegation.DelegateJob(
                    'shop.example',
                    f'/plans/{name}',
                    job_of(name, tasks=4, cpu=1000),
                    None,
                )
                idle.receive(f'p{sender}', message)
    # Four of the jobs fill all executors.
    assert sent > 8
    assert len(idle.state.jobs) >= 4
    assert not _verdicts(idle.submit('own'))


def test_a_line_tells_why_a_job_was_handed_over() -> None:
    """Guard against hand-overs that nobody can explain afterwards."""
    driver = _driver([ZONE])
    driver.receive('p0', IDLE_LOAD)
    driver.now += 0.2
    effects = driver.submit('j1')
    lines = [effect for effect in effects if isinstance(effect, Log)]
    fields = dict(lines[-1].fields)
    assert lines[-1].name == 'job-delegated'
    assert fields['reason'] == 'no room'
    assert fields['needed_cpu'] == '4000'
    assert fields['load_age_s'] == '0.2'
    assert int(fields['peer_free_cpu']) < IDLE_LOAD.free_cpu[SERVICE]
