"""Provide deployments of separate processes."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest

from tests.processes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Provide an empty deployment; kill its processes after the test."""
    created = Deployment(tmp_path)
    yield created
    created.close()


@pytest.fixture
def loopback_host() -> str:
    """Return a loopback address that no other process of the tests uses."""
    number = os.getpid()
    return f'127.79.{number // 250 % 250}.{number % 250 + 1}'
