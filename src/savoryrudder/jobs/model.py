"""Define jobs, their steps, and the configuration of queues."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final
from typing import NamedTuple


class Room(NamedTuple):
    """Hold an amount of what an executor has and tasks need.

    `cpu` is in thousandths of a core, `memory` in MB, `gpu` in devices.
    """

    cpu: int
    memory: int
    gpu: int

    def plus(self, other: Room) -> Room:
        """Return the sum."""
        return Room(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def minus(self, other: Room) -> Room:
        """Return the difference, which may be negative."""
        return Room(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )

    def holds(self, other: Room) -> bool:
        """Tell whether the other amount fits into this one."""
        return (
            other.cpu <= self.cpu
            and other.memory <= self.memory
            and other.gpu <= self.gpu
        )


NO_ROOM: Final = Room(0, 0, 0)


class Step(NamedTuple):
    """Describe `tasks` that are alike.

    `estimate_ms` is the caller's rough estimate of one task's duration;
    `after` lists earlier steps that must be complete first. `required_label`
    and `data_rack` are empty when unset, `max_per_executor` is 0.
    """

    tasks: int
    need: Room
    estimate_ms: int
    after: tuple[int, ...]
    required_label: str
    data_rack: str
    max_per_executor: int


class JobRequest(NamedTuple):
    """Hold a job as a caller submitted it; `spec` is opaque to us."""

    job: str
    spec: str
    steps: tuple[Step, ...]


class Queue(NamedTuple):
    """Configure one queue.

    `priority` 0 is the most urgent; a task fails for good after `attempts`
    failures. The latency objective of a job is `stretch` times its ideal
    duration plus `target_ms`.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: int


class Configuration(NamedTuple):
    """Hold the operators' configuration; version -1 precedes any."""

    version: int
    queues: Mapping[str, Queue]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path."""
        found: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


NO_CONFIGURATION: Final = Configuration(-1, MappingProxyType({}))
