"""Follow the executor from one instance to the next.

An executor may restart under its former name. Nothing of the former instance
runs then, but calls to it may still arrive, and the new one has seen no fencing
token. So the agent raises its token, and what the list of runs in the answer to
a call with the raised token does not show has ended and cannot start any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.worker.state import Health
from savoryrudder.worker.state import Lease

if TYPE_CHECKING:
    from savoryrudder.utils.turn import Turn
    from savoryrudder.worker.events import RenewalAnswered
    from savoryrudder.worker.state import WorkerState


def begin(
    state: WorkerState,
    turn: Turn,
    started_ms: int,
    clock_ms: int,
) -> None:
    """Begin with a new instance; its list of runs settles those tracked."""
    state.fence += 1
    state.lease = Lease(
        started_ms,
        first_fence=state.fence,
        expires_at=state.lease.expires_at,
    )
    state.lease.record_clock(turn.now, clock_ms)
    state.health = Health()
    state.stray_runs.clear()
    executor = state.executor
    if executor is not None:
        turn.log(
            'executor-seen',
            executor=executor.name,
            address=executor.address,
            born_ms=started_ms,
        )


def begin_if_newer(
    state: WorkerState,
    turn: Turn,
    answer: RenewalAnswered,
) -> bool:
    """Begin with the instance that answered if it is a newer one."""
    known_ms = state.lease.started_ms
    if not known_ms or answer.started_ms <= known_ms:
        return False
    begin(state, turn, answer.started_ms, answer.clock_ms)
    return True


def is_outdated(state: WorkerState, answer: RenewalAnswered) -> bool:
    """Return whether a former instance answered."""
    return 0 < answer.started_ms < state.lease.started_ms
