"""Take jobs that other entries hand over, and send them the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch.effects import Reply
from savoryrudder.dispatch.events import JobSubmitted
from savoryrudder.dispatch.peers import ForeignRequest
from savoryrudder.protocol import delegation
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from savoryrudder.dispatch.effects import DispatchEffect
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn


def take(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: delegation.DelegateJob,
) -> JobSubmitted:
    """Return the submission of a job that another entry hands over."""
    state.foreign_requests_created += 1
    # Requests of callers have positive numbers.
    request_id = -state.foreign_requests_created
    state.foreign_requests[request_id] = ForeignRequest(
        link,
        message.job.job_id,
        message.number,
    )
    peer_links.begin_work(state, turn, link)
    return JobSubmitted(
        turn.now,
        request_id,
        message.host,
        message.path,
        message.job,
        '',
        message.caller_timeout_s,
        cleared_by=frozenset((state.peers[link].incarnation,)),
    )


def pop_foreign_requests(
    state: DispatchState,
    link: str,
    job: str = '',
) -> list[int]:
    """Remove and return the requests of another entry, for one job or all."""
    numbers = [
        number
        for number, request in state.foreign_requests.items()
        if request.link == link and job in {'', request.job}
    ]
    for number in numbers:
        state.foreign_requests.pop(number)
    return numbers


def route_answers(state: DispatchState, turn: Turn) -> list[DispatchEffect]:
    """Return the effects with answers to other entries as messages."""
    if not state.foreign_requests:
        return turn.effects
    return [_route(state, effect) for effect in turn.effects]


def _route(state: DispatchState, effect: DispatchEffect) -> DispatchEffect:
    if not isinstance(effect, Reply):
        return effect
    request = state.foreign_requests.pop(effect.request_id, None)
    if request is None or not isinstance(effect.answer, answers.Answer):
        return effect
    return Send(
        request.link,
        delegation.DelegatedAnswer(
            request.job,
            *effect.answer,
            number=request.number,
        ),
    )
