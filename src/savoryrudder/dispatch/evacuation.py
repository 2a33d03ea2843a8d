"""Keep new tasks away from the executors of evacuated availability zones.

The operator evacuates a zone, and the entry reads so from the store. Tasks that
were started there end normally. Agents are told as well and refuse starts, so
that an entry without access to the store starts nothing there either.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import overload
from savoryrudder.protocol.evacuation import UNREAD_ZONES

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import EvacuationsRead
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn
    from savoryrudder.protocol.evacuation import EvacuatedZones


def apply(state: DispatchState, turn: Turn, event: EvacuationsRead) -> None:
    """Apply the set of evacuated zones, unless a newer one is known.

    Queued jobs that cannot be served by the other zones are refused.
    """
    former = state.evacuation
    revision, zones = event.evacuation
    if revision <= former.revision:
        return
    state.evacuation = event.evacuation
    is_changed = zones != former.zones or former == UNREAD_ZONES
    _log_changes(state, turn, former)
    for link, agent in state.agents.items():
        if is_changed or _is_misinformed(state, agent):
            tell(state, turn, link)
            update_agent(state, agent)
            state.capacity.update(link, agent)
            state.placement_due = True
    if zones and is_changed:
        _refuse_queued(state, turn)


def tell(state: DispatchState, turn: Turn, link: str) -> None:
    """Tell an agent which zones are evacuated, if this entry has read it.

    An empty set is told as well: the agent may know an outdated one.
    """
    if state.evacuation != UNREAD_ZONES:
        turn.send(link, state.evacuation)


def update_agent(state: DispatchState, agent: AgentView) -> None:
    """Update whether an agent gets no tasks because of its zone.

    One that has heard of a newer set decides by itself: an entry that has lost
    the store does not read that the zone was restored.
    """
    revision, zones = state.evacuation
    report = agent.report
    is_outdated = report is not None and report.zones_revision > revision
    agent.evacuated = agent.zone in zones and not is_outdated


def _is_misinformed(state: DispatchState, agent: AgentView) -> bool:
    # This entry may have missed a change that others told the agent, and the
    # next one that undid it.
    report = agent.report
    return report is not None and report.evacuated != (
        agent.zone in state.evacuation.zones
    )


def _log_changes(
    state: DispatchState,
    turn: Turn,
    former: EvacuatedZones,
) -> None:
    revision, zones = state.evacuation
    for evacuated in sorted(set(zones) - set(former.zones)):
        turn.count('zones_evacuated')
        turn.log('zone-evacuated', zone=evacuated, revision=revision)
    for restored in sorted(set(former.zones) - set(zones)):
        turn.count('zones_restored')
        turn.log('zone-restored', zone=restored, revision=revision)


def _refuse_queued(state: DispatchState, turn: Turn) -> None:
    # A job that may have run is not refused: it waits until its time limit.
    if turn.now < state.warm_up_until:
        return
    for _, _, job_id in tuple(state.job_queue):
        job = state.jobs[job_id]
        refusal = admission.refusal_without_executors(
            state,
            job.queue.service,
            job.request,
        )
        if refusal is not None and not job.may_have_run:
            turn.count('evacuation_refusals')
            jobs.answer(state, turn, job, refusal)
    overload.answer_hopeless(state, turn)
