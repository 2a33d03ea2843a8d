"""Provide an agent with a session to one entry."""

from __future__ import annotations

import pytest
from agent_driver import AgentDriver


@pytest.fixture
def agent() -> AgentDriver:
    """Return an agent with two slots whose partitions are all owned by e1."""
    driver = AgentDriver()
    driver.connect_and_claim('e1')
    return driver
