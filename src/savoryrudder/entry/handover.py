"""Hand over to a partition's new owner what agents cannot report."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from savoryrudder.entry.state import OwnedPartition
from savoryrudder.entry.state import Submission
from savoryrudder.entry.state import TaskState
from savoryrudder.protocol.messages import HandOver
from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import RetainedAnswer

if TYPE_CHECKING:
    from savoryrudder.entry.turn import Turn


def send_hand_over(
    turn: Turn,
    partition: int,
    owned: OwnedPartition,
    submissions: list[Submission],
) -> None:
    """Send the new owner the answers whose records are on gone agents.

    The message also lists the agents whose records this entry does not have.
    """
    state = turn.state
    owner = state.owners[partition]
    peer = state.peers.get(owner.owner)
    if peer is None or not peer.session or owned.stale:
        return
    gone_agents = {
        key for key, agent in state.roster.items() if agent.disconnected_at_ms
    }
    # These agents may reconnect and may still run tasks.
    lost_agents = [
        agent
        for (name, incarnation), agent in state.roster.items()
        if name in state.lost_agents
        and state.lost_agents[name].incarnation == incarnation
    ]
    turn.send(
        peer.name,
        HandOver(
            partition,
            owner.epoch,
            owned.roster_incomplete,
            (*owned.awaited_agents.values(), *lost_agents),
            tuple(
                RetainedAnswer(
                    submission.identifier,
                    submission.job.digest,
                    submission.answer,
                )
                for submission in submissions
                if submission.answer is not None
                and _ran_on(submission, gone_agents)
            ),
        ),
    )


def handle_hand_over(turn: Turn, message: HandOver) -> None:
    """Store a hand-over and apply it once this entry owns the partition."""
    turn.state.hand_overs[message.partition] = message
    apply_hand_over(turn, message.partition)


def apply_hand_over(turn: Turn, partition: int) -> None:
    """Stop waiting for gone agents whose records the former owner had."""
    state = turn.state
    owned = state.owned.get(partition)
    message = state.hand_overs.get(partition)
    if owned is None or message is None or message.epoch != owned.epoch:
        return
    state.hand_overs.pop(partition)
    still_awaited = {
        (agent.agent, agent.incarnation): agent for agent in message.awaited
    }
    owned.roster_incomplete = message.roster_incomplete
    owned.awaited_agents = {
        key: agent
        for key, agent in owned.awaited_agents.items()
        if not agent.disconnected_at_ms
    } | still_awaited
    for held in message.answers:
        if held.submission not in state.submissions:
            _store_answer(turn, partition, held)


def _ran_on(
    submission: Submission,
    agents: set[tuple[str, str]],
) -> bool:
    return any(
        (task.agent, task.incarnation) in agents for task in submission.tasks
    )


def _store_answer(turn: Turn, partition: int, held: RetainedAnswer) -> None:
    state = turn.state
    state.submissions[held.submission] = Submission(
        identifier=held.submission,
        partition=partition,
        job=Job('', '', '', '', 0, (), held.digest, ''),
        deadline=turn.now,
        tasks=[TaskState(task.outcome) for task in held.answer.tasks],
        unsettled=0,
        waiters={},
        answer=held.answer,
    )
    heapq.heappush(
        state.retention_expiry,
        (turn.now + state.identity.retention_s, held.submission),
    )
