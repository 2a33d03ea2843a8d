"""Drain an entry: finish its requests and jobs, then leave the cluster."""

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
    """Return whether the load balancer should send requests here."""
    if state.drain_started is not None:
        return False
    # Without the partition map no request can be routed.
    return state.policy is not None and bool(state.owners)


def handle_drain(turn: Turn, event: DrainRequested) -> None:
    """Begin a graceful stop; the readiness check fails from now on."""
    state = turn.state
    if state.drain_started is not None:
        return
    state.drain_started = event.now
    state.drain_deadline = event.now + event.timeout_s
    # Register again as draining, so that no peer assigns it a partition.
    state.store.registered = False
    state.store.register_at = event.now
    turn.log_change('draining')


def advance_drain(turn: Turn) -> None:
    """Stop once all requests are answered and all partitions handed over.

    At the deadline, the remaining requests are refused. Partitions are kept if
    no other entry can own them.
    """
    state = turn.state
    if state.drain_started is None or state.exited:
        return
    if turn.now >= state.drain_deadline:
        _refuse_remaining(turn)
        _exit(turn)
        return
    if turn.now < state.drain_started + state.identity.balancer_delay_s:
        return
    has_requests = (
        state.waiting_requests
        or state.forwarded_requests
        or state.parked_requests
    )
    if has_requests or any(
        submission.answer is None for submission in state.submissions.values()
    ):
        return
    if state.owned and _has_successor(turn):
        return
    _exit(turn)


def _has_successor(turn: Turn) -> bool:
    state = turn.state
    return any(
        peer.session
        for name, peer in state.peers.items()
        if name in state.live_entries
        and not state.live_entries[name]['draining']
    )


def _refuse_remaining(turn: Turn) -> None:
    state = turn.state
    waiters = [
        *state.waiting_requests,
        *state.parked_requests,
        *(request.waiter for request in state.forwarded_requests.values()),
    ]
    for waiter in waiters:
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


def _exit(turn: Turn) -> None:
    state = turn.state
    state.exited = True
    turn.log_change('stopped')
    if state.store.lease:
        turn.call_store(
            interface.RevokeLease(state.store.lease),
            PendingCall('revoke', None),
        )
    turn.emit(Exit())
