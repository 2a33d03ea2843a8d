"""Remember in the store which executor stands beside an agent.

An agent keeps nothing, and an executor tells of itself with its next heartbeat
only. An agent that starts again reads the record and probes the executor at
once, so that its capacity is usable sooner. The record is no proof: the
instance counts once it has answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio
import msgspec

from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.membership import LeasedKey
from savoryrudder.daemon.membership import LeaseTiming
from savoryrudder.jobs.model import Resources
from savoryrudder.store import interface
from savoryrudder.utils.addresses import parse_dial_address
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode
from savoryrudder.worker import events

if TYPE_CHECKING:
    from savoryrudder.daemon.worker import Worker

EXECUTORS_PREFIX: Final = 'savoryrudder/executors/'

# Interval at which a change of the executor is looked for.
_CHECK_S: Final = 2
# The record of a VM that is gone for good expires. Renewals are rare, as each
# agent makes them.
_TIMING: Final = LeaseTiming(lease_s=300, renewal_s=100, retry_s=5)


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Natural
    memory: Natural
    gpu: Natural


class _Record(msgspec.Struct, frozen=True):
    executor: str
    started_ms: Natural
    service: str
    address: str
    labels: tuple[str, ...]
    capacity: _Capacity


_decoder: Final = msgspec.json.Decoder(_Record)


class ExecutorRecord:
    """Keep the record of one agent, and recall its executor from it."""

    def __init__(
        self,
        store: interface.KeyValueStore,
        worker: Worker,
    ) -> None:
        """Prepare to read and write the record."""
        self._store = store
        self._worker = worker
        self._key = f'{EXECUTORS_PREFIX}{worker.state.identity.agent}'

    async def run(self) -> None:
        """Recall the executor, then record each change until cancelled."""
        await self._recall()
        while True:
            record = self._current_record()
            if record is None:
                await anyio.sleep(_CHECK_S)
                continue
            await self._keep(record)

    async def _recall(self) -> None:
        outcome = await self._store.call(interface.ReadKey(self._key))
        if not isinstance(outcome, interface.KeyValue) or not outcome.value:
            return
        decoded = decode(_decoder, outcome.value)
        reason = decoded.error if decoded.is_error() else _fault(decoded.ok)
        if reason:
            self._worker.counters.count('refused_executor_records')
            log_event(
                'executor-record-unreadable',
                (('key', self._key), ('reason', reason)),
            )
            return
        now = anyio.current_time()
        heartbeat = _as_heartbeat(now, decoded.ok)
        self._worker.handle(events.ExecutorRecalled(now, heartbeat))

    async def _keep(self, record: _Record) -> None:
        content = msgspec.json.encode(record).decode()
        key = LeasedKey(self._store, self._key, content, _TIMING)
        async with anyio.create_task_group() as group:
            group.start_soon(key.run)
            while self._current_record() == record:
                await anyio.sleep(_CHECK_S)
            group.cancel_scope.cancel()
        await key.withdraw()

    def _current_record(self) -> _Record | None:
        state = self._worker.state
        heartbeat = state.heartbeat
        if heartbeat is None or not heartbeat.started_ms:
            return None
        if heartbeat.draining or state.signed_off_at is not None:
            # An executor that leaves gets no tasks after a restart either.
            return None
        if heartbeat.started_ms != state.lease.started_ms:
            return None
        return _Record(
            heartbeat.executor,
            heartbeat.started_ms,
            heartbeat.service,
            heartbeat.address,
            heartbeat.labels,
            _Capacity(*heartbeat.capacity),
        )


def _fault(record: _Record) -> str:
    try:
        parse_dial_address(record.address)
    except ValueError as error:
        return f'address: {error}'
    return '' if record.executor else 'executor: must not be empty'


def _as_heartbeat(now: float, record: _Record) -> events.ExecutorHeartbeat:
    # The sequence number and the clock are below those of any heartbeat.
    return events.ExecutorHeartbeat(
        now,
        record.executor,
        record.started_ms,
        0,
        record.service,
        record.address,
        record.labels,
        Resources(
            record.capacity.cpu,
            record.capacity.memory,
            record.capacity.gpu,
        ),
        draining=False,
        clock_ms=0,
    )
