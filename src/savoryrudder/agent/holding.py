"""Hold results back so that several of a large job share a frame."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from savoryrudder.agent.records import Record
    from savoryrudder.agent.state import AgentState
    from savoryrudder.agent.turn import Turn

# Shorter than the work of the prefetched tasks, so that no slot runs dry.
HOLD_S: Final = 0.25

_COMPLETE: Final = 'complete'


def hold_reports(state: AgentState, turn: Turn) -> bool:
    """Hold this turn's reports, or release those held before.

    Return whether credits have to wait, too: each would need a frame.
    """
    urgent = state.leaving or any(
        not _may_wait(state, entry, record) for entry, record in turn.reports
    )
    if urgent or (state.held and turn.now >= state.held_until):
        held = [report for report in state.held if report[0] in state.links]
        turn.reports = held + turn.reports
        state.held = []
        return False
    if turn.reports and not state.held:
        state.held_until = turn.now + HOLD_S
    state.held += turn.reports
    turn.reports = []
    return bool(state.held)


def _may_wait(state: AgentState, entry: str, record: Record) -> bool:
    """Tell whether the job waits for other tasks here in any case."""
    link = state.links.get(entry)
    if link is None or not link.prefetch or record.state != _COMPLETE:
        return False
    submission = record.key[0]
    return any(key[0] == submission for key in (*state.calls, *state.waiting))
