"""Check how an entry that has just started treats jobs."""

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
SLACK_S = 0.18


def _submit(state: DispatchState, now: float) -> list[Reply]:
    reduce(state, events.ConfigurationRead(now, CONFIGURATION))
    path = f'{QUEUE.prefix}j'
    job = job_of('j', estimate_ms=200)
    submitted = events.JobSubmitted(now, 1, QUEUE.host, path, job, '', None)
    return _replies(reduce(state, submitted))


def _replies(effects: object) -> list[Reply]:
    assert isinstance(effects, list)
    return [one for one in effects if isinstance(one, Reply)]


def _started(at: float) -> DispatchState:
    identity = DispatchIdentity('e1', 'e1#1', 'address', 'zone')
    return DispatchState(identity, DispatchTiming(1), started_at=at)


def test_a_job_waits_for_executors_after_the_start_of_its_entry() -> None:
    """Guards against refusals in the second after a loss of power.

    Seen on kpf-cutdesk trouble-1: 0.5 s of requests were refused until the
    first agent had linked.
    """
    state = _started(NOW)
    assert not _submit(state, NOW)
    assert not _replies(reduce(state, events.Tick(NOW + SLACK_S - 0.01)))
    late = _replies(reduce(state, events.Tick(NOW + SLACK_S)))
    assert [one.answer.verdict for one in late] == [answers.OVERLOADED]


def test_later_a_job_without_executors_is_refused_at_once() -> None:
    """Guards against callers that wait for nothing."""
    replies = _submit(_started(NOW - 10), NOW)
    assert [one.answer.verdict for one in replies] == [answers.UNAVAILABLE]
