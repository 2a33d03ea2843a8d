"""Provide a driver for the reducer of an agent."""

from __future__ import annotations

import pytest
from worker_driver import WorkerDriver


@pytest.fixture
def driver() -> WorkerDriver:
    """Return a driver with one linked entry and an idle executor."""
    return WorkerDriver()
