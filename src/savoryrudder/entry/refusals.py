"""Store refusals and repeat them to copies of the same request."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import answers
from savoryrudder.entry import reasons
from savoryrudder.entry.state import PastRefusal
from savoryrudder.protocol.messages import Forward
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.identifiers import submission_id
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.entry.state import ParkedRequest
    from savoryrudder.entry.turn import Turn
    from savoryrudder.protocol.messages import Answer

# Longer than a lease plus the collection of records from agents, so that a
# request which arrives right after the loss of an entry is served by the new
# owner.
PARK_S: Final = 12
# The longest time that a frame can spend on a link before the link is closed.
TRANSIT_S: Final = 3
# A copy received while a refusal was repeated arrives within the time that it
# may be parked and in transit.
REFUSAL_RETENTION_S: Final = PARK_S + TRANSIT_S
# A refusal is repeated for at least this long, so that copies that were in
# transit when it was given (up to `TRANSIT_S`) do not run afterwards.
REFUSAL_REPEAT_MS: Final = 4000


def store_refusal(
    turn: Turn,
    request: ParkedRequest,
    identifier: bytes,
    answer: Answer,
) -> Answer:
    """Store a refusal; return it with the retry-after that applies."""
    retry_ms = max(answer.retry_after_ms, REFUSAL_REPEAT_MS)
    if answer.retry_after_ms:
        answer = answer._replace(retry_after_ms=retry_ms)
    repeat_until = turn.now + retry_ms / MS_PER_S
    job_key = (request.client, request.key)
    _store_refusal(
        turn, identifier, PastRefusal(repeat_until, *job_key, answer)
    )
    return answer


def repeat_refusal(
    turn: Turn,
    request: ParkedRequest,
    refusal: PastRefusal,
) -> None:
    """Repeat a refusal with the remaining retry-after."""
    turn.count('refusals_repeated')
    answer = refusal.answer
    if answer.retry_after_ms:
        remaining_ms = max(0, int((refusal.repeat_until - turn.now) * MS_PER_S))
        answer = answer._replace(retry_after_ms=remaining_ms + 1)
    answers.reply(turn, request.waiter, answer)


def handle_refusal(turn: Turn, message: Forward) -> None:
    """Store a refusal given by the former owner of a partition."""
    identifier = submission_id(message.client, message.key)
    if identifier in turn.state.submissions:
        return
    repeat_until = turn.now + message.wait_ms / MS_PER_S
    answer = answers.refusal(
        reasons.OVERLOADED,
        'the entry formerly in charge refused the job',
        retry_after_ms=message.wait_ms,
    )
    job_key = (message.client, message.key)
    _store_refusal(
        turn, identifier, PastRefusal(repeat_until, *job_key, answer)
    )


def send_refusals(turn: Turn, new_owners: dict[int, str]) -> None:
    """Send the refusals given here to the new owners of the partitions."""
    if not new_owners:
        return
    for identifier, refusal in turn.state.refusals.items():
        remaining_ms = int((refusal.repeat_until - turn.now) * MS_PER_S)
        owner = turn.state.peers.get(
            new_owners.get(partition_of(identifier), '')
        )
        if remaining_ms <= 0 or owner is None or not owner.session:
            continue
        job_key = (refusal.client, refusal.key)
        turn.send(
            owner.name, Forward(0, 'refused', *job_key, None, remaining_ms, 0)
        )


def expire_refusals(turn: Turn) -> None:
    """Drop refusals of which no delayed copy can arrive any more."""
    refusals = turn.state.refusals
    expiry = turn.state.refusal_expiry
    while expiry and expiry[0][0] <= turn.now:
        _, identifier = heapq.heappop(expiry)
        refusal = refusals.get(identifier)
        if refusal and refusal.repeat_until + REFUSAL_RETENTION_S <= turn.now:
            refusals.pop(identifier)


def _store_refusal(turn: Turn, identifier: bytes, refusal: PastRefusal) -> None:
    turn.state.refusals[identifier] = refusal
    heapq.heappush(
        turn.state.refusal_expiry,
        (refusal.repeat_until + REFUSAL_RETENTION_S, identifier),
    )
