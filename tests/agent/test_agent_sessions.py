"""Check configuration updates, graceful stops and the Hello message."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver
from agent_driver import task_key

from savoryrudder.agent.effects import CallUpstream
from savoryrudder.protocol import messages
from savoryrudder.utils import effects


def test_session_opens_with_hello() -> None:
    """Guard against an entry that does not know the agent's slots."""
    agent = AgentDriver(slots=7)
    agent.connect_and_claim('e1')
    agent.sessions['e2'] = 's'
    agent.drain()
    agent.connect_and_claim('e2')
    assert agent.state.hello == messages.Hello(
        agent='a1',
        incarnation='i1',
        service='pane',
        zone='petaling',
        slots=7,
        memory_mb=512,
        operations=('cut',),
        leaving=True,
    )
    assert not agent.sent(messages.GrantCredits)


def test_configuration_is_fetched_once_and_never_reverts(
    agent: AgentDriver,
) -> None:
    """Guard against repeated fetches and a return to an older revision."""
    agent.connect_and_claim('e2')
    requests = 0
    for entry in ('e1', 'e1', 'e2'):
        agent.receive(entry, messages.Heartbeat(), revision=5)
        requests += len(agent.sent(messages.FetchConfig))
    assert requests == 1
    agent.receive('e1', messages.Config(5, 'five'), revision=5)
    assert agent.state.revision == 5
    agent.receive('e2', messages.Config(4, 'four'), revision=4)
    assert agent.counted('wasted_messages') == 1
    agent.receive('e2', messages.FetchConfig(), revision=5)
    assert agent.sent(messages.Config, 'e2') == [messages.Config(5, 'five')]


def test_false_announcement_is_not_fetched_in_a_loop(
    agent: AgentDriver,
) -> None:
    """Guard against a fetch loop with an entry that lacks what it announces."""
    agent.connect_and_claim('e2')
    agent.receive('e1', messages.Heartbeat(), revision=5)
    agent.receive('e1', messages.Config(3, 'three'), revision=5)
    agent.receive('e1', messages.Heartbeat(), revision=5)
    assert not agent.sent(messages.FetchConfig)
    agent.receive('e2', messages.Heartbeat(), revision=5)
    assert agent.sent(messages.FetchConfig, 'e2')


@pytest.mark.parametrize(
    'message',
    [
        messages.GrantCredits(1),
        messages.ReturnCredits(0),
        messages.Demand(0),
        messages.Acknowledge((task_key(1),)),
        messages.Config(0, ''),
    ],
)
def test_message_without_effect_is_counted(
    agent: AgentDriver,
    message: messages.Message,
) -> None:
    """Guard against useless messages that the metrics do not show."""
    agent.receive('e1', message)
    assert agent.effects == [effects.Count('wasted_messages', 1)]


def test_drain_finishes_running_work_and_delivers_it() -> None:
    """Guard against a graceful stop that interrupts an upstream call."""
    agent = AgentDriver(slots=1, prefetch=2)
    agent.connect_and_claim('e1')
    agent.start('e1', 1)
    agent.start('e1', 2)
    agent.drain()
    assert agent.sent(messages.Leaving)
    assert agent.sent(messages.Rejected) == [
        messages.Rejected(*task_key(2), 'leaving'),
    ]
    assert agent.sent(messages.RecallCredits) == [messages.RecallCredits(1)]
    agent.start('e1', 3)
    assert not agent.emitted(CallUpstream)
    agent.receive('e1', messages.ReturnCredits(0))
    agent.finish(1)
    assert agent.sent(messages.Finished)[0].credits == 0
    assert not agent.emitted(effects.Exit)
    agent.receive('e1', messages.Acknowledge((task_key(1),)))
    assert agent.emitted(effects.Exit)
    agent.advance(1)
    assert not agent.emitted(effects.Exit)


def test_drain_waits_for_starts_that_may_be_in_flight(
    agent: AgentDriver,
) -> None:
    """Guard against a start in flight that gets no answer."""
    agent.drain()
    assert not agent.emitted(effects.Exit)
    agent.receive('e1', messages.ReturnCredits(2))
    assert agent.emitted(effects.Exit)


def test_stop_timeout_ends_the_drain_and_logs_what_is_left(
    agent: AgentDriver,
) -> None:
    """Guard against an agent that never stops while an owner is absent."""
    agent.start('e1', 1)
    agent.start('e1', 2, deadline_ms=50_000)
    agent.disconnect('e1')
    agent.finish(1)
    agent.drain(timeout_s=10)
    agent.advance(9.9)
    assert not agent.emitted(effects.Exit)
    agent.advance(0.2)
    assert agent.emitted(effects.Exit)
    assert agent.emitted(effects.Log) == [
        effects.Log(
            'stop-timeout',
            (('running', '1'), ('undelivered', '1')),
        ),
    ]


def test_entry_can_request_a_drain(agent: AgentDriver) -> None:
    """Guard against an agent that ignores an operator's drain request."""
    agent.connect_and_claim('e1')
    agent.receive('e1', messages.Leaving())
    assert agent.sent(messages.Leaving, 'e1')
    assert agent.state.draining
