"""Test the record of the executor that stands beside an agent."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import anyio
import msgspec
import pytest
from trio.testing import MockClock

from savoryrudder.daemon.executor_record import EXECUTORS_PREFIX
from savoryrudder.daemon.executor_record import ExecutorRecord
from savoryrudder.daemon.metrics import Counters
from savoryrudder.jobs.model import Resources
from savoryrudder.store import interface
from savoryrudder.worker import events
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

KEY = f'{EXECUTORS_PREFIX}a1'
# Longer than the interval at which changes are looked for.
SETTLE_S = 10
DAY_S = 86_400


class MemoryStore:
    """Hold keys and their leases; an outage refuses every call."""

    def __init__(self) -> None:
        """Start empty."""
        self.keys: dict[str, tuple[int, str, str]] = {}
        self.is_down = False
        self.calls = 0
        self._revision = 0

    async def call(
        self,
        operation: interface.StoreOperation,
    ) -> interface.StoreOutcome:
        """Execute an operation."""
        self.calls += 1
        if self.is_down:
            return interface.StoreUnavailable('down')
        self._revision += 1
        match operation:
            case interface.ReadKey(key):
                return self._read(key)
            case interface.GrantLease(ttl_s):
                return interface.LeaseHeld(f'lease-{self._revision}', ttl_s)
            case interface.CompareAndSwap():
                return self._swap(operation)
            case interface.RevokeLease(lease):
                self._revoke(lease)
        return interface.LeaseHeld('', 0)

    def put(self, value: str) -> None:
        """Write the record as another process would."""
        self._revision += 1
        self.keys[KEY] = (self._revision, value, 'other')

    def _read(self, key: str) -> interface.KeyValue:
        version, value, _ = self.keys.get(key, (0, None, ''))
        return interface.KeyValue(key, version, value)

    def _swap(
        self,
        operation: interface.CompareAndSwap,
    ) -> interface.StoreOutcome:
        current = self._read(operation.key)
        if current.version != operation.expected_version:
            return interface.SwapConflict(current)
        assert operation.value is not None
        entry = (self._revision, operation.value, operation.lease)
        self.keys[operation.key] = entry
        return interface.Swapped(self._revision)

    def _revoke(self, lease: str) -> None:
        for key, (_, _, held_by) in tuple(self.keys.items()):
            if held_by == lease:
                self.keys.pop(key)


class RecordingWorker:
    """Hold the state of an agent and the events that reach it."""

    def __init__(self) -> None:
        """Start without an executor."""
        identity = WorkerIdentity('a1', 'a1#1', 'zone')
        self.state = WorkerState(identity, WorkerTiming(1, 0.05), fence=1)
        self.counters = Counters()
        self.events: list[Any] = []

    def handle(self, event: Any) -> None:
        """Keep an event."""
        self.events.append(event)

    def meet(self, **changes: Any) -> None:
        """Let an executor be known, and have answered a call."""
        heartbeat = _heartbeat()._replace(**changes)
        self.state.heartbeat = heartbeat
        self.state.lease.started_ms = heartbeat.started_ms


def _heartbeat() -> events.ExecutorHeartbeat:
    return events.ExecutorHeartbeat(
        0,
        'x1',
        5,
        3,
        'pane',
        '10.0.0.9:8080',
        ('a', 'r1'),
        Resources(8000, 4096, 1),
        draining=False,
        clock_ms=70,
    )


def _play(
    steps: Callable[[MemoryStore, RecordingWorker], Awaitable[None]],
    store: MemoryStore | None = None,
) -> tuple[MemoryStore, RecordingWorker]:
    played_store = store or MemoryStore()
    worker = RecordingWorker()

    anyio.run(
        partial(_run_beside, steps, played_store, worker),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
    return played_store, worker


async def _run_beside(
    steps: Callable[[MemoryStore, RecordingWorker], Awaitable[None]],
    store: MemoryStore,
    worker: Any,
) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(ExecutorRecord(store, worker).run)
        await steps(store, worker)
        group.cancel_scope.cancel()


async def _settle(store: MemoryStore, worker: RecordingWorker) -> None:
    await anyio.sleep(SETTLE_S)


async def _meet(store: MemoryStore, worker: RecordingWorker) -> None:
    worker.meet()
    await anyio.sleep(SETTLE_S)


async def _leave(
    change: dict[str, Any], store: MemoryStore, worker: RecordingWorker
) -> None:
    await _meet(store, worker)
    worker.meet(**change)
    await _settle(store, worker)


async def _sign_off(store: MemoryStore, worker: RecordingWorker) -> None:
    await _meet(store, worker)
    worker.state.signed_off_at = anyio.current_time()
    await _settle(store, worker)


async def _replace(store: MemoryStore, worker: RecordingWorker) -> None:
    await _meet(store, worker)
    worker.meet(executor='x2', started_ms=9)
    await _settle(store, worker)


async def _outlast(store: MemoryStore, worker: RecordingWorker) -> None:
    store.is_down = True
    worker.meet()
    await anyio.sleep(60)


async def _rest(store: MemoryStore, worker: RecordingWorker) -> None:
    worker.meet()
    await anyio.sleep(DAY_S)


def test_a_restarted_agent_recalls_the_executor_of_before() -> None:
    """Guard against capacity that is idle until the executor's heartbeat."""
    store, _ = _play(_meet)
    _, restarted = _play(_settle, store)
    recalled = restarted.events[0].heartbeat
    expected = _heartbeat()._replace(now=recalled.now, sequence=0, clock_ms=0)
    assert recalled == expected


@pytest.mark.parametrize('change', [{'draining': True}, {'started_ms': 0}])
def test_an_executor_that_leaves_is_not_recalled(
    change: dict[str, Any],
) -> None:
    """Guard against tasks for an executor that had said it would leave."""
    store, _ = _play(partial(_leave, change))
    assert not store.keys
    _, restarted = _play(_settle, store)
    assert not restarted.events


def test_a_sign_off_removes_the_record() -> None:
    """Guard against tasks for an executor that had signed off."""
    store, _ = _play(_sign_off)
    assert not store.keys


def test_another_instance_takes_the_place_of_the_recorded_one() -> None:
    """Guard against a record of an instance that has ended."""
    store, _ = _play(_replace)
    assert msgspec.json.decode(store.keys[KEY][1])['executor'] == 'x2'


@pytest.mark.parametrize(
    'value',
    [
        'text',
        '[' * 100_000,
        '{}',
        '{"executor":"x","started_ms":1,"service":"s","address":"host",'
        '"labels":[],"capacity":{"cpu":1,"memory":1,"gpu":0}}',
        '{"executor":"x","started_ms":1,"service":"s","address":"10.0.0.1:80",'
        '"labels":[],"capacity":{"cpu":-1,"memory":1,"gpu":0}}',
    ],
)
def test_an_odd_record_is_refused(value: str) -> None:
    """Guard against an agent that ends by what another writer left."""
    store = MemoryStore()
    store.put(value)
    _, worker = _play(_meet, store)
    assert not worker.events
    assert 'x1' in store.keys[KEY][1]


def test_an_outage_of_the_store_costs_few_calls() -> None:
    """Guard against agents that all call a store that is down."""
    store, _ = _play(_outlast)
    assert store.calls <= 15


def test_a_day_without_changes_costs_few_calls() -> None:
    """Guard against calls whose number grows with the fleet and the time."""
    store, _ = _play(_rest)
    assert store.calls <= DAY_S / 100 + 10
