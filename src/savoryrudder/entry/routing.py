"""Route requests to the owners of their partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from uuid import UUID

from savoryrudder.entry import answers
from savoryrudder.entry import reasons
from savoryrudder.entry import refusals
from savoryrudder.entry import submissions
from savoryrudder.entry.leases import may_act
from savoryrudder.entry.state import ParkedRequest
from savoryrudder.entry.state import Waiter
from savoryrudder.protocol.messages import Forward
from savoryrudder.protocol.messages import Job
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.identifiers import submission_id
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.entry import events
    from savoryrudder.entry.state import OwnedPartition
    from savoryrudder.entry.state import Submission
    from savoryrudder.entry.turn import Turn
    from savoryrudder.protocol.messages import Answer

# Agents answer a claim within a round trip. One that has not answered for this
# long is dead, hung or disconnected.
TAKEOVER_WAIT_S: Final = 5
CLOCK_SKEW_S: Final = 2
MAX_SUBMISSIONS: Final = 200_000
MAX_PAYLOAD_BYTES: Final = 256 * 1024 * 1024

_UUID7_VERSION: Final = 7
_UUID7_TIME_SHIFT: Final = 80


def handle_submit(turn: Turn, event: events.JobSubmitted) -> None:
    """Accept, refuse, forward or park a job."""
    route(
        turn,
        _local_request(
            turn, event.request_id, 'submit', event.job, event.wait_s
        ),
    )


def handle_fetch(turn: Turn, event: events.AnswerRequested) -> None:
    """Look up the answer to an earlier submission."""
    route(
        turn,
        _local_request(turn, event.request_id, 'fetch', event, event.wait_s),
    )


def handle_cancel(turn: Turn, event: events.JobCancelled) -> None:
    """Cancel a submission."""
    route(turn, _local_request(turn, event.request_id, 'cancel', event, 0))


def handle_caller_disconnected(
    turn: Turn, event: events.CallerDisconnected
) -> None:
    """Forget a caller that has disconnected; its job continues."""
    waiter = Waiter('', event.request_id)
    answers.stop_waiting(turn, waiter)
    turn.state.parked_requests.pop(waiter, None)


def handle_forward(turn: Turn, peer: str, message: Forward) -> None:
    """Serve a request that another entry has forwarded."""
    now = turn.now
    if message.kind == 'refused':
        refusals.handle_refusal(turn, message)
        return
    request = ParkedRequest(
        Waiter(peer, message.request),
        message.kind,
        message.client,
        message.key,
        message.job,
        now - message.age_ms / MS_PER_S - refusals.TRANSIT_S,
        now + message.wait_ms / MS_PER_S,
        now + TAKEOVER_WAIT_S + 1,
    )
    route(turn, request)


def handle_forward_answer(turn: Turn, request: int, answer: Answer) -> None:
    """Return the owner's answer to the caller, or route the request again."""
    forwarded = turn.state.forwarded_requests.pop(request, None)
    if forwarded is None:
        turn.count('late_answers')
        return
    if answer.reason == reasons.NOT_OWNER and forwarded.give_up_at > turn.now:
        _park(turn, forwarded)
        return
    answers.reply(turn, forwarded.waiter, answer)


def reroute_forwards(turn: Turn, peer: str) -> None:
    """Route requests again that were forwarded to a lost peer."""
    unanswered = [
        (number, request)
        for number, request in turn.state.forwarded_requests.items()
        if request.forwarded_to == peer
    ]
    for number, request in unanswered:
        turn.state.forwarded_requests.pop(number)
        request.give_up_at = max(request.give_up_at, turn.now + refusals.PARK_S)
        _park(turn, request)


def route(turn: Turn, request: ParkedRequest) -> None:
    """Serve a request here, forward it to its owner, or park it."""
    state = turn.state
    partition = partition_of(submission_id(request.client, request.key))
    owned = state.owned.get(partition)
    if owned is not None and not owned.stale:
        _serve(turn, request, owned)
        return
    owner = state.owners.get(partition)
    peer = state.peers.get(owner.owner) if owner else None
    may_forward = request.handed_over or not request.waiter.peer
    if peer is not None and peer.session and may_forward:
        forward(turn, request, peer.name)
    else:
        _park(turn, request)


def forward(turn: Turn, request: ParkedRequest, peer: str) -> None:
    """Forward a request to the owner of its partition."""
    state = turn.state
    number = state.next_request_id
    state.next_request_id += 1
    request.forwarded_to = peer
    state.forwarded_requests[number] = request
    turn.count('requests_forwarded')
    turn.send(
        peer,
        Forward(
            number,
            request.kind,
            request.client,
            request.key,
            request.job,
            max(0, int((request.wait_until - turn.now) * MS_PER_S)),
            int((turn.now - request.received) * MS_PER_S),
        ),
    )


def retry_parked(turn: Turn) -> None:
    """Route parked requests again; answer those that have timed out."""
    parked = turn.state.parked_requests
    turn.state.parked_requests = {}
    for request in parked.values():
        route(turn, request)


def _local_request(
    turn: Turn,
    number: int,
    kind: str,
    event: Job | events.AnswerRequested | events.JobCancelled,
    wait_s: float,
) -> ParkedRequest:
    return ParkedRequest(
        Waiter('', number),
        kind,
        event.client,
        event.key,
        event if isinstance(event, Job) else None,
        turn.now,
        turn.now + wait_s,
        turn.now + refusals.PARK_S,
    )


def _serve(
    turn: Turn,
    request: ParkedRequest,
    partition: OwnedPartition,
) -> None:
    identifier = submission_id(request.client, request.key)
    submission = turn.state.submissions.get(identifier)
    if submission is not None and submission.answer is None:
        _serve_existing(turn, request, submission)
        return
    # Another entry may own the partition by now and may have run the job, so
    # that even an answer given earlier could be wrong.
    if not may_act(turn.state, turn.now):
        _park(turn, request)
        return
    if submission is not None:
        _serve_existing(turn, request, submission)
        return
    refusal = turn.state.refusals.get(identifier)
    if refusal is not None and request.received < refusal.repeat_until:
        refusals.repeat_refusal(turn, request, refusal)
        return
    if _is_in_doubt(turn, request, partition):
        if turn.now < partition.gained_at + TAKEOVER_WAIT_S:
            _park(turn, request)
        else:
            _refuse(turn, request, identifier, _in_doubt_answer())
        return
    if _may_have_been_refused(turn, request, partition):
        _refuse(turn, request, identifier, _takeover_answer())
        return
    if not turn.state.agents and (
        turn.now < partition.gained_at + TAKEOVER_WAIT_S
    ):
        # An entry that has just joined owns partitions before agents connect.
        _park(turn, request)
        return
    _serve_new(turn, request, identifier)


def _may_have_been_refused(
    turn: Turn,
    request: ParkedRequest,
    partition: OwnedPartition,
) -> bool:
    """Tell whether a lost owner may have refused a copy of the job.

    Refusals are lost with their entry. The former owner acted for the last
    time before this entry took over, so that later requests are not affected.
    """
    if request.kind != 'submit' or not partition.refusals_lost:
        return False
    identifier = submission_id(request.client, request.key)
    return (
        request.received < partition.gained_at
        and identifier not in turn.state.recovered
    )


def _takeover_answer() -> Answer:
    return answers.refusal(
        reasons.TAKEOVER,
        'the entry in charge was lost; submit the job again',
        reasons.UNKNOWN,
        answers.MIN_RETRY_AFTER_MS,
    )


def _serve_existing(
    turn: Turn,
    request: ParkedRequest,
    submission: Submission,
) -> None:
    job = request.job
    if job is not None and job.digest != submission.job.digest:
        answers.reply(
            turn,
            request.waiter,
            answers.refusal(
                reasons.KEY_CONFLICT,
                f'idempotency key {job.key!r} belongs to a different job',
            ),
        )
        return
    if request.kind == 'cancel':
        submissions.cancel(turn, submission)
    elif request.kind == 'submit':
        turn.count('resubmissions')
    answers.reply_or_wait(turn, submission, request.waiter, request.wait_until)


def _serve_new(
    turn: Turn,
    request: ParkedRequest,
    identifier: bytes,
) -> None:
    recovered = identifier in turn.state.recovered
    if request.job is None:
        answer = (
            answers.refusal(
                reasons.TAKEOVER,
                'submit the job again to obtain its answer',
                reasons.UNKNOWN,
                answers.MIN_RETRY_AFTER_MS,
            )
            if recovered
            else _not_found_answer(request)
        )
    elif recovered:
        answer = None
        turn.state.admission.count_recovered(
            request.job, turn.state.policy, turn.now
        )
    else:
        answer = _check_admission(turn, request.job)
    if answer is None and request.job is not None:
        submission = submissions.create_submission(
            turn,
            identifier,
            request.job,
        )
        turn.count('jobs_accepted')
        answers.reply_or_wait(
            turn, submission, request.waiter, request.wait_until
        )
    elif answer is not None:
        _refuse(turn, request, identifier, answer)


def _refuse(
    turn: Turn,
    request: ParkedRequest,
    identifier: bytes,
    answer: Answer,
) -> None:
    if answer.outcome == reasons.NOT_RUN and request.kind != 'fetch':
        answer = refusals.store_refusal(turn, request, identifier, answer)
    turn.count('requests_refused')
    answers.reply(turn, request.waiter, answer)


def _not_found_answer(request: ParkedRequest) -> Answer:
    if request.kind == 'cancel':
        return answers.refusal(
            reasons.CANCELLED,
            'no such job had arrived; a delayed copy of it will not run',
        )
    return answers.refusal(
        reasons.NOT_FOUND,
        f'no job with idempotency key {request.key!r} is known',
        # A copy may be in transit; only a cancellation keeps it from running.
        reasons.UNKNOWN,
    )


def _check_admission(turn: Turn, job: Job) -> Answer | None:
    state = turn.state
    if state.policy is None:
        return answers.refusal(
            reasons.NO_CONFIGURATION,
            'no configuration has been received yet',
            retry_after_ms=answers.MIN_RETRY_AFTER_MS,
        )
    issued_at = issue_time(job.key)
    if issued_at and issued_at + state.identity.retention_s < turn.wall:
        return answers.refusal(
            reasons.KEY_EXPIRED,
            f'the key was issued over {state.identity.retention_s:.0f} s ago',
            reasons.UNKNOWN,
        )
    if (
        len(state.submissions) >= MAX_SUBMISSIONS
        or state.payload_bytes >= MAX_PAYLOAD_BYTES
    ):
        return answers.refusal(
            reasons.OVERLOADED,
            'the entry holds as many submissions as it may',
            retry_after_ms=answers.MIN_RETRY_AFTER_MS,
        )
    refusal = state.admission.check(
        job,
        state.policy,
        state.queues,
        state.fleet,
        turn.now,
    )
    if refusal is None:
        return None
    turn.count(f'refused_{refusal.reason}')
    return answers.refusal(
        refusal.reason,
        refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )


def issue_time(key: str) -> float:
    """Return the issue time of a UUIDv7 key in UTC seconds, else 0."""
    try:
        parsed = UUID(key)
    except ValueError:
        return 0
    if parsed.version != _UUID7_VERSION:
        return 0
    return (parsed.int >> _UUID7_TIME_SHIFT) / MS_PER_S


def _is_in_doubt(
    turn: Turn,
    request: ParkedRequest,
    partition: OwnedPartition,
) -> bool:
    """Tell whether an agent that has not reported may have run the job."""
    if not partition.awaited_agents and not partition.roster_incomplete:
        return False
    if turn.now > partition.gained_at + turn.state.identity.retention_s:
        return False
    issued_at = issue_time(request.key) - CLOCK_SKEW_S
    identifier = submission_id(request.client, request.key)
    issued_after_gain = (
        issued_at > partition.gained_wall
        and identifier not in turn.state.recovered
    )
    if partition.roster_incomplete and not issued_after_gain:
        return True
    service = request.job.service if request.job else ''
    return any(
        agent.service == service or not service
        for agent in partition.awaited_agents.values()
        if not issued_after_gain
        and not 0 < agent.disconnected_at_ms / MS_PER_S < issued_at
    )


def _in_doubt_answer() -> Answer:
    return answers.refusal(
        reasons.IN_DOUBT,
        'an agent that may have run this job cannot be reached',
        reasons.UNKNOWN,
        answers.MIN_RETRY_AFTER_MS,
    )


def _park(turn: Turn, request: ParkedRequest) -> None:
    if request.give_up_at > turn.now:
        turn.state.parked_requests[request.waiter] = request
        return
    turn.count('requests_unowned')
    answers.reply(
        turn,
        request.waiter,
        answers.refusal(
            reasons.NOT_OWNER,
            'no entry could take charge of this key in time',
            reasons.UNKNOWN,
            answers.MIN_RETRY_AFTER_MS,
        ),
    )
