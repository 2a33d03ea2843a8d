"""Check that an entry sends nothing new to an evacuated availability zone."""

from __future__ import annotations

from typing import Any

from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import ZONE
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.jobs.model import JobRequest
from savoryrudder.protocol import delegation
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Send

OTHER_ZONE = 'zone-b'
ZONES = (ZONE, OTHER_ZONE)
LABEL = 'r1'


def _links_of_starts(effects: list[Any]) -> set[str]:
    return {
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask | work.StartTasks)
    }


def _told(effects: list[Any]) -> list[tuple[str, EvacuatedZones]]:
    return [
        (effect.peer, effect.message)
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, EvacuatedZones)
    ]


def _answers(effects: list[Any]) -> list[answers.Answer]:
    return [
        effect.answer
        for effect in effects
        if isinstance(effect, Reply)
        and isinstance(effect.answer, answers.Answer)
    ]


def _only_answer(effects: list[Any]) -> answers.Answer:
    sent = _answers(effects)
    assert len(sent) == 1
    return sent[0]


def _log_names(effects: list[Any]) -> list[str]:
    return [effect.name for effect in effects if isinstance(effect, Log)]


def _labelled_job(name: str) -> JobRequest:
    job = job_of(name)
    step = job.steps[0]._replace(required_label=LABEL)
    return job._replace(steps=(step,))


def _driver(**settings: Any) -> EntryDriver:
    """Return an entry past its warm-up, with one agent in each zone."""
    driver = EntryDriver(2, zones=ZONES, **settings)
    driver.now += 10
    return driver


def test_no_task_goes_to_an_evacuated_zone() -> None:
    """Guards against starts there; the free executor in the zone is nearer."""
    driver = _driver()
    driver.evacuate(7, ZONE)
    assert _links_of_starts(driver.submit('j1')) == {'l1'}
    assert driver.state.capacity.count_agents('pane') == 1


def test_a_queued_job_is_placed_elsewhere_after_the_evacuation() -> None:
    """Guards against tasks that wait for an executor of the zone."""
    driver = _driver(free=NO_CPU)
    driver.submit('j1')
    driver.evacuate(7, ZONE)
    assert not _links_of_starts(driver.report('l0', CAPACITY))
    assert _links_of_starts(driver.report('l1', CAPACITY)) == {'l1'}


def test_a_started_task_ends_normally() -> None:
    """Guards against stops of what runs in the zone, and against lost ends."""
    driver = _driver()
    assert _links_of_starts(driver.submit('j1', tasks=1)) == {'l0'}
    evacuated = driver.evacuate(7, ZONE)
    assert not any(
        isinstance(effect, Send) and isinstance(effect.message, work.StopTask)
        for effect in evacuated
    )
    ended = driver.receive('l0', work.TaskEnded('j1.0.0.0', 1, 'done', '', 9))
    assert [answer.verdict for answer in _answers(ended)] == ['completed']


def test_a_start_that_the_agent_refuses_is_placed_elsewhere() -> None:
    """Guards against a lost task when the agent heard of it first."""
    driver = _driver()
    assert _links_of_starts(driver.submit('j1', tasks=1)) == {'l0'}
    driver.evacuate(7, ZONE)
    refusal = work.TaskEnded('j1.0.0.0', 1, 'not-started', 'evacuated', 0)
    assert _links_of_starts(driver.receive('l0', refusal)) == {'l1'}


def test_agents_are_told_each_change_once() -> None:
    """Guards against messages for news of the store that change nothing."""
    driver = _driver()
    told = EvacuatedZones(7, (ZONE,))
    effects = driver.evacuate(7, ZONE)
    assert _told(effects) == [('l0', told), ('l1', told)]
    assert 'zone-evacuated' in _log_names(effects)
    driver.report('l0', CAPACITY, told=told)
    assert not driver.evacuate(8, ZONE)
    effects = driver.evacuate(9)
    assert [message for _, message in _told(effects)] == 2 * [
        EvacuatedZones(9, ()),
    ]
    assert 'zone-restored' in _log_names(effects)


def test_an_agent_is_told_when_it_is_linked() -> None:
    """Guards against an agent that restarts, or reconnects, without the news.

    The zone may have been restored while it was away, so that it is told of no
    zones as well.
    """
    driver = _driver()
    assert not _told(driver.link_agent(3))
    driver.post(events.LinkDown(driver.now, 'l3', 'cut'))
    driver.evacuate(7, ZONE)
    assert _told(driver.link_agent(3)) == [('l3', EvacuatedZones(7, (ZONE,)))]
    driver.report('l3', CAPACITY)
    assert _links_of_starts(driver.submit('j1')) == {'l1'}
    driver.post(events.LinkDown(driver.now, 'l3', 'cut'))
    driver.evacuate(9)
    assert _told(driver.link_agent(3)) == [('l3', EvacuatedZones(9, ()))]


def test_agents_that_were_linked_before_the_first_read_are_told() -> None:
    """Guards against an entry that starts later and tells nobody."""
    driver = _driver()
    assert len(_told(driver.evacuate(7))) == 2
    assert not _told(driver.evacuate(8))


def test_a_restored_zone_is_used_again_at_once() -> None:
    """Guards against executors that stay unused, and jobs that wait on."""
    driver = _driver()
    driver.evacuate(7, ZONE)
    driver.report('l1', NO_CPU)
    assert not _links_of_starts(driver.submit('j1', tasks=1))
    assert _links_of_starts(driver.evacuate(8)) == {'l0'}


def test_an_outdated_read_changes_nothing() -> None:
    """Guards against a late answer of the store that closes a zone again."""
    driver = _driver()
    driver.evacuate(7, ZONE)
    driver.evacuate(9)
    assert not driver.evacuate(8, ZONE)
    assert _links_of_starts(driver.submit('j1')) == {'l0'}


def test_an_entry_that_missed_an_evacuation_tells_its_end() -> None:
    """Guards against an agent that nobody tells the end of an evacuation.

    The entry had lost the store all the while, and the one that told the agent
    of the evacuation is gone.
    """
    driver = _driver()
    driver.evacuate(5)
    driver.report('l0', CAPACITY, told=EvacuatedZones(7, (ZONE,)))
    assert _told(driver.evacuate(9)) == [('l0', EvacuatedZones(9, ()))]
    driver.report('l0', CAPACITY, told=EvacuatedZones(9, ()))
    assert not driver.evacuate(10)


def test_a_second_evacuation_closes_a_zone_whose_restoring_was_missed() -> None:
    """Guards against an entry that trusts an agent with older news for ever."""
    driver = _driver()
    driver.evacuate(5, ZONE)
    driver.report('l0', CAPACITY, told=EvacuatedZones(7, ()))
    assert _links_of_starts(driver.submit('j1')) == {'l0'}
    told = EvacuatedZones(9, (ZONE,))
    assert _told(driver.evacuate(9, ZONE)) == [('l0', told)]
    assert _links_of_starts(driver.submit('j2')) == {'l1'}


def test_one_of_two_zones_is_restored_by_itself() -> None:
    """Guards against one evacuation that ends or hides another one."""
    driver = EntryDriver(3, zones=(*ZONES, 'zone-c'))
    driver.now += 10
    driver.evacuate(7, ZONE)
    driver.evacuate(8, *ZONES)
    assert _links_of_starts(driver.submit('j1')) == {'l2'}
    driver.evacuate(9, OTHER_ZONE)
    assert _links_of_starts(driver.submit('j2')) == {'l0'}


def test_a_job_is_refused_at_once_when_all_zones_are_evacuated() -> None:
    """Guards against jobs that wait until their deadline for nothing."""
    driver = _driver()
    driver.evacuate(7, *ZONES)
    refusal = _only_answer(driver.submit('j1'))
    assert refusal.verdict == answers.UNAVAILABLE
    assert refusal.retry_after_s > 0


def test_queued_jobs_are_refused_at_once_when_no_room_is_left() -> None:
    """Guards against a refusal that comes only at the time limit."""
    driver = _driver(free=NO_CPU)
    driver.submit('j1')
    refusal = _only_answer(driver.evacuate(7, *ZONES))
    assert refusal.verdict == answers.UNAVAILABLE
    assert refusal.retry_after_s > 0
    assert not driver.state.jobs


def test_queued_jobs_that_the_rest_cannot_start_in_time_are_refused() -> None:
    """Guards against a queue as long as before for half of the executors.

    Those ahead keep their place.
    """
    driver = _driver(free=NO_CPU)
    for number in range(4):
        driver.submit(f'j{number}', tasks=4, cpu=1000)
    queued = len(driver.state.job_queue)
    refusals = _answers(driver.evacuate(7, ZONE))
    assert refusals
    assert len(refusals) < queued
    assert {refusal.verdict for refusal in refusals} == {answers.OVERLOADED}
    assert 'j0' in driver.state.jobs


def test_a_queued_job_that_may_have_run_is_not_refused() -> None:
    """Guards against a refusal that is not true."""
    driver = _driver()
    driver.submit('j1', tasks=9, cpu=2000)
    assert driver.state.jobs['j1'].has_waiting_tasks
    assert not _answers(driver.evacuate(7, *ZONES))
    assert 'j1' in driver.state.jobs


def test_a_job_for_a_label_of_the_zone_is_refused_meanwhile() -> None:
    """Guards against a job that waits, or counts as one that nobody can run."""
    driver = _driver()
    driver.report('l0', CAPACITY, labels=(LABEL,))
    driver.evacuate(7, ZONE)
    refusal = _only_answer(driver.submit_job(_labelled_job('j1')))
    assert refusal.verdict == answers.UNAVAILABLE
    assert refusal.retry_after_s > 0
    driver.evacuate(8)
    assert _links_of_starts(driver.submit_job(_labelled_job('j2'))) == {'l0'}


def test_a_job_without_usable_executors_goes_to_another_entry() -> None:
    """Guards against refusals of one entry while others have room."""
    driver = EntryDriver(1)
    driver.now += 10
    driver.post(events.LinkUp(driver.now, 'p', dialled=False))
    driver.receive('p', work.EntryHello('e2', 'e2#1', 'e2', OTHER_ZONE))
    driver.receive('p', work.JobsClaimed((), complete=True))
    load = delegation.EntryLoad({'pane': 90_000}, 0.1, True, 1)
    driver.receive('p', load)
    driver.evacuate(7, ZONE)
    effects = driver.submit('j1')
    assert not _answers(effects)
    assert [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, delegation.DelegateJob)
    ] == ['p']


def test_the_zone_counts_no_more_in_the_load_that_others_are_told() -> None:
    """Guards against jobs that others hand to this entry for its executors."""
    driver = _driver()
    before = driver.state.capacity.free_cpu('pane')
    driver.evacuate(7, ZONE)
    assert driver.state.capacity.free_cpu('pane') == before / 2
