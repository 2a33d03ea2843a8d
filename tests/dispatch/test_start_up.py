"""Check job admission shortly after the start of an entry."""

from __future__ import annotations

from fakes.fleet import CAPACITY
from fakes.fleet import CONFIGURATION
from fakes.fleet import QUEUE
from fakes.fleet import SERVICE
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.dispatch.reducer import reduce
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.jobs.model import NO_RESOURCES
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

NOW = 100.0
OBJECTIVE_S = 0.38
WARM_UP_S = DispatchTiming(1).warm_up_s
# A job without a started task is refused after a quarter of its objective.
WAIT_S = OBJECTIVE_S / 4


def _submit(state: DispatchState, now: float) -> list[Reply]:
    reduce(state, events.ConfigurationRead(now, CONFIGURATION))
    path = f'{QUEUE.prefix}j'
    job = job_of('j', estimate_ms=200)
    submitted = events.JobSubmitted(now, 1, QUEUE.host, path, job, '', None)
    return _replies(reduce(state, submitted))


def _replies(effects: object) -> list[Reply]:
    assert isinstance(effects, list)
    return [effect for effect in effects if isinstance(effect, Reply)]


def _entry_started_at(started_at: float) -> DispatchState:
    identity = DispatchIdentity('e1', 'e1#1', 'address', 'zone')
    return DispatchState(identity, DispatchTiming(1), started_at=started_at)


def _link_agent(state: DispatchState, now: float) -> list[object]:
    messages = (
        work.AgentHello('a1', 'a1#1', 'zone'),
        work.RunningTasks(()),
        work.ExecutorReport(
            'x1',
            SERVICE,
            (),
            CAPACITY,
            CAPACITY,
            accepting=True,
            starts_seen=0,
        ),
    )
    reduce(state, events.LinkUp(now, 'l1', dialled=False))
    effects: list[object] = []
    for message in messages:
        effects.extend(
            reduce(state, events.MessageReceived(now, 'l1', message))
        )
    return effects


def test_a_job_starts_on_the_first_agent_that_connects_after_start_up() -> None:
    """Guards against refusals in the second after a loss of all power.

    An entry used to refuse all jobs for 0.5 s after its start, until the first
    agent had connected. It later refused them once a quarter of their objective
    had passed, while agents were connecting and all other entries started, too.
    """
    state = _entry_started_at(NOW)
    assert not _submit(state, NOW)
    linked_at = NOW + WARM_UP_S - 0.1
    assert not _replies(reduce(state, events.Tick(linked_at)))
    starts = [
        effect.message
        for effect in _link_agent(state, linked_at)
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    ]
    assert starts


def test_a_job_is_refused_when_no_agent_has_connected_after_start_up() -> None:
    """Guards against callers that wait although no executor exists."""
    state = _entry_started_at(NOW)
    assert not _submit(state, NOW)
    assert not _replies(reduce(state, events.Tick(NOW + WARM_UP_S - 0.01)))
    replies = _replies(reduce(state, events.Tick(NOW + WARM_UP_S + 0.001)))
    assert [reply.answer.verdict for reply in replies] == [answers.OVERLOADED]


def test_a_job_that_arrives_after_the_start_up_waits_no_longer() -> None:
    """Guards against callers that have no time to go elsewhere."""
    state = _entry_started_at(NOW - WARM_UP_S)
    _link_agent(state, NOW - 0.1)
    state.agents['l1'].free = NO_RESOURCES
    assert not _submit(state, NOW)
    assert not _replies(reduce(state, events.Tick(NOW + WAIT_S - 0.01)))
    replies = _replies(reduce(state, events.Tick(NOW + WAIT_S + 0.001)))
    assert [reply.answer.verdict for reply in replies] == [answers.OVERLOADED]


def test_a_job_without_executors_is_refused_at_once_after_warm_up() -> None:
    """Guards against callers that wait although no executor exists."""
    replies = _submit(_entry_started_at(NOW - 10), NOW)
    assert [reply.answer.verdict for reply in replies] == [answers.UNAVAILABLE]
