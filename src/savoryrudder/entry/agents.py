"""Handle the sessions with agents and their messages."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import reasons
from savoryrudder.entry import submissions
from savoryrudder.entry.partitions import lose_partitions
from savoryrudder.entry.state import SENT
from savoryrudder.entry.state import AgentLink
from savoryrudder.entry.state import LostAgent
from savoryrudder.entry.state import PendingClaim
from savoryrudder.entry.state import RecoveredRecord
from savoryrudder.protocol.messages import Acknowledge
from savoryrudder.protocol.messages import Claim
from savoryrudder.protocol.messages import ReturnCredits
from savoryrudder.protocol.messages import RosterAgent
from savoryrudder.protocol.messages import Welcome
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.entry.turn import Turn
    from savoryrudder.protocol.messages import Finished
    from savoryrudder.protocol.messages import Hello
    from savoryrudder.protocol.messages import Records
    from savoryrudder.protocol.messages import Rejected
    from savoryrudder.protocol.messages import TaskKey
    from savoryrudder.protocol.messages import TaskRecord
    from savoryrudder.protocol.messages import Withdrawn

# An agent that does not reconnect within this time is considered dead; the
# outcome of its tasks is unknown.
AGENT_RECONNECT_S: Final = 10
# A new agent is used without waiting for peers that were silent for longer.
ROSTER_CONFIRMATION_TIMEOUT_S: Final = 60
ACKNOWLEDGE_INTERVAL_S: Final = 1
_REPLACED: Final = 'replaced by a new session'

_FINAL_REJECTIONS: Final = frozenset((reasons.DEADLINE_PASSED,))


def handle_hello(turn: Turn, session: str, hello: Hello) -> None:
    """Start a session with an agent and claim this entry's partitions."""
    state = turn.state
    name = hello.agent
    _settle_former_incarnation(turn, hello)
    if name in state.agents:
        handle_link_down(turn, name, _REPLACED)
    state.lost_agents.pop(name, None)
    update_roster(turn, name, hello.incarnation, hello.service, linked=True)
    state.agents[name] = AgentLink(
        name,
        hello.incarnation,
        hello.service,
        session,
        hello.operations,
        state.roster_sequence,
    )
    state.fleet.add_agent(hello, turn.now)
    turn.log_change('agent_up', agent=name, service=hello.service)
    _send_welcome(turn, name)
    send_claim(turn, name, state.owned)


def announce_entries(turn: Turn) -> None:
    """Send the addresses of the live entries to all linked agents."""
    for name in turn.state.agents:
        _send_welcome(turn, name)


def update_roster(
    turn: Turn,
    agent: str,
    incarnation: str,
    service: str,
    *,
    linked: bool,
) -> None:
    """Record an agent as linked or gone; the next roster tells the peers."""
    state = turn.state
    state.roster[agent, incarnation] = RosterAgent(
        agent,
        incarnation,
        service,
        0 if linked else int(turn.wall * MS_PER_S),
    )
    state.roster_sequence += 1
    state.roster_changed = True


def send_claim(turn: Turn, agent: str, partitions: Iterable[int]) -> None:
    """Claim partitions at an agent; an empty claim asks for credits only."""
    state = turn.state
    request = state.next_request_id
    state.next_request_id += 1
    claimed = tuple(
        (partition, state.owned[partition].epoch) for partition in partitions
    )
    state.claims[request] = PendingClaim(
        agent,
        state.agents[agent].session,
        tuple(partition for partition, _ in claimed),
    )
    turn.send(agent, Claim(request, claimed))


def handle_link_down(turn: Turn, agent: str, reason: str) -> None:
    """End the session with an agent; its tasks stay outstanding."""
    state = turn.state
    link = state.agents.pop(agent)
    update_roster(turn, agent, link.incarnation, link.service, linked=False)
    state.fleet.remove_agent(agent)
    state.claims = {
        request: claim
        for request, claim in state.claims.items()
        if claim.agent != agent
    }
    turn.log_change(
        'agent_down',
        agent=agent,
        service=link.service,
        reason=reason,
    )
    if state.outstanding.get(agent):
        state.lost_agents[agent] = LostAgent(link.incarnation, turn.now)


def handle_records(turn: Turn, agent: str, message: Records) -> None:
    """Apply an agent's records and requeue tasks that it never received."""
    state = turn.state
    claim = state.claims.pop(message.request, None)
    link = state.agents[agent]
    if claim is None or claim.session != link.session:
        turn.count('late_records')
        return
    lose_partitions(turn, message.stale, stale=True)
    reported = set()
    for record in message.records:
        reported.add((record.submission, record.task))
        _apply_record(turn, link, record)
    if not link.claimed:
        link.claimed = True
        _requeue_missing(turn, agent, reported)
    for partition in claim.partitions:
        owned = state.owned.get(partition)
        if owned is not None and partition not in message.stale:
            owned.awaited_agents.pop((agent, link.incarnation), None)
    update_usable(turn, link)


def handle_finished(turn: Turn, agent: str, message: Finished) -> None:
    """Settle a task and add the credits that came with its result."""
    link = turn.state.agents[agent]
    if message.credits:
        turn.state.fleet.add_credits(agent, message.credits)
    if not _apply_record(turn, link, message.record):
        turn.count('wasted_messages')


def handle_rejected(turn: Turn, agent: str, message: Rejected) -> None:
    """Requeue a rejected task, or settle it if the rejection is final."""
    state = turn.state
    turn.count(f'rejected_{message.reason}')
    submission = state.submissions.get(message.submission)
    if submission is None or message.task >= len(submission.tasks):
        return
    task = submission.tasks[message.task]
    if task.status != SENT or task.agent != agent:
        return
    operation = submission.job.tasks[message.task].operation
    state.fleet.record_outcome(agent, operation, reasons.NOT_RUN, 0, turn.now)
    if message.reason in _FINAL_REJECTIONS:
        submissions.settle_task(
            turn,
            submission,
            message.task,
            reasons.NOT_RUN,
            message.reason,
        )
        return
    submissions.requeue(turn, submission, message.task, reasons.NO_UPSTREAM)


def handle_withdrawn(turn: Turn, agent: str, message: Withdrawn) -> None:
    """Settle withdrawn tasks that never started."""
    for identifier, index in message.unstarted:
        submission = turn.state.submissions.get(identifier)
        if submission is None:
            continue
        task = submission.tasks[index]
        if task.status == SENT and task.agent == agent:
            submissions.settle_task(
                turn,
                submission,
                index,
                reasons.NOT_RUN,
                reasons.CANCELLED,
            )


def handle_recall(turn: Turn, agent: str, requested: int) -> None:
    """Return up to `requested` unused credits to an agent."""
    turn.send(
        agent, ReturnCredits(turn.state.fleet.return_credits(agent, requested))
    )


def update_usable(turn: Turn, link: AgentLink) -> None:
    """Allow starts on an agent once every peer has confirmed it.

    Peers that are unregistered, or were silent for
    `ROSTER_CONFIRMATION_TIMEOUT_S`, are skipped.
    """
    if link.usable or not link.claimed:
        return
    silent_since = turn.now - ROSTER_CONFIRMATION_TIMEOUT_S
    for peer in turn.state.peers.values():
        confirmed = peer.confirmed_sequence >= link.roster_sequence
        if (
            not confirmed
            and not peer.unregistered
            and peer.heard_at > silent_since
        ):
            return
    link.usable = True
    turn.state.fleet.mark_usable(link.name)


def send_agent_updates(turn: Turn) -> None:
    """Enable agents that all peers have confirmed; acknowledge results."""
    state = turn.state
    for link in state.agents.values():
        update_usable(turn, link)
    if state.acknowledged_at + ACKNOWLEDGE_INTERVAL_S > turn.now:
        return
    state.acknowledged_at = turn.now
    for name, link in state.agents.items():
        if link.acknowledgements:
            turn.send(name, Acknowledge(tuple(link.acknowledgements)))
            link.acknowledgements = []


def expire_lost_agents(turn: Turn) -> None:
    """Settle the tasks of agents that did not reconnect as unknown."""
    state = turn.state
    expired = [
        agent
        for agent, lost in state.lost_agents.items()
        if lost.since + AGENT_RECONNECT_S <= turn.now
    ]
    for agent in expired:
        state.lost_agents.pop(agent)
        _settle_outstanding(turn, agent)


def _send_welcome(turn: Turn, agent: str) -> None:
    addresses = (
        document['address'] for document in turn.state.live_entries.values()
    )
    turn.send(agent, Welcome(turn.state.identity.name, tuple(addresses)))


def _apply_record(turn: Turn, link: AgentLink, record: TaskRecord) -> bool:
    state = turn.state
    key = (record.submission, record.task)
    is_new = submissions.apply_record(
        turn,
        link.name,
        link.incarnation,
        record,
    )
    stored = record.submission in state.submissions
    if not stored and partition_of(record.submission) in state.owned:
        recovered = state.recovered.setdefault(record.submission, {})
        if not recovered:
            heapq.heappush(
                state.retention_expiry,
                (turn.now + state.identity.retention_s, record.submission),
            )
        recovered[record.task] = RecoveredRecord(
            link.name,
            link.incarnation,
            record,
        )
        stored = True
        is_new = True
    if stored and record.state not in {'waiting', 'running'}:
        link.acknowledgements.append(key)
    return is_new


def _requeue_missing(
    turn: Turn,
    agent: str,
    reported: set[TaskKey],
) -> None:
    for identifier, index in list(turn.state.outstanding.get(agent, ())):
        if (identifier, index) in reported:
            continue
        submission = turn.state.submissions.get(identifier)
        if submission is not None:
            submissions.requeue(turn, submission, index, reasons.NO_UPSTREAM)


def _settle_former_incarnation(turn: Turn, hello: Hello) -> None:
    state = turn.state
    link = state.agents.get(hello.agent)
    lost = state.lost_agents.get(hello.agent)
    if link is not None:
        former = link.incarnation
    elif lost is not None:
        former = lost.incarnation
    else:
        former = hello.incarnation
    if former != hello.incarnation:
        _settle_outstanding(turn, hello.agent)


def _settle_outstanding(turn: Turn, agent: str) -> None:
    for identifier, index in list(turn.state.outstanding.get(agent, ())):
        submission = turn.state.submissions.get(identifier)
        if submission is not None:
            submissions.settle_task(
                turn,
                submission,
                index,
                reasons.UNKNOWN,
                reasons.AGENT_LOST,
            )
    turn.state.outstanding.pop(agent, None)
