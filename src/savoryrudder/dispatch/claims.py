"""Ensure that a job runs at no more than one entry at a time.

A caller that gets no answer submits its job again, often to another entry.
Entries announce the jobs they have claimed to each other; an entry that
receives a job claimed by another one starts it only after that entry has
relinquished it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import delegation
from savoryrudder.dispatch import isolation
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch.state import ContestedJob
from savoryrudder.dispatch.state import OrphanedJob
from savoryrudder.dispatch.state import PeerView
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.state import ClaimChanges
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn


def register_peer(
    state: DispatchState,
    turn: Turn,
    link: str,
    hello: work.EntryHello,
) -> None:
    """Register another entry and send it the jobs claimed here."""
    if not state.unidentified_links.pop(link):
        send_hello(state, turn, link)
    state.peers[link] = PeerView(hello.entry, hello.incarnation, hello.zone)
    state.working_peers.add(link)
    delegation.choose_load_listeners(state)
    turn.log('peer-linked', peer=hello.entry, incarnation=hello.incarnation)
    turn.send(link, work.JobsClaimed(tuple(state.jobs)))
    _ask_again(state, turn, link, hello.incarnation)


def _ask_again(
    state: DispatchState,
    turn: Turn,
    link: str,
    incarnation: str,
) -> None:
    for job_id, contested_job in state.contested_jobs.items():
        if contested_job.incarnation == incarnation:
            contested_job.holder = link
            contested_job.settled_at = float('inf')
            turn.send(link, work.RelinquishJob(job_id))
            peer_links.begin_work(state, turn, link)


def send_hello(state: DispatchState, turn: Turn, link: str) -> None:
    """Identify this entry to the process at the other end of a link."""
    identity = state.identity
    turn.send(
        link,
        work.EntryHello(
            identity.entry,
            identity.incarnation,
            identity.address,
            identity.zone,
        ),
    )


def remove_peer(state: DispatchState, turn: Turn, link: str) -> None:
    """Handle the loss of an entry.

    Its jobs may be started here once agents have stopped its runs, which they
    do within `settle_s`.
    """
    peer = state.peers.pop(link, None)
    if peer is None:
        return
    state.working_peers.discard(link)
    delegation.choose_load_listeners(state)
    isolation.record_lost_peer(state, turn.now, peer.entry)
    settled_at = turn.now + state.timing.settle_s
    turn.log('peer-lost', peer=peer.entry, jobs=len(peer.jobs))
    for job_id in peer.jobs:
        state.orphaned_jobs[job_id] = OrphanedJob(settled_at, peer.incarnation)
    for contested_job in state.contested_jobs.values():
        if contested_job.holder == link:
            contested_job.settled_at = settled_at


def defer_if_claimed(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
) -> bool:
    """Defer a submission if its job may be running at another entry.

    Returns whether the submission was deferred.
    """
    job_id = event.job.job_id
    existing = state.contested_jobs.get(job_id)
    if existing is not None:
        existing.submissions.append(event)
        return True
    contested_job = _contest_at_holder(state, turn, event)
    if contested_job is None:
        contested_job = _contest_as_orphan(state, turn, event)
    if contested_job is None:
        return False
    turn.log('job-contested', job=job_id, holder=contested_job.holder or 'lost')
    state.contested_jobs[job_id] = contested_job
    return True


def _contest_at_holder(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
) -> ContestedJob | None:
    holder = _find_holder(state, event.job.job_id)
    if not holder:
        return None
    turn.send(holder, work.RelinquishJob(event.job.job_id))
    peer_links.begin_work(state, turn, holder)
    incarnation = state.peers[holder].incarnation
    return ContestedJob([event], holder, incarnation=incarnation)


def _contest_as_orphan(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
) -> ContestedJob | None:
    orphan = state.orphaned_jobs.get(event.job.job_id)
    if orphan is None or orphan.settled_at <= turn.now:
        return None
    return ContestedJob([event], '', orphan.settled_at, orphan.incarnation)


def handle_message(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: object,
) -> list[JobSubmitted]:
    """Handle a message of another entry; return submissions to resume."""
    peer = state.peers[link]
    match message:
        case work.JobsClaimed(job_ids):
            peer.jobs.update(job_ids)
            _yield_taken_jobs(state, turn, job_ids)
            isolation.record_claims_of(state, peer.entry)
        case work.JobsReleased(job_ids):
            peer.jobs.difference_update(job_ids)
        case work.RelinquishJob(job_id):
            _relinquish_job(state, turn, link, job_id)
        case work.JobRelinquished(job_id, verdict):
            peer.jobs.discard(job_id)
            return _resolve_contested_job(state, turn, job_id, verdict)
    return []


def pop_settled_submissions(
    state: DispatchState,
    now: float,
) -> list[JobSubmitted]:
    """Remove and return submissions whose jobs no longer run elsewhere."""
    for orphan_id, orphan in tuple(state.orphaned_jobs.items()):
        if orphan.settled_at <= now:
            state.orphaned_jobs.pop(orphan_id)
    settled: list[JobSubmitted] = []
    for job_id, contested_job in tuple(state.contested_jobs.items()):
        if contested_job.settled_at <= now:
            state.contested_jobs.pop(job_id)
            settled.extend(contested_job.submissions)
    return settled


def withdraw_submission(state: DispatchState, request_id: int) -> None:
    """Remove a deferred submission whose caller has disconnected."""
    for job_id, contested_job in tuple(state.contested_jobs.items()):
        contested_job.submissions = [
            submission
            for submission in contested_job.submissions
            if submission.request_id != request_id
        ]
        if not contested_job.submissions:
            state.contested_jobs.pop(job_id)


def announce_changes(state: DispatchState, turn: Turn) -> None:
    """Announce claimed and released jobs to the other entries.

    A job that was claimed and released since the last time is no claim.
    """
    _confirm_relinquished(state, turn)
    zone = state.identity.zone
    local_links = [
        link for link, peer in state.peers.items() if peer.zone in {zone, ''}
    ]
    _announce(state, turn, state.local_claim_changes, local_links)
    remote_links = state.peers.keys() - set(local_links)
    _announce(state, turn, state.remote_claim_changes, remote_links)


def _announce(
    state: DispatchState,
    turn: Turn,
    changes: ClaimChanges,
    links: Iterable[str],
) -> None:
    if turn.now < changes.due_at:
        return
    changes.announced_at = turn.now
    claimed = dict.fromkeys(
        job_id for job_id in changes.claimed if job_id in state.jobs
    )
    released = dict.fromkeys(
        job_id for job_id in changes.released if job_id not in state.jobs
    )
    changes.claimed.clear()
    changes.released.clear()
    for link in links:
        if released:
            turn.send(link, work.JobsReleased(tuple(released)))
        if claimed:
            turn.send(link, work.JobsClaimed(tuple(claimed)))


def _confirm_relinquished(state: DispatchState, turn: Turn) -> None:
    for job_id, link in tuple(state.relinquish_requests.items()):
        if job_id in state.jobs:
            continue
        state.relinquish_requests.pop(job_id)
        if link in state.peers:
            turn.send(link, work.JobRelinquished(job_id, ''))


def _find_holder(state: DispatchState, job_id: str) -> str:
    for link, peer in state.peers.items():
        if job_id in peer.jobs:
            return link
    return ''


def _yield_taken_jobs(
    state: DispatchState,
    turn: Turn,
    job_ids: Iterable[str],
) -> None:
    for job_id in job_ids:
        job = state.jobs.get(job_id)
        if job is None or job.ended:
            continue
        if isolation.is_held_back(state, job, turn.now):
            turn.log('job-yielded', job=job_id, unsettled=job.outstanding)
            superseded = answers.Answer(answers.SUPERSEDED)
            jobs.answer(state, turn, job, superseded)


def _relinquish_job(
    state: DispatchState,
    turn: Turn,
    link: str,
    job_id: str,
) -> None:
    job = state.jobs.get(job_id)
    if job is None:
        recent_answer = state.recent_answers.get(job_id)
        verdict = recent_answer[1].verdict if recent_answer else ''
        turn.send(link, work.JobRelinquished(job_id, verdict))
        return
    turn.log('job-relinquished', job=job_id, unsettled=job.outstanding)
    state.relinquish_requests[job_id] = link
    peer_links.begin_work(state, turn, link)
    if not job.ended:
        superseded = answers.Answer(answers.SUPERSEDED)
        jobs.answer(state, turn, job, superseded)


def _resolve_contested_job(
    state: DispatchState,
    turn: Turn,
    job_id: str,
    verdict: str,
) -> list[JobSubmitted]:
    contested_job = state.contested_jobs.pop(job_id, None)
    if contested_job is None:
        return []
    if not verdict:
        return contested_job.submissions
    holder_answer = answers.Answer(verdict)
    state.recent_answers[job_id] = (turn.now, holder_answer)
    for submission in contested_job.submissions:
        turn.reply(submission.request_id, holder_answer)
    return []
