"""Provide the platform's clients with fake servers."""

from __future__ import annotations

import pytest
from platform_fakes import FakeExecutorServer
from platform_fakes import FakeStoreServer

from savoryrudder.platform.executor import ExecutorClient
from savoryrudder.platform.store import PlatformStore


@pytest.fixture
def store_server() -> FakeStoreServer:
    """Return an empty store."""
    return FakeStoreServer()


@pytest.fixture
def store(
    store_server: FakeStoreServer,
    monkeypatch: pytest.MonkeyPatch,
) -> PlatformStore:
    """Return a client of the fake store."""
    client = PlatformStore('store')
    monkeypatch.setattr(client, '_client', store_server)
    return client


@pytest.fixture
def executor_server() -> FakeExecutorServer:
    """Return an executor that does not respond."""
    return FakeExecutorServer()


@pytest.fixture
def executor(
    executor_server: FakeExecutorServer,
    monkeypatch: pytest.MonkeyPatch,
) -> ExecutorClient:
    """Return a client of the fake executor."""
    client = ExecutorClient()
    monkeypatch.setattr(client, '_client', executor_server)
    return client
