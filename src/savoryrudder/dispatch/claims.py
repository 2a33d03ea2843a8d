"""Keep a job from running at two entries at a time.

A caller that gets no answer sends its job again, often to another entry.
Entries tell each other which jobs they have; whoever gets a job that another
entry has starts it only after the other has stopped it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch.state import Contest
from savoryrudder.dispatch.state import PeerView
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn


def greet_peer(
    state: DispatchState,
    turn: Turn,
    link: str,
    hello: work.EntryHello,
) -> None:
    """Take in another entry and tell it which jobs are here."""
    if not state.links.pop(link):
        send_hello(state, turn, link)
    state.peers[link] = PeerView(hello.entry, hello.incarnation)
    turn.log('peer-linked', peer=hello.entry, incarnation=hello.incarnation)
    if state.jobs:
        turn.send(link, work.JobsClaimed(tuple(state.jobs)))


def send_hello(state: DispatchState, turn: Turn, link: str) -> None:
    """Say who is at this end of a link."""
    identity = state.identity
    turn.send(
        link,
        work.EntryHello(
            identity.entry,
            identity.incarnation,
            identity.address,
        ),
    )


def lose_peer(state: DispatchState, turn: Turn, link: str) -> None:
    """Note the loss of an entry; agents stop its runs within a bound."""
    peer = state.peers.pop(link, None)
    if peer is None:
        return
    settled_at = turn.now + state.timing.settle_s
    turn.log('peer-lost', peer=peer.entry, jobs=len(peer.jobs))
    for job in peer.jobs:
        state.orphans[job] = settled_at
    for contest in state.contests.values():
        if contest.holder == link:
            contest.settled_at = settled_at


def contest(
    state: DispatchState,
    turn: Turn,
    event: JobSubmitted,
) -> bool:
    """Hold a submission back if another entry has the job."""
    name = event.job.job
    open_contest = state.contests.get(name)
    if open_contest is not None:
        open_contest.submissions.append(event)
        return True
    holder = _holder_of(state, name)
    settled_at = state.orphans.get(name, 0)
    if not holder and settled_at <= turn.now:
        return False
    turn.log('job-contested', job=name, holder=holder or 'lost')
    opened = Contest([event], holder)
    if holder:
        turn.send(holder, work.RelinquishJob(name))
    else:
        opened.settled_at = settled_at
    state.contests[name] = opened
    return True


def take_message(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: object,
) -> list[JobSubmitted]:
    """Take a message of another entry; return submissions to go on with."""
    peer = state.peers[link]
    match message:
        case work.JobsClaimed(names):
            peer.jobs.update(names)
        case work.JobsReleased(names):
            peer.jobs.difference_update(names)
        case work.RelinquishJob(name):
            _relinquish(state, turn, link, name)
        case work.JobRelinquished(name, verdict):
            peer.jobs.discard(name)
            return _conclude(state, turn, name, verdict)
    return []


def settled_submissions(
    state: DispatchState,
    now: float,
) -> list[JobSubmitted]:
    """Return the submissions whose jobs no longer run at lost entries."""
    for name, settled_at in tuple(state.orphans.items()):
        if settled_at <= now:
            state.orphans.pop(name)
    ready: list[JobSubmitted] = []
    for name, waiting in tuple(state.contests.items()):
        if waiting.settled_at <= now:
            state.contests.pop(name)
            ready.extend(waiting.submissions)
    return ready


def withdraw(state: DispatchState, request: int) -> None:
    """Forget a submission that waits, as its caller has left."""
    for name, waiting in tuple(state.contests.items()):
        waiting.submissions = [
            one for one in waiting.submissions if one.request != request
        ]
        if not waiting.submissions:
            state.contests.pop(name)


def announce(state: DispatchState, turn: Turn) -> None:
    """Tell other entries about jobs taken in and jobs that have ended."""
    changes = state.claim_changes
    if changes.claimed:
        _tell_peers(state, turn, work.JobsClaimed(tuple(changes.claimed)))
        changes.claimed.clear()
    if not changes.released:
        return
    _tell_peers(state, turn, work.JobsReleased(tuple(changes.released)))
    for name in changes.released:
        link = state.relinquished.pop(name, '')
        if link in state.peers:
            turn.send(link, work.JobRelinquished(name, ''))
    changes.released.clear()


def _tell_peers(
    state: DispatchState,
    turn: Turn,
    message: work.JobsClaimed | work.JobsReleased,
) -> None:
    for link in state.peers:
        turn.send(link, message)


def _holder_of(state: DispatchState, name: str) -> str:
    for link, peer in state.peers.items():
        if name in peer.jobs:
            return link
    return ''


def _relinquish(
    state: DispatchState,
    turn: Turn,
    link: str,
    name: str,
) -> None:
    job = state.jobs.get(name)
    if job is None:
        earlier = state.answered.get(name)
        verdict = earlier[1].verdict if earlier else ''
        turn.send(link, work.JobRelinquished(name, verdict))
        return
    turn.log('job-relinquished', job=name, unsettled=job.out)
    state.relinquished[name] = link
    if not job.ended:
        superseded = answers.Answer(answers.SUPERSEDED)
        jobs.answer(state, turn, job, superseded)


def _conclude(
    state: DispatchState,
    turn: Turn,
    name: str,
    verdict: str,
) -> list[JobSubmitted]:
    waiting = state.contests.pop(name, None)
    if waiting is None:
        return []
    if not verdict:
        return waiting.submissions
    found = answers.Answer(verdict)
    state.answered[name] = (turn.now, found)
    for event in waiting.submissions:
        turn.reply(event.request, found)
    return []
