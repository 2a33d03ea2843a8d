"""Keep records of tasks until entries can no longer need them."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING
from typing import Final

import msgspec

from savoryrudder.protocol.messages import TaskKey
from savoryrudder.protocol.messages import TaskRecord
from savoryrudder.utils.identifiers import digest_of
from savoryrudder.utils.identifiers import partition_of

if TYPE_CHECKING:
    from collections.abc import Iterable

WAITING: Final = 'waiting'
RUNNING: Final = 'running'
UNKNOWN: Final = 'unknown'
RELEASED: Final = 'released'
# A refused or withdrawn task, which must never start; not sent to entries.
UNSTARTED: Final = 'unstarted'
ENDED: Final = frozenset(('complete', 'failed', UNKNOWN, RELEASED))


class UpstreamCall(msgspec.Struct, gc=False):
    """Hold the parameters and state of a task's upstream call."""

    operation: str
    payload: bytes
    deadline: float
    idempotent: bool
    trace: str
    started_at: float = 0
    stopping: bool = False


# `gc=False`: an agent holds up to 100,000 records, which are never part of a
# reference cycle. Not tracking them keeps full garbage collections short.
class Record(msgspec.Struct, gc=False):
    """Record one task; `call` is set until its upstream call has ended."""

    key: TaskKey
    entry: str
    state: str
    call: UpstreamCall | None = None
    result: bytes = b''
    digest: bytes = b''
    reason: str = ''
    duration_ms: int = 0
    acknowledged: bool = False
    expires_at: float = inf

    def to_message(self, *, withheld: bool = False) -> TaskRecord:
        """Return the record as the message that is sent to entries.

        A withheld record is reported as running; its end is sent later.
        """
        submission, task = self.key
        if withheld:
            return TaskRecord(submission, task, RUNNING, b'', b'', '', 0)
        return TaskRecord(
            submission,
            task,
            self.state,
            self.result,
            self.digest,
            self.reason,
            self.duration_ms,
        )


def split_by_size(
    records: list[Record],
    limit: int,
) -> tuple[list[Record], deque[Record]]:
    """Split records into those whose results fit a limit, and the others.

    `limit` is in bytes. Unacknowledged results take precedence, then the
    latest ones, because callers resubmit soon or never.
    """
    if sum(len(record.result) for record in records) <= limit:
        return records, deque()
    records = sorted(records, key=_transfer_order)
    sizes = accumulate(len(record.result) for record in records)
    fitting_count = sum(1 for size in sizes if size <= limit)
    return records[:fitting_count], deque(records[fitting_count:])


def _transfer_order(record: Record) -> tuple[bool, bool, float]:
    return bool(record.result), record.acknowledged, -record.expires_at


class RecordTable:
    """Hold all records by partition and bound their age and size."""

    def __init__(self, retention_s: float, result_bytes_limit: int) -> None:
        self._retention_s = retention_s
        self._result_bytes_limit = result_bytes_limit
        self._partitions: dict[int, dict[TaskKey, Record]] = {}
        self._count = 0
        self._result_bytes = 0
        self._unacknowledged = OrderedDict[TaskKey, Record]()
        self._expiry_queue = deque[Record]()
        self._releasable = deque[Record]()

    def __len__(self) -> int:
        """Return the number of records, refused tasks included."""
        return self._count

    @property
    def result_bytes(self) -> int:
        """Return the total size of all results held, in bytes."""
        return self._result_bytes

    @property
    def undelivered(self) -> int:
        """Return the number of ended tasks that no entry has acknowledged."""
        return len(self._unacknowledged)

    def find(self, key: TaskKey) -> Record | None:
        """Return the record of a task."""
        records = self._partitions.get(partition_of(key[0]))
        return records.get(key) if records else None

    def select(self, partitions: Iterable[int]) -> list[Record]:
        """Return the records of accepted tasks in the given partitions."""
        return [
            record
            for partition in partitions
            for record in self._partitions.get(partition, {}).values()
            if record.state != UNSTARTED
        ]

    def add(self, record: Record) -> None:
        """Add the record of a task that has no record yet."""
        partition = partition_of(record.key[0])
        self._partitions.setdefault(partition, {})[record.key] = record
        self._count += 1

    def finish(
        self,
        record: Record,
        now: float,
        state: str,
        result: bytes,
        reason: str,
    ) -> None:
        """Record the end of a task that ran."""
        record.state = state
        record.result = result
        record.digest = digest_of(result)
        record.reason = reason
        record.expires_at = now + 2 * self._retention_s
        self._result_bytes += len(result)
        self._unacknowledged[record.key] = record
        self._release_results()

    def mark_unstarted(self, key: TaskKey, now: float, reason: str) -> None:
        """Record that a task has not started and must never start."""
        record = self.find(key)
        if record is None:
            record = Record(key, '', UNSTARTED)
            self.add(record)
        record.state = UNSTARTED
        record.reason = reason
        record.call = None
        self._schedule_expiry(record, now)

    def acknowledge(self, key: TaskKey, now: float) -> bool:
        """Record that the owner holds a result; return whether this is new."""
        record = self._unacknowledged.pop(key, None)
        if record is None:
            return False
        record.acknowledged = True
        self._schedule_expiry(record, now)
        if record.result:
            self._releasable.append(record)
            self._release_results()
        return True

    def expire(self, now: float) -> int:
        """Drop expired records; return how many were unacknowledged."""
        while self._expiry_queue and self._expiry_queue[0].expires_at <= now:
            record = self._expiry_queue.popleft()
            if record.call:
                # The upstream may still be working on the task.
                self._schedule_expiry(record, now)
            else:
                self._drop(record)
        return self._expire_unacknowledged(now)

    def _expire_unacknowledged(self, now: float) -> int:
        dropped = 0
        while self._unacknowledged:
            record = next(iter(self._unacknowledged.values()))
            if record.expires_at > now:
                break
            self._unacknowledged.pop(record.key)
            if record.call:
                self._schedule_expiry(record, now)
            else:
                self._drop(record)
            dropped += 1
        return dropped

    def _schedule_expiry(self, record: Record, now: float) -> None:
        record.expires_at = now + self._retention_s
        self._expiry_queue.append(record)

    def _drop(self, record: Record) -> None:
        self._partitions[partition_of(record.key[0])].pop(record.key)
        self._count -= 1
        self._result_bytes -= len(record.result)
        if self._releasable and self._releasable[0] is record:
            self._releasable.popleft()

    def _release_results(self) -> None:
        while (
            self._releasable and self._result_bytes > self._result_bytes_limit
        ):
            record = self._releasable.popleft()
            self._result_bytes -= len(record.result)
            record.result = b''
            record.state = RELEASED
