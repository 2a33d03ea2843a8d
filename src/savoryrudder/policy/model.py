"""Define the model of a valid configuration."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# From the most to the least urgent.
URGENCY_BANDS: Final = ('critical', 'urgent', 'normal', 'background')


class Operation(NamedTuple):
    """Describe one operation of a service."""

    name: str
    idempotent: bool
    expected_ms: int


class Service(NamedTuple):
    """Describe a service and what it depends on."""

    name: str
    operations: dict[str, Operation]
    default_deadline_ms: int
    slots: int
    memory_mb: int
    depends_on: tuple[str, ...]


class Terms(NamedTuple):
    """Hold standing terms: tasks per second, burst and concurrency in tasks."""

    rate: float
    burst: int
    concurrent: int
    highest_urgency: str
    lifetime_s: int


class Client(NamedTuple):
    """Describe a client: its initial terms, their ceiling and queue weight."""

    name: str
    terms: Terms
    ceiling: Terms
    weight: float


class Limits(NamedTuple):
    """Bound the size and the deadline of one job."""

    max_tasks: int
    max_payload_bytes: int
    max_deadline_ms: int


class Policy(NamedTuple):
    """Hold a valid configuration.

    `shares` maps each urgency band to its guaranteed fraction of the slots;
    the fractions add up to at most 1.
    """

    services: dict[str, Service]
    clients: dict[str, Client]
    shares: dict[str, float]
    limits: Limits
