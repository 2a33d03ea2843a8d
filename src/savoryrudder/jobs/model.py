"""Define the model of jobs, their steps, and the configuration of queues."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from types import MappingProxyType
from typing import Final
from typing import NamedTuple


class Resources(NamedTuple):
    """Hold an amount of the resources that executors have and tasks need.

    `cpu` is in millicores, `memory` in MB, `gpu` in devices.
    """

    cpu: int
    memory: int
    gpu: int

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, whose parts may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )

    def covers(self, other: Resources) -> bool:
        """Return whether the other amount fits into this one."""
        return (
            other.cpu <= self.cpu
            and other.memory <= self.memory
            and other.gpu <= self.gpu
        )


NO_RESOURCES: Final = Resources(0, 0, 0)


class Step(NamedTuple):
    """Describe a step of a job: a number of identical `tasks`.

    `estimate_ms` is the caller's rough estimate of the duration of one task;
    `after` holds the indexes of the steps that must be complete first. When
    unset, `required_label` and `data_rack` are empty and `max_per_executor`
    is 0.
    """

    tasks: int
    demand: Resources
    estimate_ms: int
    after: tuple[int, ...]
    required_label: str
    data_rack: str
    max_per_executor: int


class JobRequest(NamedTuple):
    """Hold a job submitted by a caller; `spec` is passed on uninterpreted."""

    job_id: str
    spec: str
    steps: tuple[Step, ...]


class Queue(NamedTuple):
    """Hold the configuration of one queue.

    `priority` 0 is the most urgent. A job fails after `attempts` failures of
    one of its tasks. Its latency objective is `stretch` times the estimated
    duration of its critical path, plus `target_ms`.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: int


@dataclass(frozen=True)
class Configuration:
    """Hold the operators' configuration; version -1 stands for none."""

    version: int
    queues: Mapping[str, Queue]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix, or None."""
        queues = self._queues_by_host.get(host)
        if queues is None:
            return None
        for length in queues.prefix_lengths:
            queue = queues.by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    @cached_property
    def _queues_by_host(self) -> Mapping[str, _HostQueues]:
        by_host: dict[str, dict[str, Queue]] = {}
        for queue in self.queues.values():
            by_host.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
        return {
            host: _HostQueues(
                by_prefix,
                sorted({len(prefix) for prefix in by_prefix}, reverse=True),
            )
            for host, by_prefix in by_host.items()
        }


class _HostQueues(NamedTuple):
    """Hold the queues of a host, and the lengths of their prefixes."""

    by_prefix: Mapping[str, Queue]
    # The longest comes first.
    prefix_lengths: Sequence[int]


NO_CONFIGURATION: Final = Configuration(-1, MappingProxyType({}))
