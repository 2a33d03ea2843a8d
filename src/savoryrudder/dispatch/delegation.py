"""Hand jobs to another entry while this one lacks capacity or time.

Callers reach the entries of their zone only, and an entry uses the executors
that it is linked with only. Without delegation, callers of a zone with few
entries are refused while other entries and their executors stand free.

A delegated job is owned, claimed and run by the other entry; this one keeps its
callers' requests. That entry delegates it no further. If it refuses the job,
the job runs here if it fits by now, or is delegated once more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import peer_choice
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch import peer_load
from savoryrudder.dispatch.peers import Delegation
from savoryrudder.protocol import delegation

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import Queue

# Entries that may refuse a job before it is delegated no more.
_MAX_REFUSALS: Final = 2
# A refusal on arrival comes within this time. After a longer one the job would
# be late elsewhere.
_MAX_REFUSAL_DELAY_S: Final = 0.05
_UNCLAIMED_VERDICTS: Final = answers.REFUSALS | {answers.UNKNOWN_QUEUE}


def delegate(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
    queue: Queue,
    *,
    is_refused: bool,
) -> bool:
    """Hand a job to another entry if that serves it better.

    `is_refused` tells that this entry would refuse it for want of capacity.
    Returns whether the job was delegated.
    """
    if event.may_have_started or state.draining:
        return False
    if event.request_id in state.foreign_requests:
        return False
    if event.refusals >= _MAX_REFUSALS:
        return False
    reason = _reason_to_delegate(state, event, queue, is_refused=is_refused)
    if not reason:
        return False
    room = peer_choice.choose_peer(state, turn.now, queue.service, event.job)
    if room is None:
        return False
    _send_job(state, turn, event, room, reason)
    return True


def _send_job(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
    room: peer_choice.PeerRoom,
    reason: str,
) -> None:
    link, peer = room[:2]
    job_id = event.job.job_id
    cpu = peer_choice.demand_cpu(event.job)
    state.delegations_created += 1
    number = state.delegations_created
    state.delegations[job_id] = Delegation(link, number, cpu, turn.now, [event])
    state.open_requests[event.request_id] = job_id
    # The peer owns the job from here on; its release clears the claim.
    peer.jobs.add(job_id)
    peer.delegated_cpu += cpu
    peer_links.begin_work(state, turn, link)
    turn.count('jobs_delegated')
    turn.log(
        'job-delegated',
        job=job_id,
        peer=peer.entry,
        zone=peer.zone,
        reason=reason,
        refusals=event.refusals,
        needed_cpu=cpu,
        peer_free_cpu=int(room.free_cpu),
        load_age_s=round(room.load_age_s, 3),
    )
    turn.send(
        link,
        delegation.DelegateJob(
            event.host,
            event.path,
            event.job,
            event.caller_timeout_s,
            number,
        ),
    )


def _reason_to_delegate(
    state: DispatchState,
    event: JobSubmitted,
    queue: Queue,
    *,
    is_refused: bool,
) -> str:
    free_cpu = state.capacity.free_cpu(queue.service)
    if (
        is_refused
        or state.job_queue
        or free_cpu < peer_choice.demand_cpu(event.job)
    ):
        return 'no room'
    state.delegation_credit += state.delegated_share
    if state.delegation_credit < 1:
        return ''
    state.delegation_credit -= 1
    return 'busy'


def join(state: DispatchState, event: JobSubmitted) -> bool:
    """Let another request wait for a delegated job; return whether it is."""
    delegated = state.delegations.get(event.job.job_id)
    if delegated is None:
        return False
    delegated.submissions.append(event)
    state.open_requests[event.request_id] = event.job.job_id
    return True


def disconnect(
    state: DispatchState, turn: Turn, request: int, job: str
) -> bool:
    """Withdraw a delegated job once its last caller has disconnected.

    Returns whether the job is a delegated one.
    """
    delegated = state.delegations.get(job)
    if delegated is None:
        return False
    delegated.submissions = [
        submission
        for submission in delegated.submissions
        if submission.request_id != request
    ]
    if not delegated.submissions:
        turn.count('jobs_abandoned')
        turn.log('job-abandoned', job=job, delegated=True)
        _withdraw(state, turn, job)
    return True


def answer_all(
    state: DispatchState, turn: Turn, answer: answers.Answer
) -> None:
    """Answer the callers of all delegated jobs, and withdraw the jobs."""
    for job in tuple(state.delegations):
        answer_callers(state, turn, job, answer)


def answer_callers(
    state: DispatchState,
    turn: Turn,
    job: str,
    answer: answers.Answer,
) -> bool:
    """Answer the callers of a delegated job, and withdraw the job.

    Returns whether the job is a delegated one.
    """
    if job not in state.delegations:
        return False
    _reply(state, turn, job, answer)
    _withdraw(state, turn, job)
    return True


def _withdraw(state: DispatchState, turn: Turn, job: str) -> None:
    delegated = _end(state, job)
    if delegated.link in state.peers:
        turn.send(delegated.link, delegation.WithdrawJob(job))


def _end(state: DispatchState, job: str) -> Delegation:
    delegated = state.delegations.pop(job)
    peer = state.peers.get(delegated.link)
    if peer is not None and not peer_load.is_included(peer, delegated):
        peer.delegated_cpu = max(peer.delegated_cpu - delegated.cpu, 0)
    return delegated


def _reply(
    state: DispatchState,
    turn: Turn,
    job: str,
    answer: answers.Answer,
) -> None:
    for submission in state.delegations[job].submissions:
        state.open_requests.pop(submission.request_id, None)
        turn.reply(submission.request_id, answer)


def handle_answer(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: delegation.DelegatedAnswer,
) -> list[JobSubmitted]:
    """Answer the callers of a delegated job.

    Returns the submissions of one that was refused, if it may run elsewhere.
    """
    job, verdict, reason, retry_after_s = message[:4]
    peer = state.peers[link]
    delegated = _delegation_at(state, link, job)
    if delegated and message.number not in {delegated.number, 0}:
        # The job was withdrawn and delegated again while this answer was sent.
        return []
    if verdict in _UNCLAIMED_VERDICTS:
        # The peer does not have the job, so it will not release it either.
        peer.jobs.discard(job)
    if delegated is None:
        return []
    if verdict in answers.REFUSALS:
        peer.refused_at = turn.now
        if _may_run_elsewhere(state, turn, delegated):
            turn.count('jobs_handed_back')
            turn.log('job-handed-back', job=job, peer=peer.entry, reason=reason)
            return _resubmit(state, job, peer)
    elapsed_s = turn.now - delegated.submissions[0].now
    turn.count(f'jobs_{verdict}')
    turn.observe(f'job_{verdict}', elapsed_s)
    turn.log(
        'job-answered',
        job=job,
        verdict=verdict,
        reason=reason,
        peer=peer.entry,
        elapsed_s=round(elapsed_s, 3),
    )
    final_answer = answers.Answer(verdict, reason, retry_after_s)
    if verdict not in answers.RETRYABLE:
        state.recent_answers[job] = (turn.now, final_answer)
    _reply(state, turn, job, final_answer)
    _end(state, job)
    return []


def _may_run_elsewhere(
    state: DispatchState,
    turn: Turn,
    delegated: Delegation,
) -> bool:
    if turn.now > delegated.delegated_at + _MAX_REFUSAL_DELAY_S:
        return False
    submission = delegated.submissions[0]
    queue = state.configuration.find_queue(submission.host, submission.path)
    if queue is None or state.draining:
        return False
    free_cpu = state.capacity.free_cpu(queue.service)
    if not state.job_queue and free_cpu >= delegated.cpu:
        return True
    if submission.refusals + 1 >= _MAX_REFUSALS:
        return False
    room = peer_choice.choose_peer(
        state,
        turn.now,
        queue.service,
        submission.job,
    )
    return room is not None


def _resubmit(
    state: DispatchState,
    job: str,
    peer: PeerView,
) -> list[JobSubmitted]:
    delegated = _end(state, job)
    for submission in delegated.submissions:
        state.open_requests.pop(submission.request_id, None)
    return [
        refused._replace(
            cleared_by=refused.cleared_by | {peer.incarnation},
            refusals=refused.refusals + 1,
        )
        for refused in delegated.submissions
    ]


def _delegation_at(
    state: DispatchState,
    link: str,
    job: str,
) -> Delegation | None:
    delegated = state.delegations.get(job)
    return delegated if delegated and delegated.link == link else None


def jobs_at(state: DispatchState, link: str) -> list[str]:
    """Return the jobs that are delegated to another entry."""
    return [
        job
        for job, delegated in state.delegations.items()
        if delegated.link == link
    ]


def pop_submissions_at(state: DispatchState, link: str) -> list[JobSubmitted]:
    """Remove and return the submissions delegated to an entry that is lost."""
    submissions: list[JobSubmitted] = []
    for job in jobs_at(state, link):
        submissions.extend(state.delegations.pop(job).submissions)
    for submission in submissions:
        state.open_requests.pop(submission.request_id, None)
    return [lost._replace(may_have_started=True) for lost in submissions]
