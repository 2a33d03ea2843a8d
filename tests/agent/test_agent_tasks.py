"""Check that a task starts at most once and its owner learns of the end."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver
from agent_driver import task_key

from savoryrudder.agent.effects import CallUpstream
from savoryrudder.agent.effects import StopUpstreamCall
from savoryrudder.protocol import messages
from savoryrudder.utils import effects
from savoryrudder.utils.identifiers import digest_of

KEY = task_key(3)


def test_start_calls_the_upstream_with_the_time_left(
    agent: AgentDriver,
) -> None:
    """Guard against calls that outlive their caller's deadline."""
    agent.start('e1', 3, deadline_ms=700)
    assert agent.emitted(CallUpstream) == [
        CallUpstream(KEY, 'cut', b'{}', 700, ''),
    ]
    assert agent.counted('starts') == 1


@pytest.mark.parametrize('outcome', ['complete', 'failed', 'unknown', 'odd'])
def test_repeated_start_is_answered_from_the_record(
    agent: AgentDriver,
    outcome: str,
) -> None:
    """Guard against a second run of a running or ended task."""
    expected = 'unknown' if outcome == 'odd' else outcome
    agent.start('e1', 3)
    agent.start('e1', 3)
    assert not agent.emitted(CallUpstream)
    assert not agent.sent(messages.Finished)
    assert agent.sent(messages.GrantCredits) == [messages.GrantCredits(1)]
    agent.finish(3, outcome)
    first = agent.sent(messages.Finished)[0]
    assert first.record.state == expected
    assert first.record.digest == digest_of(b'plan')
    assert first.credits == 1
    agent.start('e1', 3)
    assert not agent.emitted(CallUpstream)
    assert agent.sent(messages.Finished) == [first]
    assert agent.counted('duplicates') == 1


@pytest.mark.parametrize(
    ('reason', 'epoch', 'deadline_ms'),
    [('stale-epoch', 1, 500), ('deadline-passed', 2, 0), ('leaving', 2, 500)],
)
def test_refused_start_does_not_run(
    reason: str,
    epoch: int,
    deadline_ms: int,
) -> None:
    """Guard against running a task that was reported as never started."""
    agent = AgentDriver()
    agent.connect_and_claim('e1', (3, 2))
    if reason == 'leaving':
        agent.drain()
    agent.start('e1', 3, epoch, deadline_ms)
    assert agent.sent(messages.Rejected) == [messages.Rejected(*KEY, reason)]
    assert not agent.emitted(CallUpstream)
    suffix = reason.replace('-', '_')
    assert agent.counted(f'rejected_{suffix}') == 1


def test_refused_start_stays_refused_and_returns_its_credit(
    agent: AgentDriver,
) -> None:
    """Guard against running a repeated start after its rejection."""
    agent.start('e1', 3, deadline_ms=0)
    assert agent.sent(messages.GrantCredits) == [messages.GrantCredits(1)]
    agent.start('e1', 3, deadline_ms=500)
    assert not agent.emitted(CallUpstream)
    assert agent.sent(messages.Rejected) == [
        messages.Rejected(*KEY, 'deadline-passed'),
    ]


def test_higher_epoch_of_a_start_fences_the_old_owner(
    agent: AgentDriver,
) -> None:
    """Guard against starts by an entry that lost the partition."""
    agent.connect_and_claim('e2')
    agent.receive('e1', messages.ReturnCredits(1))
    agent.start('e2', 3, epoch=4)
    assert agent.emitted(CallUpstream)
    agent.start('e1', 67, epoch=3)
    assert agent.sent(messages.Rejected, 'e1')
    assert agent.emitted(effects.Log)[0].name == 'start-fenced'
    agent.connect_and_claim('e1', (3, 3), session='e1-2')
    agent.start('e1', 3, epoch=3)
    assert not agent.emitted(CallUpstream)
    assert not agent.sent(messages.Rejected)


def test_two_owners_of_one_epoch_are_not_both_accepted(
    agent: AgentDriver,
) -> None:
    """Guard against two entries that claim a partition in the same epoch."""
    agent.connect_and_claim('e2', (3, 1), (4, 2))
    assert agent.state.ownership[3].entry == 'e1'
    assert agent.state.ownership[4].entry == 'e2'


@pytest.mark.parametrize(
    ('partition', 'credits', 'reason'),
    [(3, 0, 'start-without-credit'), (9, 2, 'wrong-partition')],
)
def test_protocol_violation_ends_the_session(
    agent: AgentDriver,
    partition: int,
    credits: int,
    reason: str,
) -> None:
    """Guard against more starts than credits, and a wrong partition."""
    agent.receive('e1', messages.ReturnCredits(2 - credits))
    agent.state.links['e1'].credits = credits
    agent.receive(
        'e1',
        messages.Start(*KEY, partition, 1, 'cut', b'', 500, False, ''),
    )
    assert agent.emitted(effects.CloseLink) == [
        effects.CloseLink('e1', reason),
    ]
    assert not agent.emitted(CallUpstream)
    agent.start('e1', 3)
    assert agent.counted('wasted_messages') == 1


def test_waiting_task_with_the_earliest_deadline_starts_first() -> None:
    """Guard against a task that takes the slot of one with less time left."""
    agent = AgentDriver(slots=1, prefetch=2)
    agent.connect_and_claim('e1')
    agent.start('e1', 1)
    agent.start('e1', 2, deadline_ms=3000)
    agent.start('e1', 3, deadline_ms=900)
    agent.now += 0.5
    agent.finish(1)
    assert agent.emitted(CallUpstream) == [
        CallUpstream(KEY, 'cut', b'{}', 400, ''),
    ]
    assert agent.sent(messages.Finished)[0].credits == 1


def test_waiting_task_past_its_deadline_is_rejected() -> None:
    """Guard against starting a task whose caller no longer waits."""
    agent = AgentDriver(slots=1, prefetch=1)
    agent.connect_and_claim('e1')
    agent.start('e1', 1)
    agent.start('e1', 3, deadline_ms=400)
    agent.advance(0.5)
    assert agent.sent(messages.Rejected) == [
        messages.Rejected(*KEY, 'deadline-passed'),
    ]
    agent.finish(1)
    assert not agent.emitted(CallUpstream)


def test_returning_owner_gets_no_record_of_an_overdue_waiting_task() -> None:
    """Guard against a task that neither runs nor returns to its owner."""
    agent = AgentDriver(slots=1, prefetch=1)
    agent.connect_and_claim('e1')
    agent.start('e1', 1)
    agent.start('e1', 3, deadline_ms=400)
    agent.disconnect('e1')
    agent.advance(0.5)
    agent.connect_and_claim('e1', session='e1-2')
    records = agent.sent(messages.Records)[0].records
    assert [record.submission for record in records] == [task_key(1)[0]]
    agent.start('e1', 3)
    assert agent.sent(messages.Rejected) == [
        messages.Rejected(*KEY, 'deadline-passed'),
    ]


def test_overdue_call_is_unknown_and_keeps_its_slot() -> None:
    """Guard against overloading an upstream that is still running a task."""
    agent = AgentDriver(slots=1)
    agent.connect_and_claim('e1')
    agent.start('e1', 3, deadline_ms=1000)
    agent.advance(1.9)
    assert not agent.sent(messages.Finished)
    agent.advance(0.2)
    finished = agent.sent(messages.Finished)[0]
    assert (finished.record.state, finished.credits) == ('unknown', 0)
    agent.receive('e1', messages.Acknowledge((KEY,)))
    agent.advance(700)
    assert agent.state.records.find(KEY).state == 'unknown'
    agent.finish(3)
    assert agent.sent(messages.GrantCredits) == [messages.GrantCredits(1)]
    assert not agent.sent(messages.Finished)
    agent.finish(3)
    assert agent.counted('late_upstream_results') == 1


def test_task_is_rejected_if_the_upstream_is_unreachable(
    agent: AgentDriver,
) -> None:
    """Guard against reporting a task that never started as started."""
    agent.start('e1', 3)
    agent.finish(3, 'not-run', b'')
    assert agent.sent(messages.Rejected) == [messages.Rejected(*KEY, 'not-run')]
    agent.start('e1', 3)
    assert not agent.emitted(CallUpstream)


def test_withdrawal_reports_what_had_started() -> None:
    """Guard against reporting a task that ran as not run."""
    agent = AgentDriver(slots=2, prefetch=1)
    agent.connect_and_claim('e1')
    agent.start('e1', 1, idempotent=True)
    agent.start('e1', 2)
    agent.start('e1', 3)
    keys = tuple(task_key(number) for number in range(1, 5))
    agent.receive('e1', messages.Withdraw(keys))
    assert agent.sent(messages.Withdrawn) == [
        messages.Withdrawn(keys[2:], keys[:2]),
    ]
    assert agent.emitted(StopUpstreamCall) == [StopUpstreamCall(keys[0])]
    agent.receive('e1', messages.Withdraw(keys))
    assert not agent.emitted(StopUpstreamCall)
    agent.finish(1, 'unknown')
    assert agent.sent(messages.Finished)[0].record.state == 'unknown'
    for number in (3, 4):
        agent.start('e1', number)
        assert not agent.emitted(CallUpstream)
        assert agent.sent(messages.Rejected)


def test_former_owner_can_neither_withdraw_nor_acknowledge(
    agent: AgentDriver,
) -> None:
    """Guard against a former owner that interferes with its successor."""
    agent.start('e1', 3, idempotent=True)
    agent.connect_and_claim('e2', (3, 2))
    agent.receive('e1', messages.Withdraw((KEY,)))
    assert not agent.emitted(StopUpstreamCall)
    assert agent.sent(messages.Withdrawn)[0].started == (KEY,)
    agent.finish(3)
    assert agent.sent(messages.Finished, 'e2')
    agent.receive('e1', messages.Acknowledge((KEY,)))
    assert agent.state.records.undelivered == 1
    agent.receive('e2', messages.Acknowledge((KEY,)))
    assert agent.state.records.undelivered == 0
