"""Define the effects of the agent reducer."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol.messages import TaskKey
from savoryrudder.utils import effects


class CallUpstream(NamedTuple):
    """Call the upstream with one task; `deadline_ms` is the remaining time."""

    task: TaskKey
    operation: str
    payload: bytes
    deadline_ms: int
    trace: str


class StopUpstreamCall(NamedTuple):
    """Cancel the running upstream call of an idempotent task."""

    task: TaskKey


AgentEffect: TypeAlias = (
    effects.Send
    | effects.CloseLink
    | effects.Count
    | effects.Observe
    | effects.Log
    | effects.Exit
    | CallUpstream
    | StopUpstreamCall
)
