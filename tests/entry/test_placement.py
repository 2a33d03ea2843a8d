"""Check which agent is chosen for a task."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from savoryrudder.entry.placement import Fleet
from savoryrudder.protocol.messages import Hello

_NAMES = st.sampled_from('abcd')
_COUNTS = st.integers(1, 4)


def _hello(name: str, slots: int = 10) -> Hello:
    return Hello(name, 'i', 'pane', 'petaling', slots, 512, ('cut',), False)


def _add_agent(fleet: Fleet, name: str, credit: int = 10) -> None:
    fleet.add_agent(_hello(name), 0)
    fleet.mark_usable(name)
    fleet.add_credits(name, credit)


@pytest.fixture
def fleet() -> Fleet:
    """Create a fleet of three agents with 10 credits each."""
    fleet = Fleet()
    for name in 'abc':
        _add_agent(fleet, name)
    return fleet


def test_starts_spread_over_equal_agents(fleet: Fleet) -> None:
    """Guard against filling one agent while others idle."""
    chosen = Counter(fleet.take_credit('pane', 'cut', 0) for _ in range(15))
    assert chosen == {'a': 5, 'b': 5, 'c': 5}


def test_slow_agent_is_used_only_for_a_long_queue(fleet: Fleet) -> None:
    """Guard against a short job that waits for a straggler."""
    for _ in range(10):
        for name, duration_s in (('a', 10), ('b', 1), ('c', 1)):
            fleet.record_outcome(name, 'cut', 'complete', duration_s, 0)
    while fleet.has_credit('pane'):
        assert fleet.take_credit('pane', 'cut', 0) != 'a'
    assert fleet.has_credit('pane', 0, backlog_s=1000)
    assert fleet.take_credit('pane', 'cut', 0, 1000) == 'a'


def test_ejected_agent_gets_probes_only(fleet: Fleet) -> None:
    """Guard against a broken agent that fails job after job."""
    for _ in range(6):
        fleet.record_outcome('a', 'cut', 'failed', 0.1, 0)
    assert [report.ejected for report in fleet.reports()] == [
        True,
        False,
        False,
    ]
    chosen = {fleet.take_credit('pane', 'cut', 0.5) for _ in range(10)}
    assert chosen == {'b', 'c'}
    chosen = Counter(fleet.take_credit('pane', 'cut', 2) for _ in range(5))
    assert chosen['a'] == 1


def test_leaving_and_lost_agents_get_no_tasks(fleet: Fleet) -> None:
    """Guard against starts that are certain to be rejected."""
    fleet.mark_leaving('a')
    fleet.remove_agent('b')
    assert {fleet.take_credit('pane', 'cut', 0) for _ in range(10)} == {'c'}
    assert fleet.take_credit('pane', 'cut', 0) is None
    assert fleet.capacity('pane') == 10
    assert fleet.agents_of('pane') == ['c']


class CreditMachine(RuleBasedStateMachine):
    """Compare the fleet's credits with a simple count."""

    def __init__(self) -> None:
        """Start without agents."""
        super().__init__()
        self.fleet = Fleet()
        self.credits: dict[str, int] = {}

    @rule(name=_NAMES, count=_COUNTS)
    def link(self, name: str, count: int) -> None:
        """Open a session, which ends an older one."""
        _add_agent(self.fleet, name, count)
        self.credits[name] = count

    @rule(name=_NAMES)
    def unlink(self, name: str) -> None:
        """End a session."""
        self.fleet.remove_agent(name)
        self.credits.pop(name, None)

    @rule(name=_NAMES, count=_COUNTS)
    def grant(self, name: str, count: int) -> None:
        """Grant credits."""
        if name not in self.credits:
            return
        self.fleet.add_credits(name, count)
        self.credits[name] += count

    @rule(name=_NAMES, count=_COUNTS)
    def return_credits(self, name: str, count: int) -> None:
        """Take credits back."""
        if name not in self.credits:
            return
        self.credits[name] -= self.fleet.return_credits(name, count)

    @rule(name=_NAMES)
    def fail(self, name: str) -> None:
        """Fail a task."""
        self.fleet.record_outcome(name, 'cut', 'failed', 0.1, 0)

    @rule()
    def take(self) -> None:
        """Start a task; fails only if no healthy agent has a credit."""
        healthy = any(
            report.credits and not report.ejected
            for report in self.fleet.reports()
        )
        agent = self.fleet.take_credit('pane', 'cut', 0)
        assert healthy == (agent is not None)
        if agent is not None:
            self.credits[agent] -= 1

    @invariant()
    def credits_are_conserved(self) -> None:
        """Guard against starts without a credit and lost credits."""
        actual = {
            report.agent: report.credits for report in self.fleet.reports()
        }
        assert actual == self.credits


TestCredits = CreditMachine.TestCase
