"""Define the effects of an agent beyond those of every role."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Exit
from savoryrudder.utils.effects import Observe
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import StateChanged


class Executor(NamedTuple):
    """Address one life of the executor."""

    executor: str
    address: str


class CallStart(NamedTuple):
    """Start a run; the lease ends at `lease_until_ms` of its clock."""

    executor: Executor
    task: str
    run: int
    spec: str
    lease_until_ms: int
    fence: int


class CallStop(NamedTuple):
    """Stop a run, or keep it from starting."""

    executor: Executor
    task: str
    run: int
    fence: int


class CallRenew(NamedTuple):
    """Renew the lease and list runs and ends.

    `lease_until_ms` of 0 renews nothing. The call waits up to `wait_ms` for
    an end; ends up to `noted_upto` may be forgotten by the executor.
    """

    executor: Executor
    lease_until_ms: int
    fence: int
    noted_upto: int
    wait_ms: int


WorkerEffect: TypeAlias = (
    Send
    | CloseLink
    | Count
    | Observe
    | StateChanged
    | Exit
    | CallStart
    | CallStop
    | CallRenew
)
