"""Define the schema of the configuration's TOML tables."""

from __future__ import annotations

from typing import Annotated
from typing import Any

from pydantic import Field

from savoryrudder.policy.findings import StrictModel

DAY_MS = 86_400_000
DAY_S = 86_400

Rate = Annotated[float, Field(gt=0, le=1_000_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Milliseconds = Annotated[int, Field(ge=1, le=DAY_MS)]
Lifetime = Annotated[int, Field(ge=10, le=DAY_S)]
Table = dict[str, Any]


class DocumentTable(StrictModel):
    """Hold the four top-level tables of the document."""

    services: Table = {}
    clients: Table = {}
    urgency: Table = {}
    limits: Any = {}


class OperationTable(StrictModel):
    """Describe an operation; both keys are required."""

    idempotent: bool
    expected_ms: Milliseconds


class ServiceTable(StrictModel):
    """Describe a service; a task needs `slots` and `memory_mb`."""

    operations: dict[str, OperationTable] = Field(min_length=1)
    default_deadline_ms: Milliseconds = 5000
    slots: int = Field(default=1, ge=1, le=10_000)
    memory_mb: int = Field(default=0, ge=0, le=10_000_000)
    depends_on: list[str] = Field(default_factory=list)


class CeilingTable(StrictModel):
    """Bound the terms of a client; a term without a bound cannot grow."""

    rate: Rate | None = None
    burst: Count | None = None
    concurrent: Count | None = None
    highest_urgency: str | None = None
    lifetime_s: Lifetime | None = None


class ClientTable(StrictModel):
    """Describe the initial terms of a client and their ceiling."""

    rate: Rate
    burst: Count
    concurrent: Count
    highest_urgency: str = 'normal'
    lifetime_s: Lifetime = 600
    weight: float = Field(default=1.0, gt=0, le=1000)
    ceiling: CeilingTable = CeilingTable()


class BandTable(StrictModel):
    """Describe an urgency band."""

    share: float = Field(ge=0, le=1)


class LimitsTable(StrictModel):
    """Bound the size and the deadline of one job."""

    max_tasks: int = Field(default=170, ge=1, le=10_000)
    max_payload_bytes: int = Field(
        default=1_000_000,
        ge=1,
        le=256_000_000,
    )
    max_deadline_ms: Milliseconds = 600_000
