"""Check claims, takeover, retention and the bounds on records."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver
from agent_driver import task_key

from savoryrudder.agent.effects import CallUpstream
from savoryrudder.agent.records import RecordTable
from savoryrudder.protocol import messages
from savoryrudder.utils import effects

KEY = task_key(3)


def test_claim_reports_claimed_records_and_stale_partitions() -> None:
    """Guard against an answer that lacks a task or a newer owner."""
    agent = AgentDriver(slots=3, prefetch=1)
    agent.connect_and_claim('e1', (3, 1), (4, 7), (5, 1))
    for number, epoch in ((3, 1), (4, 7), (5, 1)):
        agent.start('e1', number, epoch)
    agent.finish(3)
    agent.start('e1', 67)
    agent.receive('e1', messages.Withdraw((task_key(5 + 64),)))
    agent.sessions['e2'] = 'e2-1'
    agent.connect_and_claim('e2', (3, 2), (4, 6), (5, 2))
    answer = tuple(
        record.to_message() for record in agent.state.records.select((3, 5))
    )
    assert [(record.submission, record.state) for record in answer] == [
        (KEY[0], 'complete'),
        (task_key(67)[0], 'running'),
        (task_key(5)[0], 'running'),
    ]
    assert agent.sent(messages.Records) == [messages.Records(1, answer, (4,))]
    assert answer[0].result == b'plan'
    agent.finish(5)
    assert agent.sent(messages.Finished, 'e2')


def test_result_of_an_absent_owner_waits_for_its_next_claim(
    agent: AgentDriver,
) -> None:
    """Guard against results that are lost while a link is down."""
    agent.start('e1', 3)
    agent.disconnect('e1')
    agent.finish(3)
    assert not agent.sent(messages.Finished)
    agent.connect_and_claim('e1', session='e1-2')
    assert agent.sent(messages.Records)[0].records[0].result == b'plan'


def test_new_session_replaces_the_old_one(agent: AgentDriver) -> None:
    """Guard against delayed starts of an earlier session."""
    agent.connect_and_claim('e1', session='e1-2')
    message = messages.Start(*KEY, 3, 1, 'cut', b'', 500, False, '')
    agent.receive('e1', message, session='e1-1')
    assert agent.effects == [effects.Count('wasted_messages', 1)]
    agent.sessions['e1'] = 'e1-1'
    agent.disconnect('e1')
    assert agent.state.links['e1'].session == 'e1-2'


@pytest.mark.parametrize(
    ('acknowledged', 'retained_s', 'counted'),
    [(True, 600, 0), (False, 1200, 1)],
)
def test_record_outlives_the_retention_window(
    agent: AgentDriver,
    acknowledged: bool,
    retained_s: float,
    counted: int,
) -> None:
    """Guard against dropping a record while the start may be repeated."""
    agent.start('e1', 3)
    agent.finish(3)
    if acknowledged:
        agent.receive('e1', messages.Acknowledge((KEY,)))
    agent.advance(retained_s - 1)
    agent.start('e1', 3)
    assert not agent.emitted(CallUpstream)
    agent.advance(1)
    assert not len(agent.state.records)
    assert agent.counted('results_dropped') == counted


def test_oldest_acknowledged_results_are_released_first() -> None:
    """Guard against unbounded memory, and against losing unsent results."""
    agent = AgentDriver(max_result_bytes=10)
    agent.connect_and_claim('e1')
    for number in (1, 2, 3):
        agent.start('e1', number)
        agent.finish(number, result=b'12345')
        if number != 2:
            agent.receive('e1', messages.Acknowledge((task_key(number),)))
    records = {
        record.key[0][3]: record
        for record in agent.state.records.select(range(9))
    }
    assert [records[number].state for number in (1, 2, 3)] == [
        'released',
        'complete',
        'complete',
    ]
    assert (records[1].result, len(records[1].digest)) == (b'', 16)
    agent.advance(600)
    assert agent.state.records.result_bytes == 5


@pytest.mark.parametrize(
    'limits', [{'max_records': 2}, {'max_result_bytes': 7}]
)
def test_no_credits_beyond_the_record_limit(limits: dict[str, int]) -> None:
    """Guard against memory growth while no entry acknowledges."""
    agent = AgentDriver(**limits)
    agent.connect_and_claim('e1')
    for number in (1, 2):
        agent.start('e1', number)
        agent.finish(number)
    assert not agent.state.granted_credits or 'max_result_bytes' in limits
    agent.advance(0.1)
    assert agent.emitted(effects.Log)[0].name == 'record-limit-reached'
    agent.state.links['e1'].credits = 1
    agent.start('e1', 3)
    assert agent.sent(messages.Rejected)[0].reason == 'overloaded'
    agent.advance(1200)
    assert agent.emitted(effects.Log)[0].name == 'record-limit-cleared'


def test_result_size_stays_correct_as_records_expire() -> None:
    """Guard against a result size that drifts as records expire."""
    table = RecordTable(1, 100)
    agent = AgentDriver(slots=1)
    agent.state.records = table
    agent.connect_and_claim('e1')
    for number in range(30):
        agent.start('e1', number)
        agent.finish(number, result=b'x' * (number % 3) * 9)
        agent.receive('e1', messages.Acknowledge((task_key(number),)))
        agent.advance(0.1)
    records = table.select(range(64))
    assert table.result_bytes == sum(len(record.result) for record in records)
    agent.advance(2)
    assert (len(table), table.result_bytes) == (0, 0)


def test_results_beyond_one_page_follow_the_answer_to_a_claim() -> None:
    """Guard against an answer too large for a link, which ends the session."""
    agent = AgentDriver(page_bytes=10)
    agent.connect_and_claim('e1')
    for number in range(1, 6):
        agent.start('e1', number)
        agent.finish(number, result=b'1234')
        if number < 5:
            agent.receive('e1', messages.Acknowledge((task_key(number),)))
        agent.advance(1)
    agent.connect_and_claim('e1', session='e1-2')
    answer = agent.sent(messages.Records)[0].records
    assert [(record.submission[3], record.state) for record in answer] == [
        (5, 'complete'),
        (4, 'complete'),
        (3, 'running'),
        (2, 'running'),
        (1, 'running'),
    ]
    pages = []
    for _ in range(3):
        agent.advance(0.1)
        finished = agent.sent(messages.Finished, 'e1')
        pages.append([message.record.submission[3] for message in finished])
    assert pages == [[3, 2, 1], [], []]
