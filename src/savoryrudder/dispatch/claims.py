"""Ensure that a job runs at no more than one entry at a time.

A caller that gets no answer submits its job again, often to another entry.
Entries announce the jobs they have claimed to each other; an entry that
receives a job claimed by another one starts it only after that entry has
relinquished it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import contested
from savoryrudder.dispatch import delegation
from savoryrudder.dispatch import isolation
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch import peer_load
from savoryrudder.dispatch.peers import PeerView
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.peers import ClaimChanges
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
    turn.log('peer-linked', peer=hello.entry, incarnation=hello.incarnation)
    for former_link, former in tuple(state.peers.items()):
        if former.entry == hello.entry:
            remove_peer(state, turn, former_link)
    peer = PeerView(hello.entry, hello.incarnation, hello.zone)
    add_peer(state, turn, link, peer)


def add_peer(
    state: DispatchState,
    turn: Turn,
    link: str,
    peer: PeerView,
) -> None:
    """Add another entry, on a link of its own or a relayed one."""
    peer.linked_at = turn.now
    state.peers[link] = peer
    if not peer_links.is_relayed(link):
        state.working_peers.add(link)
    peer_load.choose_load_listeners(state)
    turn.send(
        link,
        work.JobsClaimed(
            (*state.jobs, *state.contested_jobs),
            complete=True,
            unsettled=(*state.orphaned_jobs, *state.orphan_holders),
        ),
    )
    contested.ask_again(state, turn, link, peer.incarnation)


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


def remove_peer(
    state: DispatchState,
    turn: Turn,
    link: str,
) -> PeerView | None:
    """Handle the loss of an entry, and return what was known of it.

    Its jobs may be started here once agents have stopped its runs, which they
    do within `settle_s` unless they reach it.
    """
    peer = state.peers.pop(link, None)
    if peer is None:
        return None
    state.working_peers.discard(link)
    peer_load.choose_load_listeners(state)
    isolation.record_lost_peer(state, turn.now, peer.entry)
    settled_at = turn.now + state.timing.settle_s
    turn.log('peer-lost', peer=peer.entry, jobs=len(peer.jobs))
    contested.record_lost_holder(state, link, peer, settled_at)
    return peer


def handle_message(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: object,
) -> list[JobSubmitted]:
    """Handle a message of another entry; return submissions to resume."""
    peer = state.peers[link]
    match message:
        case work.JobsClaimed(job_ids, complete, unsettled):
            if complete:
                peer.claims_complete = True
                contested.forget_orphans(state, peer.incarnation)
            peer.told_claims_at = turn.now
            peer.jobs.update(job_ids, unsettled)
            _yield_taken_jobs(state, turn, peer, job_ids)
            if complete:
                isolation.record_claims_of(state, peer.entry)
        case work.JobsReleased(job_ids):
            peer.told_claims_at = turn.now
            peer.jobs.difference_update(job_ids)
            # It may have been released before it was delegated again.
            peer.jobs.update(delegation.jobs_at(state, link))
        case work.RelinquishJob(job_id):
            _relinquish_job(state, turn, link, job_id)
        case work.JobRelinquished():
            peer.jobs.discard(message.job)
            return contested.record_relinquished(state, turn, link, message)
    return []


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
    if changes.has_changes:
        changes.announced_at = turn.now
    else:
        changes.refreshed_at = turn.now
    claimed = dict.fromkeys(
        job_id for job_id in changes.claimed if state.claims(job_id)
    )
    orphaned = dict.fromkeys(
        job_id for job_id in changes.orphaned if job_id in state.orphan_holders
    )
    released = dict.fromkeys(
        job_id
        for job_id in changes.released
        if not (state.claims(job_id) or job_id in state.orphan_holders)
    )
    changes.claimed.clear()
    changes.orphaned.clear()
    changes.released.clear()
    for link in links:
        if released:
            turn.send(link, work.JobsReleased(tuple(released)))
        if claimed or orphaned or not released:
            turn.send(
                link,
                work.JobsClaimed(tuple(claimed), unsettled=tuple(orphaned)),
            )


def _confirm_relinquished(state: DispatchState, turn: Turn) -> None:
    for job_id, link in tuple(state.relinquish_requests.items()):
        if state.claims(job_id) or state.may_be_orphaned(job_id):
            continue
        state.relinquish_requests.pop(job_id)
        if link in state.peers:
            turn.send(link, work.JobRelinquished(job_id, ''))


def _yield_taken_jobs(
    state: DispatchState,
    turn: Turn,
    peer: PeerView,
    job_ids: Iterable[str],
) -> None:
    # Of two entries that both run a job, the one with the lower name goes on.
    yields = peer.entry < state.identity.entry
    for job_id in job_ids:
        job = state.jobs.get(job_id)
        if job is None or job.ended:
            continue
        if yields or isolation.is_held_back(state, job, turn.now):
            turn.log('job-yielded', job=job_id, unsettled=job.outstanding)
            superseded = answers.Answer(answers.SUPERSEDED)
            jobs.answer(state, turn, job, superseded)


def _relinquish_job(
    state: DispatchState,
    turn: Turn,
    link: str,
    job_id: str,
) -> None:
    if job_id in state.contested_jobs:
        contested.relinquish(state, turn, link, job_id)
        return
    if state.may_be_orphaned(job_id) and job_id not in state.jobs:
        # Its runs at a lost entry may not have ended yet.
        contested.await_end(state, turn, link, job_id)
        return
    job = state.jobs.get(job_id)
    if job is None:
        recent_answer = state.recent_answers.get(job_id)
        verdict = recent_answer[1].verdict if recent_answer else ''
        turn.send(link, work.JobRelinquished(job_id, verdict))
        return
    turn.log('job-relinquished', job=job_id, unsettled=job.outstanding)
    contested.await_end(state, turn, link, job_id)
    if not job.ended:
        superseded = answers.Answer(answers.SUPERSEDED)
        jobs.answer(state, turn, job, superseded)
