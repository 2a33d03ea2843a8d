"""Check when the agent delays the results of large jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from agent_driver import AgentDriver
from agent_driver import task_key

from savoryrudder.agent.report_delay import MAX_REPORT_DELAY_S
from savoryrudder.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

_PREFETCH = 2


@pytest.fixture
def busy_agent() -> AgentDriver:
    """Create an agent with two running and two waiting tasks of one job."""
    agent = AgentDriver()
    agent.connect_and_claim('e1')
    agent.receive('e1', messages.Demand(9, _PREFETCH))
    submission = task_key(1)[0]
    for task in range(4):
        agent.receive(
            'e1',
            messages.Start(submission, task, 1, 1, 'cut', b'', 9000, True, ''),
        )
    return agent


def _finish(
    agent: AgentDriver, tasks: Iterable[int], outcome: str
) -> list[int]:
    """Finish tasks of the job and return those that the agent reports."""
    reported: list[int] = []
    submission = task_key(1)[0]
    for task in tasks:
        agent.finish_task((submission, task), outcome)
        reported += [
            message.record.task for message in agent.sent(messages.Finished)
        ]
    return reported


def test_results_of_a_job_are_reported_together(
    busy_agent: AgentDriver,
) -> None:
    """Guard against a frame for each result of a large job."""
    assert _finish(busy_agent, (0, 1, 2), 'complete') == []
    assert _finish(busy_agent, (3,), 'complete') == [0, 1, 2, 3]
    assert (
        sum(message.credits for message in busy_agent.sent(messages.Finished))
        == 4
    )


def test_results_are_delayed_for_a_limited_time(
    busy_agent: AgentDriver,
) -> None:
    """Guard against entries that wait for credits while tasks are queued."""
    assert _finish(busy_agent, (0,), 'complete') == []
    busy_agent.advance(MAX_REPORT_DELAY_S)
    assert len(busy_agent.sent(messages.Finished)) == 1


def test_failures_are_reported_at_once(busy_agent: AgentDriver) -> None:
    """Guard against running the rest of a job that has failed."""
    assert _finish(busy_agent, (0,), 'complete') == []
    assert _finish(busy_agent, (1,), 'failed') == [0, 1]


def test_other_entries_can_refuse_prefetching(busy_agent: AgentDriver) -> None:
    """Guard against small jobs that wait for another entry's large jobs."""
    assert busy_agent.state.capacity == 2 + _PREFETCH
    assert _finish(busy_agent, (0,), 'complete') == []
    busy_agent.connect_and_claim('e2')
    assert busy_agent.state.capacity == 2
    busy_agent.receive('e2', messages.Demand(1))
    assert len(busy_agent.sent(messages.Finished, 'e1')) == 1


def test_delayed_results_survive_the_session(busy_agent: AgentDriver) -> None:
    """Guard against results that are lost with the session."""
    _finish(busy_agent, (0,), 'complete')
    busy_agent.disconnect('e1')
    busy_agent.connect_and_claim('e1', session='e1-2')
    busy_agent.advance(MAX_REPORT_DELAY_S)
    records = busy_agent.state.records.select(range(64))
    assert [record.state for record in records].count('complete') == 1
