"""Tell when an entry has something to do without another event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.utils.ticks import IDLE_TICK_S
from savoryrudder.utils.ticks import TICK_S
from savoryrudder.utils.ticks import align_tick

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState


def next_tick_at(state: DispatchState, now: float) -> float:
    """Return the time of the next tick, unless an event changes the state."""
    if _needs_each_tick(state):
        tick_at = align_tick(now + TICK_S, now)
        if not state.start_deadlines:
            return tick_at
        # A job that cannot start in time is refused then, not a tick later.
        return min(tick_at, max(state.start_deadlines[0][0], now))
    due_at = now + IDLE_TICK_S
    due_at = min(due_at, *(changes.due_at for changes in state.claim_changes))
    if state.unacknowledged_ends:
        due_at = min(
            due_at,
            state.acknowledged_at + state.timing.acknowledgement_s,
        )
    return align_tick(due_at, now)


def _needs_each_tick(state: DispatchState) -> bool:
    waiting = (
        state.job_queue,
        state.unsettled_agents,
        state.contested_jobs,
        state.orphaned_jobs,
        state.relinquish_requests,
    )
    return state.draining or any(waiting)
