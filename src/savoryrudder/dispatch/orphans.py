"""Track jobs with runs at agents that have lost the entry that started them.

The agents tell which jobs these are, and when the runs have ended. Until then
no entry starts such a job, however long it takes. The runs of an agent that is
lost meanwhile have ended after `settle_s`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.protocol.work import OrphanedJobs


def record(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: OrphanedJobs,
) -> None:
    """Record which jobs an agent has runs of without their owner."""
    agent = state.agents[link]
    former = agent.orphaned_jobs
    agent.orphaned_jobs = frozenset(message.jobs)
    turn.log(
        'jobs-orphaned',
        agent=agent.name,
        added=' '.join(sorted(agent.orphaned_jobs - former)),
        ended=' '.join(sorted(former - agent.orphaned_jobs)),
    )
    for job_id in agent.orphaned_jobs - former:
        _hold(state, job_id, agent.incarnation, math.inf)
    for job_id in former - agent.orphaned_jobs:
        _release(state, job_id, agent.incarnation)


def lose_agent(state: DispatchState, now: float, link: str) -> None:
    """Let the jobs wait until the runs of a lost agent have ended."""
    agent = state.agents[link]
    for job_id in agent.orphaned_jobs:
        settled_at = now + state.timing.settle_s
        _hold(state, job_id, agent.incarnation, settled_at)


def release_unlisted(state: DispatchState, link: str) -> None:
    """Release the jobs that an agent, linked again, does not list any more."""
    agent = state.agents[link]
    for job_id, holders in tuple(state.orphan_holders.items()):
        if agent.incarnation in holders and job_id not in agent.orphaned_jobs:
            _release(state, job_id, agent.incarnation)


def release_settled(state: DispatchState, now: float) -> None:
    """Release the jobs whose runs at lost agents have ended."""
    for job_id, holders in tuple(state.orphan_holders.items()):
        for incarnation, settled_at in tuple(holders.items()):
            if settled_at <= now:
                _release(state, job_id, incarnation)


def _hold(
    state: DispatchState,
    job_id: str,
    incarnation: str,
    settled_at: float,
) -> None:
    if job_id not in state.orphan_holders:
        state.orphan_holders[job_id] = {}
        state.record_orphan(job_id)
    state.orphan_holders[job_id][incarnation] = settled_at


def _release(state: DispatchState, job_id: str, incarnation: str) -> None:
    holders = state.orphan_holders.get(job_id, {})
    holders.pop(incarnation, None)
    if not holders and state.orphan_holders.pop(job_id, None) is not None:
        state.record_release(job_id)
