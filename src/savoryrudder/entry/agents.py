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
from savoryrudder.entry.state import FoundRecord
from savoryrudder.entry.state import LostAgent
from savoryrudder.entry.state import OpenClaim
from savoryrudder.protocol.messages import Acknowledge
from savoryrudder.protocol.messages import Claim
from savoryrudder.protocol.messages import Return
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

# An agent that stays away longer is taken for dead; its tasks are unknown.
AGENT_RETURN_S: Final = 10
# Peers silent for longer are not waited for before a new agent is used.
ROSTER_PATIENCE_S: Final = 60
ACKNOWLEDGE_INTERVAL_S: Final = 1
_REPLACED: Final = 'replaced by a new session'

_FINAL_REJECTIONS: Final = frozenset((reasons.DEADLINE_PASSED,))


def handle_hello(turn: Turn, session: str, hello: Hello) -> None:
    """Start a session with an agent and claim the own partitions."""
    state = turn.state
    name = hello.agent
    _fail_older_incarnation(turn, hello)
    if name in state.agents:
        handle_link_down(turn, name, _REPLACED)
    state.lost_agents.pop(name, None)
    note_roster(turn, name, hello.incarnation, hello.service, linked=True)
    state.agents[name] = AgentLink(
        name,
        hello.incarnation,
        hello.service,
        session,
        hello.operations,
        state.roster_sequence,
    )
    state.fleet.agent_up(hello, turn.now)
    turn.log_change('agent_up', agent=name, service=hello.service)
    _send_welcome(turn, name)
    send_claim(turn, name, state.owned)


def announce_entries(turn: Turn) -> None:
    """Tell all linked agents which entries are alive now."""
    for name in turn.state.agents:
        _send_welcome(turn, name)


def note_roster(
    turn: Turn,
    agent: str,
    incarnation: str,
    service: str,
    *,
    linked: bool,
) -> None:
    """Record that an agent came or went; peers learn it with the next tick."""
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
    number = state.next_request
    state.next_request += 1
    claimed = tuple(
        (partition, state.owned[partition].epoch) for partition in partitions
    )
    state.claims[number] = OpenClaim(
        agent,
        state.agents[agent].session,
        tuple(partition for partition, _ in claimed),
    )
    turn.send(agent, Claim(number, claimed))


def handle_link_down(turn: Turn, agent: str, reason: str) -> None:
    """End the session with an agent; its tasks stay outstanding."""
    state = turn.state
    link = state.agents.pop(agent)
    note_roster(turn, agent, link.incarnation, link.service, linked=False)
    state.fleet.agent_down(agent)
    state.claims = {
        number: claim
        for number, claim in state.claims.items()
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
    """Learn what an agent ran and compare it with the own record."""
    state = turn.state
    claim = state.claims.pop(message.request, None)
    link = state.agents[agent]
    if claim is None or claim.session != link.session:
        turn.count('late_records')
        return
    lose_partitions(turn, message.stale, stale=True)
    keys = set()
    for record in message.records:
        keys.add((record.submission, record.task))
        _absorb(turn, link, record)
    if not link.claimed:
        link.claimed = True
        _requeue_absent(turn, agent, keys)
    for partition in claim.partitions:
        owned = state.owned.get(partition)
        if owned is not None and partition not in message.stale:
            owned.awaited.pop((agent, link.incarnation), None)
    update_usable(turn, link)


def handle_finished(turn: Turn, agent: str, message: Finished) -> None:
    """Settle a task and take the credits that came with its result."""
    link = turn.state.agents[agent]
    if message.credits:
        turn.state.fleet.grant(agent, message.credits)
    if not _absorb(turn, link, message.record):
        turn.count('wasted_messages')


def handle_rejected(turn: Turn, agent: str, message: Rejected) -> None:
    """Queue a task again that an agent did not accept."""
    state = turn.state
    turn.count(f'rejected_{message.reason}')
    submission = state.submissions.get(message.submission)
    if submission is None or message.task >= len(submission.tasks):
        return
    task = submission.tasks[message.task]
    if task.status != SENT or task.agent != agent:
        return
    operation = submission.job.tasks[message.task].operation
    state.fleet.observe(agent, operation, reasons.NOT_RUN, 0, turn.now)
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


def handle_recall(turn: Turn, agent: str, wanted: int) -> None:
    """Return unused credits."""
    turn.send(agent, Return(turn.state.fleet.give_back(agent, wanted)))


def update_usable(turn: Turn, link: AgentLink) -> None:
    """Allow starts on an agent once every peer has it in its roster."""
    if link.usable or not link.claimed:
        return
    patience = turn.now - ROSTER_PATIENCE_S
    for peer in turn.state.peers.values():
        held = peer.roster_held >= link.roster_sequence
        if not held and not peer.gone and peer.heard_at > patience:
            return
    link.usable = True
    turn.state.fleet.mark_usable(link.name)


def keep_agents_informed(turn: Turn) -> None:
    """Use new agents as soon as peers know them; confirm results."""
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
    """Call the tasks of agents unknown that did not come back."""
    state = turn.state
    gone = [
        agent
        for agent, lost in state.lost_agents.items()
        if lost.since + AGENT_RETURN_S <= turn.now
    ]
    for agent in gone:
        state.lost_agents.pop(agent)
        _fail_outstanding(turn, agent)


def _send_welcome(turn: Turn, agent: str) -> None:
    addresses = (document['address'] for document in turn.state.live.values())
    turn.send(agent, Welcome(turn.state.identity.name, tuple(addresses)))


def _absorb(turn: Turn, link: AgentLink, record: TaskRecord) -> bool:
    state = turn.state
    key = (record.submission, record.task)
    useful = submissions.absorb_record(
        turn,
        link.name,
        link.incarnation,
        record,
    )
    held = record.submission in state.submissions
    if not held and partition_of(record.submission) in state.owned:
        found = state.recovered.setdefault(record.submission, {})
        if not found:
            heapq.heappush(
                state.retention,
                (turn.now + state.identity.retention_s, record.submission),
            )
        found[record.task] = FoundRecord(
            link.name,
            link.incarnation,
            record,
        )
        held = True
        useful = True
    if held and record.state not in {'waiting', 'running'}:
        link.acknowledgements.append(key)
    return useful


def _requeue_absent(turn: Turn, agent: str, known: set[TaskKey]) -> None:
    for identifier, index in list(turn.state.outstanding.get(agent, ())):
        if (identifier, index) in known:
            continue
        submission = turn.state.submissions.get(identifier)
        if submission is not None:
            submissions.requeue(turn, submission, index, reasons.NO_UPSTREAM)


def _fail_older_incarnation(turn: Turn, hello: Hello) -> None:
    state = turn.state
    link = state.agents.get(hello.agent)
    lost = state.lost_agents.get(hello.agent)
    if link is not None:
        older = link.incarnation
    elif lost is not None:
        older = lost.incarnation
    else:
        older = hello.incarnation
    if older != hello.incarnation:
        _fail_outstanding(turn, hello.agent)


def _fail_outstanding(turn: Turn, agent: str) -> None:
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
