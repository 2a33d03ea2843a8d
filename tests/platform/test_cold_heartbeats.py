"""Test that an agent hears whether its executor is slow after its start."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from savoryrudder.daemon.metrics import Counters
from savoryrudder.platform.heartbeats import HeartbeatApp
from savoryrudder.worker import events


class RecordingWorker:
    """Keep the events that an application hands to an agent."""

    def __init__(self) -> None:
        """Start without events."""
        self.counters = Counters()
        self.handled: list[Any] = []

    def handle(self, event: Any) -> None:
        """Keep an event."""
        self.handled.append(event)


class Exchange:
    """Exchange one request and its response with an application."""

    def __init__(self, body: dict[str, Any]) -> None:
        """Send a body."""
        self._content = msgspec.json.encode(body)

    async def receive(self) -> Any:
        """Return the request."""
        return {'type': 'http.request', 'body': self._content}

    async def send(self, message: Any) -> None:
        """Drop a part of the response."""


@pytest.mark.parametrize(('remaining_ms', 'is_cold'), [(0, False), (1, True)])
def test_a_heartbeat_tells_whether_the_executor_is_cold(
    remaining_ms: int,
    is_cold: bool,
) -> None:
    """Guards against a field that is decoded and not passed on."""
    exchange = Exchange(
        {
            'service': 's',
            'address': '127.0.0.1:80',
            'zone': 'z',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': remaining_ms,
            'seq': 1,
            'clock_ms': 1,
            'capacity': {'cpu': 1, 'mem_mb': 1, 'gpu': 0},
            'labels': [],
        },
    )
    worker: Any = RecordingWorker()
    scope = {'type': 'http', 'method': 'PUT', 'path': '/api/instances/i-1'}
    app = HeartbeatApp(worker)
    anyio.run(app, scope, exchange.receive, exchange.send, backend='trio')
    heartbeats = [
        event
        for event in worker.handled
        if isinstance(event, events.ExecutorHeartbeat)
    ]
    assert [heartbeat.cold for heartbeat in heartbeats] == [is_cold]
