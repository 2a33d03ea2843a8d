"""Provide a linked agent beside an idle executor."""

from __future__ import annotations

import pytest
from worker_driver import WorkerDriver


@pytest.fixture
def driver() -> WorkerDriver:
    """Return the driver of an agent."""
    return WorkerDriver()
