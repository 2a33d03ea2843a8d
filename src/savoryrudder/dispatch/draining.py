"""Stop an entry gracefully: every open request is answered first."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import delegation
from savoryrudder.dispatch import jobs
from savoryrudder.utils.effects import Exit

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import DrainRequested
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn

# Time reserved before the exit for the last answers to reach their callers.
_ANSWER_DELIVERY_S: Final = 0.4
_RETRY_ELSEWHERE_S: Final = 0.2


def begin(state: DispatchState, turn: Turn, event: DrainRequested) -> None:
    """Start draining.

    The entry reports not ready, but serves requests until the load balancer
    has stopped sending them and all callers have their answers.
    """
    if state.draining:
        return
    turn.log('draining', jobs=len(state.jobs), timeout_s=event.timeout_s)
    state.draining = True
    state.exit_at = turn.now + event.timeout_s
    state.new_connections_until = turn.now + state.timing.balancer_delay_s


def advance_drain(state: DispatchState, turn: Turn) -> None:
    """Answer the remaining requests before the timeout, and exit when idle."""
    if not state.draining or state.exited:
        return
    if turn.now >= state.exit_at - _ANSWER_DELIVERY_S:
        _answer_open_requests(state, turn)
    if state.open_requests or state.contested_jobs:
        # The last answer, too, needs time to reach its caller.
        state.idle_from = turn.now + _ANSWER_DELIVERY_S
    is_idle = turn.now >= max(state.idle_from, state.new_connections_until)
    if is_idle or turn.now >= state.exit_at:
        turn.log('drained', jobs=len(state.jobs))
        state.exited = True
        turn.effects.append(Exit())


def _answer_open_requests(state: DispatchState, turn: Turn) -> None:
    refusal = answers.Answer(
        answers.UNAVAILABLE,
        'entry is stopping',
        _RETRY_ELSEWHERE_S,
    )
    interruption = answers.Answer(answers.INTERRUPTED, 'entry is stopping')
    for job in tuple(state.jobs.values()):
        if not job.ended:
            final_answer = interruption if job.may_have_run else refusal
            jobs.answer(state, turn, job, final_answer)
    delegation.answer_all(state, turn, interruption)
    for contested_job in state.contested_jobs.values():
        for submission in contested_job.submissions:
            turn.reply(submission.request_id, interruption)
    for job_id in state.contested_jobs:
        state.record_release(job_id)
    state.contested_jobs.clear()
