"""Provide an agent that serves one entry."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver


@pytest.fixture
def agent() -> AgentDriver:
    """Return an agent with two slots and entry e1 holding all partitions."""
    created = AgentDriver()
    created.connect_and_claim('e1')
    return created
