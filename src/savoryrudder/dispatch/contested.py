"""Hold back jobs that may be running at another entry.

A caller that gets no answer submits its job again, often to another entry.
That one starts the job only once each entry that may have it has told that it
does not, or has been lost for so long that its runs have ended, and no agent
tells of runs whose owner it has lost. While a job is contested, the entry
claims it like a job that it runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import orphans
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch.peers import ContestedJob
from savoryrudder.dispatch.peers import OrphanedJob
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn

# A question that neither was answered nor ended with its link is asked again.
_REPETITION_S: Final = 0.5


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
    holders = [
        link
        for link, peer in state.peers.items()
        if _may_have(state, peer, event)
    ]
    orphan = state.orphaned_jobs.get(job_id)
    if orphan is not None and orphan.settled_at <= turn.now:
        orphan = None
    searching = state.is_searching(turn.now)
    is_running = job_id in state.orphan_holders
    if not (holders or orphan is not None or searching or is_running):
        return False
    contested_job = ContestedJob([event], set(), awaits_search=searching)
    contested_job.cleared_by = event.cleared_by
    contested_job.may_have_started = may_run_elsewhere(state, event)
    if orphan is not None:
        contested_job.lost_holders.add(orphan.incarnation)
        contested_job.settled_at = orphan.settled_at
    state.contested_jobs[job_id] = contested_job
    state.record_claim(job_id)
    turn.log(
        'job-contested',
        job=job_id,
        holders=' '.join(state.peers[link].entry for link in holders),
        lost_holders=len(contested_job.lost_holders),
        agents=len(state.orphan_holders.get(job_id, ())),
    )
    for holder in holders:
        _ask(state, turn, job_id, holder)
    return True


def may_run_elsewhere(state: DispatchState, event: JobSubmitted) -> bool:
    """Return whether another entry has told that it has a job."""
    job_id = event.job.job_id
    if state.may_be_orphaned(job_id):
        return True
    return any(job_id in peer.jobs for peer in state.peers.values())


def ask_again(
    state: DispatchState,
    turn: Turn,
    link: str,
    incarnation: str,
) -> None:
    """Ask an entry that is linked again for the jobs it was asked for."""
    for job_id, contested_job in state.contested_jobs.items():
        if incarnation in contested_job.lost_holders:
            contested_job.lost_holders.discard(incarnation)
            if not contested_job.lost_holders:
                contested_job.settled_at = 0
            _ask(state, turn, job_id, link)


def record_lost_holder(
    state: DispatchState,
    link: str,
    peer: PeerView,
    settled_at: float,
) -> None:
    """Let the jobs of a lost entry wait until its runs have ended."""
    for job_id in peer.jobs:
        state.orphaned_jobs[job_id] = OrphanedJob(settled_at, peer.incarnation)
    for contested_id, contested_job in state.contested_jobs.items():
        if link not in contested_job.holders:
            continue
        contested_job.holders.discard(link)
        if contested_id in peer.jobs:
            contested_job.lost_holders.add(peer.incarnation)
            contested_job.settled_at = settled_at
        else:
            # It was asked for want of news only, and is looked for now.
            contested_job.awaits_search = True


def forget_orphans(state: DispatchState, incarnation: str) -> None:
    """Forget the orphaned jobs of an entry that tells its jobs again."""
    for job_id, orphan in tuple(state.orphaned_jobs.items()):
        if orphan.incarnation == incarnation:
            state.orphaned_jobs.pop(job_id)


def record_relinquished(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: work.JobRelinquished,
) -> list[JobSubmitted]:
    """Record that no run of a job is left at an entry.

    Returns the submissions to resume once no other entry may have the job.
    """
    job_id, verdict = message
    contested_job = state.contested_jobs.get(job_id)
    if contested_job is None or link not in contested_job.holders:
        return []
    contested_job.holders.discard(link)
    contested_job.cleared_by |= {state.peers[link].incarnation}
    if verdict:
        _answer(state, turn, job_id, answers.Answer(verdict))
        return []
    if not _is_settled(state, job_id, turn.now):
        return []
    return _pop(state, job_id)


def pop_settled(state: DispatchState, turn: Turn) -> list[JobSubmitted]:
    """Remove and return submissions whose jobs no longer run elsewhere.

    Entries that have not answered for a while are asked again.
    """
    now = turn.now
    for orphan_id, orphan in tuple(state.orphaned_jobs.items()):
        if orphan.settled_at <= now:
            state.orphaned_jobs.pop(orphan_id)
    orphans.release_settled(state, now)
    settled: list[JobSubmitted] = []
    for job_id, contested_job in tuple(state.contested_jobs.items()):
        if _is_settled(state, job_id, now):
            settled.extend(_pop(state, job_id))
    _repeat_questions(state, turn)
    return settled


def withdraw_submission(state: DispatchState, request_id: int) -> None:
    """Remove a deferred submission whose caller has disconnected."""
    for job_id, contested_job in tuple(state.contested_jobs.items()):
        remaining = [
            submission
            for submission in contested_job.submissions
            if submission.request_id != request_id
        ]
        if len(remaining) == len(contested_job.submissions):
            continue
        contested_job.submissions = remaining
        if not remaining and job_id not in state.relinquish_requests:
            _pop(state, job_id)


def relinquish(
    state: DispatchState,
    turn: Turn,
    link: str,
    job_id: str,
) -> None:
    """Leave a contested job to the entry that asks for it.

    It is told so once the job is contested here no more. Of two entries that
    ask each other, the one with the lower name takes the job.
    """
    contested_job = state.contested_jobs[job_id]
    asks_each_other = link in contested_job.holders
    is_first = state.identity.entry < state.peers[link].entry
    if asks_each_other and is_first:
        turn.send(link, work.JobRelinquished(job_id, answers.SUPERSEDED))
        return
    contested_job.holders.discard(link)
    _reply(turn, contested_job, answers.Answer(answers.SUPERSEDED))
    contested_job.submissions = []
    if _is_settled(state, job_id, turn.now):
        _pop(state, job_id)
        turn.send(link, work.JobRelinquished(job_id, ''))
    else:
        await_end(state, turn, link, job_id)


def await_end(
    state: DispatchState,
    turn: Turn,
    link: str,
    job_id: str,
) -> None:
    """Let an entry know once no run of a job may be left here."""
    former_link = state.relinquish_requests.get(job_id, link)
    if former_link != link and former_link in state.peers:
        # The caller has gone on from there, and one entry may start the job.
        turn.send(
            former_link,
            work.JobRelinquished(job_id, answers.SUPERSEDED),
        )
    state.relinquish_requests[job_id] = link
    peer_links.begin_work(state, turn, link)


def cancel(
    state: DispatchState,
    turn: Turn,
    job_id: str,
    cancelled: answers.Answer,
) -> bool:
    """Answer the callers of a contested job, which its holders stop.

    Returns whether the job is contested.
    """
    if job_id not in state.contested_jobs:
        return False
    _answer(state, turn, job_id, cancelled)
    return True


def _may_have(
    state: DispatchState,
    peer: PeerView,
    event: JobSubmitted,
) -> bool:
    if event.job.job_id in peer.jobs:
        return True
    if peer.incarnation in event.cleared_by:
        return False
    valid_until = peer.told_claims_at + state.timing.claims_validity_s
    return not peer.claims_complete or event.now > valid_until


def _is_settled(state: DispatchState, job_id: str, now: float) -> bool:
    contested_job = state.contested_jobs[job_id]
    if job_id in state.orphan_holders:
        return False
    if contested_job.awaits_search and state.is_searching(now):
        return False
    return contested_job.is_settled(now)


def _repeat_questions(state: DispatchState, turn: Turn) -> None:
    # A relayed question or answer may be lost while the path changes.
    cutoff = turn.now - _REPETITION_S
    for job_id, contested_job in state.contested_jobs.items():
        if contested_job.asked_at > cutoff:
            continue
        for link in tuple(contested_job.holders):
            _ask(state, turn, job_id, link)


def _ask(state: DispatchState, turn: Turn, job_id: str, link: str) -> None:
    contested_job = state.contested_jobs[job_id]
    contested_job.holders.add(link)
    contested_job.asked_at = turn.now
    turn.send(link, work.RelinquishJob(job_id))
    peer_links.begin_work(state, turn, link)


def _answer(
    state: DispatchState,
    turn: Turn,
    job_id: str,
    final_answer: answers.Answer,
) -> None:
    if final_answer.verdict not in answers.RETRYABLE:
        state.recent_answers[job_id] = (turn.now, final_answer)
    _reply(turn, state.contested_jobs[job_id], final_answer)
    _pop(state, job_id)


def _reply(
    turn: Turn,
    contested_job: ContestedJob,
    final_answer: answers.Answer,
) -> None:
    for submission in contested_job.submissions:
        turn.reply(submission.request_id, final_answer)


def _pop(state: DispatchState, job_id: str) -> list[JobSubmitted]:
    state.record_release(job_id)
    contested_job = state.contested_jobs.pop(job_id)
    return [
        submission._replace(
            cleared_by=contested_job.cleared_by,
            may_have_started=submission.may_have_started
            or contested_job.may_have_started,
        )
        for submission in contested_job.submissions
    ]
