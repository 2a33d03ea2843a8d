"""Check how an entry turns jobs away, and what it says about it."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import pytest
from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import QUEUE
from fakes.fleet import Fleet
from fakes.fleet import job_of
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.protocol import delegation
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from collections.abc import Callable

URGENT = QUEUE._replace(name='urgent', prefix='/urgent/', priority=0)
BACKGROUND = QUEUE._replace(name='backlog', prefix='/backlog/', priority=2)
QUEUES = Configuration(2, {'urgent': URGENT, 'backlog': BACKGROUND})
AGENTS = 4
RECOVERY_S = 40


class Entry:
    """Submit jobs of both queues to an entry whose executors are full."""

    def __init__(self) -> None:
        """Link agents long after the start of the entry."""
        self.driver = EntryDriver(AGENTS, NO_CPU)
        self.driver.state.started_at = self.driver.now - 10
        self._requests: dict[int, str] = {}
        self.driver.post(events.ConfigurationRead(self.driver.now, QUEUES))

    def submit(
        self,
        name: str,
        queue: Queue,
        tasks: int = 8,
        *,
        may_have_started: bool = False,
    ) -> list[Any]:
        """Submit a job and return the effects."""
        number = len(self._requests) + 1
        self._requests[number] = name
        job = job_of(name, tasks)
        path = queue.prefix + name
        return self.driver.post(
            events.JobSubmitted(
                self.driver.now,
                number,
                queue.host,
                path,
                job,
                '',
                None,
                may_have_started,
            ),
        )

    def lose_agents(self, count: int) -> list[Any]:
        """Lose the links to some agents and let time pass until a tick."""
        now = self.driver.now
        for index in range(count):
            self.driver.post(events.LinkDown(now, f'l{index}', 'cut'))
        return self.driver.post(events.Tick(now))

    def refused(self, effects: list[Any]) -> list[str]:
        """Return the jobs that are refused for want of room."""
        return [
            self._requests[effect.request_id]
            for effect in effects
            if isinstance(effect, Reply)
            and effect.answer.verdict == answers.OVERLOADED
        ]


@pytest.fixture
def entry() -> Entry:
    """Create an entry whose executors are full."""
    return Entry()


def _lines(effects: list[Any], name: str) -> list[dict[str, str]]:
    return [
        dict(effect.fields)
        for effect in effects
        if isinstance(effect, Log) and effect.name == name
    ]


def _counts(effects: list[Any]) -> set[str]:
    return {effect.name for effect in effects if isinstance(effect, Count)}


def test_an_urgent_job_takes_the_place_of_a_less_urgent_one(
    entry: Entry,
) -> None:
    """Guard against an urgent job that is refused while others wait."""
    assert not entry.refused(entry.submit('b', BACKGROUND))
    effects = entry.submit('u', URGENT)
    assert entry.refused(effects) == ['b']
    assert 'jobs_shed_waiting' in _counts(effects)
    line = _lines(effects, 'job-turned-away')[0]
    assert (line['job'], line['late'], line['priority']) == ('b', 'u', '2')


def test_a_less_urgent_job_takes_no_place(entry: Entry) -> None:
    """Guard against jobs that displace more urgent ones."""
    assert not entry.refused(entry.submit('u', URGENT))
    effects = entry.submit('b', BACKGROUND)
    assert entry.refused(effects) == ['b']
    assert 'jobs_shed_arriving' in _counts(effects)


def test_a_job_that_may_have_run_is_not_turned_away(entry: Entry) -> None:
    """Guard against an untrue refusal of a job that another entry had."""
    entry.submit('b', BACKGROUND, may_have_started=True)
    assert entry.refused(entry.submit('u', URGENT)) == ['u']


def test_callers_of_another_entry_are_told_through_it(entry: Entry) -> None:
    """Guard against a job that gives way while its own entry waits for it."""
    driver = entry.driver
    driver.post(events.LinkUp(driver.now, 'p1', dialled=False))
    driver.receive('p1', work.EntryHello('e2', 'e2#1', 'e2'))
    driver.receive('p1', work.JobsClaimed((), complete=True))
    path = f'{BACKGROUND.prefix}b'
    job = job_of('b', tasks=8)
    driver.receive(
        'p1',
        delegation.DelegateJob(BACKGROUND.host, path, job, None, 1),
    )
    effects = entry.submit('u', URGENT)
    answered = [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, delegation.DelegatedAnswer)
    ]
    assert [(answer.job, answer.verdict) for answer in answered] == [
        ('b', answers.OVERLOADED),
    ]


def test_a_started_job_is_not_turned_away(entry: Entry) -> None:
    """Guard against an untrue refusal of a job with a started task."""
    entry.submit('b', BACKGROUND)
    entry.driver.report('l0', NO_CPU._replace(cpu=2000))
    assert entry.driver.state.jobs['b'].started_at is not None
    assert entry.refused(entry.submit('u', URGENT)) == ['u']


def test_jobs_are_told_at_once_when_half_of_the_room_is_lost(
    entry: Entry,
) -> None:
    """Guard against jobs that wait for a time limit that they cannot keep.

    The least urgent one gives its place up, though it came first.
    """
    entry.submit('b', BACKGROUND, tasks=4)
    entry.submit('u', URGENT, tasks=4)
    effects = entry.lose_agents(AGENTS // 2)
    assert entry.refused(effects) == ['b']


def test_jobs_wait_while_no_agent_is_linked(entry: Entry) -> None:
    """Guard against refusals because of links that are coming back."""
    entry.submit('b', BACKGROUND)
    assert not entry.refused(entry.lose_agents(AGENTS))


def test_no_job_gives_way_while_its_room_is_free(entry: Entry) -> None:
    """Guard against refusals for the sake of jobs that may never come."""
    for number in range(20):
        entry.submit(f'u{number}', URGENT)
    assert entry.driver.state.refusal_shares.gives_way(
        BACKGROUND,
        entry.driver.now,
    )
    for index in range(AGENTS):
        entry.driver.report(f'l{index}', CAPACITY)
    assert not entry.driver.state.job_queue
    assert not entry.refused(entry.submit('b', BACKGROUND, tasks=1))


def test_less_urgent_jobs_hardly_wait_while_urgent_ones_are_refused(
    entry: Entry,
) -> None:
    """Guard against room that others take as they can wait for longer."""
    assert not entry.refused(entry.submit('b0', BACKGROUND, tasks=4))
    entry.driver.post(events.CallerDisconnected(entry.driver.now, 1))
    for number in range(20):
        entry.submit(f'u{number}', URGENT, tasks=60)
    assert not entry.driver.state.job_queue
    assert entry.refused(entry.submit('b1', BACKGROUND, tasks=4)) == ['b1']


def test_refused_callers_do_not_come_back_together(entry: Entry) -> None:
    """Guard against a wave of callers that are refused again.

    Callers see whole seconds; all refusals used to say 1.
    """
    effects = [
        effect
        for number in range(50)
        for effect in entry.submit(f'u{number}', URGENT, tasks=16)
    ]
    delays_s = [
        math.ceil(effect.answer.retry_after_s)
        for effect in effects
        if isinstance(effect, Reply)
    ]
    assert min(delays_s) >= 1
    assert max(map(delays_s.count, delays_s)) < 0.7 * len(delays_s)


_FAULTS = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.sampled_from(
            ('kill_agent', 'freeze_agent', 'crash_executor', 'silence_link'),
        ),
        st.integers(0, 2),
        st.floats(0.1, 2),
    ),
    max_size=4,
)


def _inject(fleet: Fleet, fault: str, agent: int, seconds: float) -> None:
    if fault == 'crash_executor':
        fleet.crash_executor(agent)
    elif fault == 'silence_link':
        fleet.silence_link('e0', f'a{agent}', seconds)
    else:
        getattr(fleet, fault)(agent, seconds)


def _record_start(
    started: set[str],
    draw_duration_s: Callable[[Any], float],
    call: Any,
) -> float:
    started.add(call.task.partition('.')[0])
    return draw_duration_s(call)


@settings(max_examples=40)
@given(seed=st.integers(0, 2**32), faults=_FAULTS)
def test_no_refused_job_had_a_started_task(
    seed: int,
    faults: list[tuple[float, str, int, float]],
) -> None:
    """Guard against "not run" for a job of which a task was started."""
    fleet = Fleet(seed, configuration=QUEUES)
    started: set[str] = set()
    fleet.calls.draw_duration_s = partial(
        _record_start,
        started,
        fleet.calls.draw_duration_s,
    )
    for fault_at_s, *fault in faults:
        fleet.clock.after(fault_at_s, _inject, fleet, *fault)
    rng = fleet.clock.randomness
    jobs_by_request = {}
    for number in range(80):
        queue = rng.choice((URGENT, BACKGROUND))
        job = job_of(f'j{number}', rng.randint(1, 6))
        request = fleet.submit(rng.randrange(2), job, queue)
        jobs_by_request[request] = job.job_id
        fleet.run(0.025)
    fleet.run(RECOVERY_S)
    refused = {
        jobs_by_request[request]
        for request, answer in fleet.answers.items()
        if answer.verdict == answers.OVERLOADED
    }
    assert not refused & started
