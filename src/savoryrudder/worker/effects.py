"""Define the effects that only an agent has."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Exit
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Observe
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import SetCarriesWork


class ExecutorInstance(NamedTuple):
    """Identify one instance of the executor and its address."""

    name: str
    address: str


class ProbeInstance(NamedTuple):
    """Ask an instance that has only sent a heartbeat whether it is there."""

    executor: ExecutorInstance
    fence: int


class StartRun(NamedTuple):
    """Start a run under a lease.

    The lease expires when the executor's clock reaches `lease_until_ms`.
    """

    executor: ExecutorInstance
    task: str
    run: int
    spec: str
    lease_until_ms: int
    fence: int


class StopRun(NamedTuple):
    """Stop a run, or prevent a start that is still under way."""

    executor: ExecutorInstance
    task: str
    run: int
    fence: int


class RenewLease(NamedTuple):
    """Renew the lease, and request the running and the ended runs.

    A `lease_until_ms` of 0 leaves the lease as it is. The executor holds back
    its answer for up to `wait_ms` until a run ends, and may forget the ends
    numbered up to `acknowledged_upto`.
    """

    executor: ExecutorInstance
    lease_until_ms: int
    fence: int
    acknowledged_upto: int
    wait_ms: int


WorkerEffect: TypeAlias = (
    Send
    | CloseLink
    | SetCarriesWork
    | Count
    | Observe
    | Log
    | Exit
    | ProbeInstance
    | StartRun
    | StopRun
    | RenewLease
)
