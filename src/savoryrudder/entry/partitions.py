"""Gain and lose partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.entry import answers
from savoryrudder.entry import reasons
from savoryrudder.entry import submissions
from savoryrudder.entry.handover import apply_hand_over
from savoryrudder.entry.handover import send_hand_over
from savoryrudder.entry.refusals import PARK_S
from savoryrudder.entry.state import OwnedPartition
from savoryrudder.entry.state import ParkedRequest
from savoryrudder.entry.state import PeerRoster
from savoryrudder.entry.state import Waiter
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savoryrudder.entry.state import PartitionOwner
    from savoryrudder.entry.state import Submission
    from savoryrudder.entry.turn import Turn
    from savoryrudder.protocol.messages import RosterAgent

# A roster older than this may lack agents: its owner stops waiting for
# confirmations after 60 s of silence.
ROSTER_VALIDITY_S: Final = 45

_NO_ROSTER: Final = PeerRoster((), 0, 0)


def gain_partition(
    turn: Turn,
    partition: int,
    owner: PartitionOwner,
) -> None:
    """Become owner of a partition; requests wait for the agents' records."""
    state = turn.state
    awaited: dict[tuple[str, str], RosterAgent] = {}
    roster = state.rosters.get(owner.former)
    has_valid_roster = (
        roster is not None and roster.heard_at + ROSTER_VALIDITY_S > turn.now
    )
    if owner.former:
        for agent in (*state.roster.values(), *(roster or _NO_ROSTER).agents):
            _await_agent(awaited, agent)
    roster_incomplete = bool(owner.former) and not has_valid_roster
    if roster is not None and roster.incomplete_until > turn.wall:
        roster_incomplete = True
    # The next owner has to wait for the records of these agents as well.
    for key, awaited_agent in awaited.items():
        state.roster.setdefault(key, awaited_agent)
    state.roster_sequence += 1
    state.roster_changed = True
    state.owned[partition] = OwnedPartition(
        owner.epoch,
        turn.now,
        turn.wall,
        awaited,
        roster_incomplete=roster_incomplete,
        # A live owner reassigns its partitions itself and passes on its
        # refusals.
        refusals_lost=owner.former not in {'', *state.live_entries},
    )
    apply_hand_over(turn, partition)


def expire_awaited_agents(turn: Turn) -> None:
    """Stop waiting for records once no caller can resubmit their jobs."""
    limit = turn.now - turn.state.identity.retention_s
    for owned in turn.state.owned.values():
        if owned.gained_at < limit and (
            owned.awaited_agents or owned.roster_incomplete
        ):
            owned.awaited_agents = {}
            owned.roster_incomplete = False


def lose_partitions(
    turn: Turn,
    partitions: Iterable[int],
    *,
    stale: bool = False,
) -> None:
    """Give up partitions and route their unanswered jobs to the new owners.

    `stale` marks partitions for which an agent knows a higher epoch; they stay
    listed as owned until the partition map names their new owner.
    """
    state = turn.state
    lost = {
        partition: state.owned[partition]
        for partition in partitions
        if partition in state.owned
    }
    if not lost:
        return
    affected: dict[int, list[Submission]] = {
        partition: [] for partition in lost
    }
    for submission in state.submissions.values():
        if submission.partition in lost:
            affected[submission.partition].append(submission)
    for partition, owned in lost.items():
        if stale:
            owned.stale = True
        else:
            state.owned.pop(partition)
            send_hand_over(turn, partition, owned, affected[partition])
        for submission in affected[partition]:
            _reroute(turn, submission)
    turn.log_change(
        'partitions_lost',
        count=str(len(lost)),
        owned=str(len(state.owned)),
        stale=str(stale),
    )


def _await_agent(
    awaited: dict[tuple[str, str], RosterAgent],
    agent: RosterAgent,
) -> None:
    key = (agent.agent, agent.incarnation)
    listed = awaited.get(key)
    # An agent that is linked in either roster counts as linked; otherwise the
    # later end of its sessions counts.
    if listed is None or (
        listed.disconnected_at_ms
        and not 0 < agent.disconnected_at_ms <= listed.disconnected_at_ms
    ):
        awaited[key] = agent


def _reroute(turn: Turn, submission: Submission) -> None:
    submissions.drop_submission(turn, submission)
    job = submission.job
    if submission.answer is not None:
        return
    remaining_ms = int((submission.deadline - turn.now) * MS_PER_S)
    waiters = submission.waiters
    if not waiters:
        # A job without a waiting caller gets a request number of its own.
        turn.state.next_request_id += 1
        waiters = {Waiter('', -turn.state.next_request_id): turn.now}
    for waiter, wait_until in waiters.items():
        turn.state.waiting_requests.pop(waiter, None)
        if remaining_ms <= 0 or submission.failing:
            answers.reply(
                turn,
                waiter,
                answers.refusal(
                    reasons.TAKEOVER,
                    'the job has passed to another entry; fetch its answer',
                    reasons.UNKNOWN,
                    answers.MIN_RETRY_AFTER_MS,
                ),
            )
            continue
        turn.state.parked_requests[waiter] = ParkedRequest(
            waiter,
            'submit',
            job.client,
            job.key,
            job._replace(deadline_ms=remaining_ms),
            turn.now,
            wait_until,
            turn.now + PARK_S,
            handed_over=True,
        )
