"""Hold back old jobs after an entry was cut off or did not run for a while.

Agents stop the runs of an entry that they lose, and its callers go to other
entries, which run the jobs once these runs must have ended. When such an entry
is linked again, it starts nothing of the jobs from before until the other
entries have told which of them they have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.turn import Turn


def record_lost_peer(state: DispatchState, now: float, entry: str) -> None:
    """Record that the link to another entry was lost."""
    state.lost_peers[entry] = now


def record_claims_of(state: DispatchState, entry: str) -> None:
    """Record that another entry has told which jobs it has."""
    state.lost_peers.pop(entry, None)


def begin_if_isolated(state: DispatchState, turn: Turn) -> None:
    """Record the time at which the last link was lost."""
    if state.agents or state.peers or not state.lost_peers:
        return
    state.isolated_at = turn.now
    turn.log('isolated', jobs=len(state.jobs), peers=len(state.lost_peers))


def forget_old_losses(state: DispatchState, now: float) -> None:
    """Forget entries that have been away for long: they will not be back."""
    cutoff = now - state.timing.settle_s
    for entry, lost_at in tuple(state.lost_peers.items()):
        if max(lost_at, state.isolated_at) < cutoff:
            state.lost_peers.pop(entry)


def is_held_back(state: DispatchState, job: Job, now: float) -> bool:
    """Return whether another entry may have the job by now."""
    if not state.lost_peers or job.arrived_at > state.isolated_at:
        return False
    return now < state.isolated_at + state.timing.settle_s
