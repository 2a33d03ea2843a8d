"""Check how slots are split among entries."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver

from savoryrudder.protocol import messages


def unused_credits(agent: AgentDriver) -> dict[str, int]:
    """Return the unused credits of each entry."""
    return {entry: link.credits for entry, link in agent.state.links.items()}


def test_credits_follow_the_answer_to_a_claim() -> None:
    """Guard against starts by an entry that has not received the records."""
    agent = AgentDriver(slots=4, prefetch=1)
    agent.connect_and_claim('e1')
    order = [type(effect.message) for effect in agent.effects]
    assert order == [messages.Records, messages.GrantCredits]
    assert unused_credits(agent) == {'e1': 5}


def test_idle_credits_are_spread_when_an_entry_joins() -> None:
    """Guard against a new entry that has no credit for its first task."""
    agent = AgentDriver(slots=6)
    agent.connect_and_claim('e1')
    agent.connect_and_claim('e2')
    assert agent.sent(messages.RecallCredits, 'e1') == [
        messages.RecallCredits(3)
    ]
    agent.receive('e1', messages.ReturnCredits(3))
    assert unused_credits(agent) == {'e1': 3, 'e2': 3}


@pytest.mark.parametrize(
    ('demands', 'expected'),
    [
        ((60, 30, 10), (6, 3, 1)),
        ((50, 50, 50), (4, 3, 3)),
        ((900, 1, 0), (9, 1, 0)),
        ((3, 1, 0), (4, 3, 3)),
        ((0, 0, 0), (4, 3, 3)),
    ],
)
def test_credits_follow_demand(
    demands: tuple[int, ...],
    expected: tuple[int, ...],
) -> None:
    """Guard against a split that ignores demand or starves an entry."""
    agent = AgentDriver(slots=10)
    agent.connect_and_claim('e0')
    for number in range(10):
        agent.start('e0', number)
    entries = ('e1', 'e2', 'e3')
    for entry, demand in zip(entries, demands, strict=True):
        agent.connect_and_claim(entry)
        agent.receive(entry, messages.Demand(demand))
    agent.state.links.pop('e0')
    for number in range(10):
        agent.finish(number)
    assert tuple(unused_credits(agent)[entry] for entry in entries) == expected


def test_entries_with_equal_demand_alternate() -> None:
    """Guard against a fixed order that favours one of two equal entries."""
    agent = AgentDriver(slots=1)
    agent.connect_and_claim('e1')
    agent.connect_and_claim('e2')
    agent.receive('e1', messages.Demand(50))
    agent.receive('e2', messages.Demand(50))
    order = ''
    for number in range(6):
        entry = next(
            name for name, amount in unused_credits(agent).items() if amount
        )
        order += entry[1]
        agent.start(entry, number)
        agent.finish(number)
    assert order in {'121212', '212121'}


def test_recall_needs_unmet_demand_and_is_not_repeated() -> None:
    """Guard against recalls that are repeated without effect."""
    agent = AgentDriver(slots=2)
    agent.connect_and_claim('e1')
    agent.connect_and_claim('e2')
    agent.receive('e1', messages.ReturnCredits(1))
    assert unused_credits(agent) == {'e1': 1, 'e2': 1}
    agent.receive('e2', messages.Demand(9))
    assert agent.sent(messages.RecallCredits, 'e1') == [
        messages.RecallCredits(1)
    ]
    agent.advance(0.1)
    assert not agent.sent(messages.RecallCredits)
    agent.receive('e1', messages.ReturnCredits(0))
    assert not agent.sent(messages.RecallCredits)
    agent.advance(0.5)
    assert not agent.sent(messages.RecallCredits)
    agent.advance(0.5)
    assert agent.sent(messages.RecallCredits, 'e1')
    agent.start('e1', 1)
    agent.receive('e1', messages.ReturnCredits(0))
    assert unused_credits(agent) == {'e1': 0, 'e2': 1}
    agent.finish(1)
    assert agent.sent(messages.Finished, 'e1')[0].credits == 0
    assert agent.sent(messages.GrantCredits, 'e2') == [messages.GrantCredits(1)]


def test_credits_of_an_ended_session_are_regranted() -> None:
    """Guard against slots that stay idle after an entry disconnected."""
    agent = AgentDriver(slots=2)
    agent.connect_and_claim('e1')
    agent.connect_and_claim('e2')
    agent.receive('e1', messages.Demand(1))
    agent.disconnect('e1')
    assert agent.sent(messages.GrantCredits, 'e2') == [messages.GrantCredits(2)]
