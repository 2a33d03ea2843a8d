"""Stop an entry without cutting off a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.entry import answers
from savoryrudder.entry import reasons
from savoryrudder.entry.state import PendingCall
from savoryrudder.store import interface
from savoryrudder.utils.effects import Exit

if TYPE_CHECKING:
    from savoryrudder.entry.events import DrainRequested
    from savoryrudder.entry.state import EntryState
    from savoryrudder.entry.turn import Turn


def is_ready(state: EntryState) -> bool:
    """Tell whether the balancer should send callers here."""
    if state.drain_started is not None:
        return False
    # Without the partition map, requests could only wait in vain.
    return state.policy is not None and bool(state.owners)


def handle_drain(turn: Turn, event: DrainRequested) -> None:
    """Begin a planned stop: readiness fails from now on."""
    state = turn.state
    if state.drain_started is not None:
        return
    state.drain_started = event.now
    state.drain_deadline = event.now + event.timeout_s
    # Registered anew with its intent, so that no peer hands it a partition.
    state.store.registered = False
    state.store.register_at = event.now
    turn.log_change('draining')


def proceed(turn: Turn) -> None:
    """Leave once all partitions are handed over and callers answered."""
    state = turn.state
    if state.drain_started is None or state.exited:
        return
    if turn.now >= state.drain_deadline:
        _answer_rest(turn)
        _leave(turn)
        return
    if turn.now < state.drain_started + state.identity.balancer_delay_s:
        return
    busy = state.waiting or state.forwards or state.parked
    if busy or any(
        submission.answer is None for submission in state.submissions.values()
    ):
        return
    if state.owned and _has_successor(turn):
        return
    _leave(turn)


def _has_successor(turn: Turn) -> bool:
    state = turn.state
    return any(
        peer.session
        for name, peer in state.peers.items()
        if name in state.live and not state.live[name]['draining']
    )


def _answer_rest(turn: Turn) -> None:
    state = turn.state
    rest = [
        *state.waiting,
        *state.parked,
        *(request.waiter for request in state.forwards.values()),
    ]
    for waiter in rest:
        answers.reply(
            turn,
            waiter,
            answers.refusal(
                reasons.STOPPING,
                'this entry had to stop; submit the job again with its key',
                reasons.UNKNOWN,
                answers.MIN_RETRY_AFTER_MS,
            ),
        )


def _leave(turn: Turn) -> None:
    state = turn.state
    state.exited = True
    turn.log_change('stopped')
    if state.store.lease:
        turn.call_store(
            interface.RevokeLease(state.store.lease),
            PendingCall('revoke', None),
        )
    turn.emit(Exit())
