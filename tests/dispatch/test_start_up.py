"""Check job admission shortly after the start of an entry."""

from __future__ import annotations

from fakes.fleet import CONFIGURATION
from fakes.fleet import QUEUE
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.dispatch.effects import Reply
from savoryrudder.dispatch.reducer import reduce
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming

NOW = 100.0
OBJECTIVE_S = 0.38
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


def test_a_job_waits_for_agents_to_connect_after_start_up() -> None:
    """Guards against refusals in the second after a power failure.

    An entry used to refuse all jobs for 0.5 s after its start, until the first
    agent had connected. It later held them until they could only be late, and
    refused them then, which left their callers no time to go elsewhere.
    """
    state = _entry_started_at(NOW)
    assert not _submit(state, NOW)
    assert not _replies(reduce(state, events.Tick(NOW + WAIT_S - 0.01)))
    replies = _replies(reduce(state, events.Tick(NOW + WAIT_S + 0.001)))
    assert [reply.answer.verdict for reply in replies] == [answers.OVERLOADED]


def test_a_job_without_executors_is_refused_at_once_after_warm_up() -> None:
    """Guards against callers that wait although no executor exists."""
    replies = _submit(_entry_started_at(NOW - 10), NOW)
    assert [reply.answer.verdict for reply in replies] == [answers.UNAVAILABLE]
