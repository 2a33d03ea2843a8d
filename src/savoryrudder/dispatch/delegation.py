"""Hand jobs to another entry while this one lacks capacity or time.

Callers reach the entries of their zone only, and an entry uses the executors
that it is linked with only. Without delegation, callers of a zone with few
entries are refused while other entries and their executors stand free.

A delegated job is owned, claimed and run by the other entry; this one keeps its
callers' requests. A job is delegated once at most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch.effects import Reply
from savoryrudder.dispatch.events import JobSubmitted
from savoryrudder.dispatch.peers import Delegation
from savoryrudder.dispatch.peers import ForeignRequest
from savoryrudder.protocol import delegation
from savoryrudder.utils.effects import Send
from savoryrudder.utils.rendezvous import ChoiceSize
from savoryrudder.utils.rendezvous import choose

if TYPE_CHECKING:
    from savoryrudder.dispatch.effects import DispatchEffect
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.jobs.model import Queue

# An entry hands on as many jobs as keep its event loop from being busier.
_TARGET_BUSY_SHARE: Final = 0.6
_MAX_DELEGATED_SHARE: Final = 0.9
# Jobs go to entries that are less busy, and have this many times the free
# capacity that a job needs: others may hand them jobs at the same time.
_MAX_PEER_BUSY_SHARE: Final = 0.6
_PEER_CAPACITY_FACTOR: Final = 2
# Entries that are told the load of this one. Each has to know some others that
# take jobs, in its zone and elsewhere, not all of them.
_LOAD_LISTENERS: Final = ChoiceSize(local=3, remote=3)
# A change of the load by less than this share is not announced.
_MIN_LOAD_CHANGE: Final = 0.1

_UNCLAIMED_VERDICTS: Final = answers.REFUSALS | {answers.UNKNOWN_QUEUE}


def record_load(state: DispatchState, busy_share: float) -> None:
    """Adapt the share of delegated jobs to how busy the event loop was."""
    state.busy_share = busy_share
    delegated_share = state.delegated_share + busy_share - _TARGET_BUSY_SHARE
    state.delegated_share = min(max(delegated_share, 0), _MAX_DELEGATED_SHARE)


def announce_load(state: DispatchState, turn: Turn) -> None:
    """Tell the other entries how much work this one can take, if it changed."""
    load = delegation.EntryLoad(
        state.capacity.free_cpu_by_service(),
        round(state.busy_share, 3),
        accepting=not state.draining,
        version=state.configuration.version,
    )
    for link, peer in state.peers.items():
        if peer.hears_load and _has_changed(peer.announced_load, load):
            peer.announced_load = load
            turn.send(link, load)


class _Listener(NamedTuple):
    """Name an entry that may be told the load."""

    name: str
    zone: str
    link: str


def choose_load_listeners(state: DispatchState) -> None:
    """Choose the entries that are told the load, after one came or went."""
    identity = state.identity
    listeners = choose(
        _Listener(identity.entry, identity.zone, ''),
        (
            _Listener(peer.entry, peer.zone, link)
            for link, peer in state.peers.items()
            if not peer_links.is_relayed(link)
        ),
        _LOAD_LISTENERS,
    )
    links = {listener.link for listener in listeners}
    for link, peer in state.peers.items():
        peer.hears_load = link in links


def _has_changed(
    previous: delegation.EntryLoad | None,
    load: delegation.EntryLoad,
) -> bool:
    if previous is None or previous[2:] != load[2:]:
        return True
    if abs(previous.busy_share - load.busy_share) > _MIN_LOAD_CHANGE:
        return True
    return any(
        abs(cpu - previous.free_cpu.get(service, 0)) > _MIN_LOAD_CHANGE * cpu
        for service, cpu in load.free_cpu.items()
    )


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
    reason = _reason_to_delegate(state, event, queue, is_refused=is_refused)
    link = _choose_peer(state, queue, event.job) if reason else ''
    if not link:
        return False
    peer = state.peers[link]
    job_id = event.job.job_id
    cpu = _demand_cpu(event.job)
    state.delegations_created += 1
    number = state.delegations_created
    state.delegations[job_id] = Delegation(link, number, cpu, [event])
    state.open_requests[event.request_id] = job_id
    # The peer owns the job from here on; its release clears the claim.
    peer.jobs.add(job_id)
    peer.delegated_cpu += cpu
    peer_links.begin_work(state, turn, link)
    turn.count('jobs_delegated')
    turn.log('job-delegated', job=job_id, peer=peer.entry, reason=reason)
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
    return True


def _reason_to_delegate(
    state: DispatchState,
    event: JobSubmitted,
    queue: Queue,
    *,
    is_refused: bool,
) -> str:
    free_cpu = state.capacity.free_cpu(queue.service)
    if is_refused or state.job_queue or free_cpu < _demand_cpu(event.job):
        return 'no room'
    state.delegation_credit += state.delegated_share
    if state.delegation_credit < 1:
        return ''
    state.delegation_credit -= 1
    return 'busy'


def _choose_peer(
    state: DispatchState,
    queue: Queue,
    job: JobRequest,
) -> str:
    needed_cpu = _demand_cpu(job) * _PEER_CAPACITY_FACTOR
    zone = state.identity.zone
    suitable = [
        (peer.zone == zone, _free_cpu_of(peer, queue.service), link)
        for link, peer in state.peers.items()
        if _takes_jobs(state, peer)
        and _free_cpu_of(peer, queue.service) >= needed_cpu
    ]
    return max(suitable)[-1] if suitable else ''


def _takes_jobs(state: DispatchState, peer: PeerView) -> bool:
    load = peer.load
    if load is None or not load.accepting:
        return False
    is_current = load.version >= state.configuration.version
    return is_current and load.busy_share < _MAX_PEER_BUSY_SHARE


def _free_cpu_of(peer: PeerView, service: str) -> int:
    if peer.load is None:
        return 0
    return peer.load.free_cpu.get(service, 0) - peer.delegated_cpu


def _demand_cpu(job: JobRequest) -> int:
    return sum(step.tasks * step.demand.cpu for step in job.steps)


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
    if peer is not None:
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


def handle_load(
    state: DispatchState,
    link: str,
    load: delegation.EntryLoad,
) -> None:
    """Record how much work another entry can take."""
    peer = state.peers[link]
    peer.load = load
    peer.delegated_cpu = 0


def handle_answer(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: delegation.DelegatedAnswer,
) -> None:
    """Answer the callers of a delegated job."""
    job, verdict, reason, retry_after_s = message[:4]
    peer = state.peers[link]
    delegated = _delegation_at(state, link, job)
    if delegated and message.number not in {delegated.number, 0}:
        # The job was withdrawn and delegated again while this answer was sent.
        return
    if verdict in _UNCLAIMED_VERDICTS:
        # The peer does not have the job, so it will not release it either.
        peer.jobs.discard(job)
    if delegated is None:
        return
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


def _delegation_at(
    state: DispatchState,
    link: str,
    job: str,
) -> Delegation | None:
    delegated = state.delegations.get(job)
    return delegated if delegated and delegated.link == link else None


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
