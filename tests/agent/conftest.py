"""Provide an agent that serves one entry."""

from __future__ import annotations

import pytest
from agent_driver import Agent


@pytest.fixture
def agent() -> Agent:
    """Return an agent with two slots and entry e1 holding all partitions."""
    created = Agent()
    created.up('e1')
    return created
