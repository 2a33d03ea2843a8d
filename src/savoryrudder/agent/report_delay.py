"""Delay results of large jobs so that several of them share a frame."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from savoryrudder.agent.state import AgentState
    from savoryrudder.agent.turn import Turn

# Shorter than the prefetched tasks take to run, so that no slot goes idle.
MAX_REPORT_DELAY_S: Final = 0.25

_COMPLETE: Final = 'complete'


def delay_reports(state: AgentState, turn: Turn) -> bool:
    """Delay the reports of this turn, or add the delayed ones to them.

    Return whether credits have to be delayed as well, since granting them
    would need a frame too.
    """
    flush_now = state.draining or not state.agreed_prefetch
    if (
        flush_now
        or not _may_delay(state, turn)
        or (state.delayed_reports and turn.now >= state.delayed_until)
    ):
        delayed = [
            report
            for report in state.delayed_reports
            if report[0] in state.links
        ]
        turn.reports = delayed + turn.reports
        state.delayed_reports = []
        return False
    if turn.reports and not state.delayed_reports:
        state.delayed_until = turn.now + MAX_REPORT_DELAY_S
    state.delayed_reports += turn.reports
    turn.reports = []
    return bool(state.delayed_reports)


def _may_delay(state: AgentState, turn: Turn) -> bool:
    """Return whether a delay of this turn's reports delays no job.

    That is so if all of them are complete results and each of their jobs
    still has an unfinished task on this agent.
    """
    open_submissions = {key[0] for key in (*state.calls, *state.waiting)}
    return all(
        record.state == _COMPLETE and record.key[0] in open_submissions
        for _, record in turn.reports
    )
