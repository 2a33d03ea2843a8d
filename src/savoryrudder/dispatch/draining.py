"""Stop an entry without leaving a caller unanswered."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import jobs
from savoryrudder.utils.effects import Exit

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import DrainRequested
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn

# Left before the exit for the last answers to reach their callers.
_LAST_ANSWERS_S: Final = 0.4
_RETRY_ELSEWHERE_S: Final = 0.2


def begin(state: DispatchState, turn: Turn, event: DrainRequested) -> None:
    """Report not ready; serve on until the balancer and callers are gone."""
    if state.leaving:
        return
    turn.log('draining', jobs=len(state.jobs), timeout_s=event.timeout_s)
    state.leaving = True
    state.exit_at = turn.now + event.timeout_s
    state.balanced_until = turn.now + state.timing.balancer_s


def go_on(state: DispatchState, turn: Turn) -> None:
    """Answer the last callers when time runs out, and exit."""
    if not state.leaving or state.exited:
        return
    if turn.now >= state.exit_at - _LAST_ANSWERS_S:
        _answer_all(state, turn)
    if state.callers or state.contests:
        # The last answer takes a while to reach its caller, too.
        state.idle_from = turn.now + _LAST_ANSWERS_S
    is_idle = turn.now >= max(state.idle_from, state.balanced_until)
    if is_idle or turn.now >= state.exit_at:
        turn.log('drained', jobs=len(state.jobs))
        state.exited = True
        turn.effects.append(Exit())


def _answer_all(state: DispatchState, turn: Turn) -> None:
    refusal = answers.Answer(
        answers.UNAVAILABLE,
        'entry is stopping',
        _RETRY_ELSEWHERE_S,
    )
    interruption = answers.Answer(answers.INTERRUPTED, 'entry is stopping')
    for job in tuple(state.jobs.values()):
        if not job.ended:
            is_untouched = job.started_at is None
            found = refusal if is_untouched else interruption
            jobs.answer(state, turn, job, found)
    for contest in state.contests.values():
        for submission in contest.submissions:
            turn.reply(submission.request, interruption)
    state.contests.clear()
