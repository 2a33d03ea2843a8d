"""Apply the events of an entry to its state and return the effects."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import TypeAlias

from savoryrudder.dispatch import admission
from savoryrudder.dispatch import answers
from savoryrudder.dispatch import calibration
from savoryrudder.dispatch import claims
from savoryrudder.dispatch import contested
from savoryrudder.dispatch import delegation
from savoryrudder.dispatch import drain_rate
from savoryrudder.dispatch import draining
from savoryrudder.dispatch import evacuation
from savoryrudder.dispatch import events
from savoryrudder.dispatch import fleet
from savoryrudder.dispatch import foreign_jobs
from savoryrudder.dispatch import health
from savoryrudder.dispatch import isolation
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import orphans
from savoryrudder.dispatch import overload
from savoryrudder.dispatch import peer_links
from savoryrudder.dispatch import peer_load
from savoryrudder.dispatch import queries
from savoryrudder.dispatch import relays
from savoryrudder.dispatch import starts
from savoryrudder.dispatch.turn import Turn
from savoryrudder.protocol import delegation as protocol
from savoryrudder.protocol import relay
from savoryrudder.protocol import run_times
from savoryrudder.protocol import work
from savoryrudder.utils.effects import CloseLink

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from savoryrudder.dispatch.effects import DispatchEffect
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.jobs.model import Queue

_Handlers: TypeAlias = 'Mapping[type[Any], Callable[..., None]]'

_RETRY_SOON_S: Final = 1


def reduce(
    state: DispatchState,
    event: events.DispatchEvent,
) -> list[DispatchEffect]:
    """Apply an event to the state in place and return its effects."""
    turn = Turn(event.now)
    _EVENT_HANDLERS[type(event)](state, turn, event)
    if state.placement_due:
        state.placement_due = False
        starts.start_tasks(state, turn)
    elif not state.job_queue:
        state.drain_rates.clear()
    draining.advance_drain(state, turn)
    return relays.route(state, foreign_jobs.route_answers(state, turn))


def _handle_configuration(
    state: DispatchState,
    turn: Turn,
    event: events.ConfigurationRead,
) -> None:
    configuration = event.configuration
    if configuration.version <= state.configuration.version:
        return
    turn.log(
        'configuration',
        version=configuration.version,
        former=state.configuration.version,
        queues=len(configuration.queues),
    )
    state.configuration = configuration
    state.refusal_shares.forget_others(configuration.queues.keys())


def _handle_members(
    state: DispatchState,
    turn: Turn,
    event: events.MembersRead,
) -> None:
    relays.expect_members(state, turn, event.entries)


def _handle_evacuations(
    state: DispatchState,
    turn: Turn,
    event: events.EvacuationsRead,
) -> None:
    evacuation.apply(state, turn, event)


def _handle_job_submitted(
    state: DispatchState,
    turn: Turn,
    event: events.JobSubmitted,
) -> None:
    if delegation.join(state, event):
        return
    immediate_answer = _immediate_answer(state, event)
    is_refused = (
        immediate_answer is not None
        and admission.is_for_want_of_capacity(immediate_answer)
    )
    if immediate_answer is not None and not is_refused:
        _answer_at_once(state, turn, event, immediate_answer)
        return
    is_duplicate = event.job.job_id in state.jobs
    if not is_duplicate:
        if contested.defer_if_claimed(state, turn, event):
            return
        queue = _find_queue(state, event.host, event.path)
        if delegation.delegate(
            state,
            turn,
            event,
            queue,
            is_refused=is_refused,
        ):
            return
        overload.record_arrival(state, turn, event, queue)
        if immediate_answer is not None and not _make_room(
            state,
            turn,
            event,
            immediate_answer,
        ):
            return
    job = state.jobs.get(event.job.job_id) or _accept_job(state, turn, event)
    if job.ended:
        _revive_job(state, turn, job, event)
    job.open_requests.add(event.request_id)
    state.open_requests[event.request_id] = event.job.job_id


def _make_room(
    state: DispatchState,
    turn: Turn,
    event: events.JobSubmitted,
    refusal: answers.Answer,
) -> bool:
    """Turn away other jobs or this one; return whether it has room now."""
    queue = _find_queue(state, event.host, event.path)
    is_overloaded = refusal.verdict == answers.OVERLOADED
    if is_overloaded and overload.make_room(state, turn, event, queue):
        return True
    is_refused = _answer_at_once(state, turn, event, refusal)
    if is_overloaded and is_refused:
        overload.record_refusal(state, turn, event, queue)
    return False


def _answer_at_once(
    state: DispatchState,
    turn: Turn,
    event: events.JobSubmitted,
    immediate_answer: answers.Answer,
) -> bool:
    """Answer a job without accepting it; return whether that is unchanged.

    A refusal that might not be true becomes an interruption.
    """
    turn.count(f'jobs_{immediate_answer.verdict}')
    turn.log(
        'job-refused',
        job=event.job.job_id,
        verdict=immediate_answer.verdict,
        reason=immediate_answer.reason,
        version=state.configuration.version,
        **_known_capacity(state, event),
    )
    is_refusal = immediate_answer.verdict in answers.REFUSALS
    if is_refusal and (
        event.may_have_started or contested.may_run_elsewhere(state, event)
    ):
        interruption = answers.Answer(
            answers.INTERRUPTED,
            immediate_answer.reason,
        )
        turn.reply(event.request_id, interruption)
        return False
    turn.reply(event.request_id, immediate_answer)
    return True


def _immediate_answer(
    state: DispatchState,
    event: events.JobSubmitted,
) -> answers.Answer | None:
    if state.configuration.version < 0:
        return answers.Answer(
            answers.UNAVAILABLE,
            'no configuration yet',
            _RETRY_SOON_S,
        )
    queue = state.configuration.find_queue(event.host, event.path)
    if queue is None:
        return answers.Answer(answers.UNKNOWN_QUEUE)
    if event.unsupported:
        return answers.Answer(answers.UNSUPPORTED, event.unsupported)
    if state.exited:
        return answers.Answer(
            answers.UNAVAILABLE,
            'entry is stopping',
            _RETRY_SOON_S,
        )
    existing_job = state.jobs.get(event.job.job_id)
    if existing_job is not None:
        is_same = existing_job.request == event.job
        return None if is_same else answers.Answer(answers.CONFLICT)
    recent_answer = state.recent_answers.get(event.job.job_id)
    if recent_answer is not None:
        return recent_answer[1]
    return admission.refusal_for(
        state,
        queue,
        event.job,
        event.now,
        is_foreign=event.request_id in state.foreign_requests,
    )


def _accept_job(
    state: DispatchState,
    turn: Turn,
    event: events.JobSubmitted,
) -> Job:
    queue = _find_queue(state, event.host, event.path)
    job = jobs.create(state, event, queue)
    turn.count('jobs_accepted')
    turn.log(
        'job-accepted',
        job=event.job.job_id,
        queue=queue.name,
        tasks=len(job.tasks),
        version=state.configuration.version,
        queued=len(state.job_queue),
    )
    return job


def _known_capacity(
    state: DispatchState,
    event: events.JobSubmitted,
) -> dict[str, int]:
    queue = state.configuration.find_queue(event.host, event.path)
    if queue is None:
        return {}
    drain_cpu = drain_rate.expected_cpu(state, queue.service, event.now)
    return {
        **jobs.describe_capacity(state, queue),
        'drain_cpu': int(drain_cpu),
    }


def _find_queue(state: DispatchState, host: str, path: str) -> Queue:
    queue = state.configuration.find_queue(host, path)
    if queue is None:
        raise LookupError(f'no queue at {host}{path}')
    return queue


def _revive_job(
    state: DispatchState,
    turn: Turn,
    job: Job,
    event: events.JobSubmitted,
) -> None:
    # All callers of the job had disconnected, so its runs were stopped. The
    # tasks are requeued as these runs end.
    jobs.dequeue(state, job)
    job.latest_start += event.now - job.arrived_at
    job.arrived_at = event.now
    job.started_at = None
    job.ended = False
    jobs.enqueue(state, job)
    turn.log('job-revived', job=event.job.job_id, unsettled=job.outstanding)


def _handle_caller_disconnected(
    state: DispatchState,
    turn: Turn,
    event: events.CallerDisconnected,
) -> None:
    job_id = state.open_requests.pop(event.request_id, '')
    if delegation.disconnect(state, turn, event.request_id, job_id):
        return
    job = state.jobs.get(job_id)
    if job is None:
        contested.withdraw_submission(state, event.request_id)
        return
    job.open_requests.discard(event.request_id)
    if job.open_requests or job.ended:
        return
    job.ended = True
    jobs.dequeue(state, job)
    turn.count('jobs_abandoned')
    turn.log('job-abandoned', job=job_id, unsettled=job.outstanding)
    jobs.stop_runs(state, turn, job)
    jobs.remove_if_settled(state, job)


def _handle_link_up(
    state: DispatchState,
    turn: Turn,
    event: events.LinkUp,
) -> None:
    state.unidentified_links[event.link] = event.dialled
    if event.dialled:
        claims.send_hello(state, turn, event.link)


def _handle_link_down(
    state: DispatchState,
    turn: Turn,
    event: events.LinkDown,
) -> None:
    fleet.remove_link(state, turn, event.link, event.reason)
    relays.remove_agent(state, turn, event.link)
    peer = claims.remove_peer(state, turn, event.link)
    if peer is not None and not peer_links.is_relayed(event.link):
        relays.search(state, turn, peer.entry)
    isolation.begin_if_isolated(state, turn)
    _disconnect_foreign_requests(state, turn, event.link)
    for submission in delegation.pop_submissions_at(state, event.link):
        _handle_job_submitted(state, turn, submission)


def _disconnect_foreign_requests(
    state: DispatchState,
    turn: Turn,
    link: str,
    job: str = '',
) -> None:
    for number in foreign_jobs.pop_foreign_requests(state, link, job):
        disconnected = events.CallerDisconnected(turn.now, number)
        _handle_caller_disconnected(state, turn, disconnected)


def _handle_message(
    state: DispatchState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    if event.link in state.agents:
        _handle_agent_message(state, turn, event)
    elif event.link in state.peers:
        _handle_peer_message(state, turn, event)
    elif event.link in state.unidentified_links:
        _handle_hello(state, turn, event)
    else:
        turn.count('wasted_messages')


def _handle_peer_message(
    state: DispatchState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    link = event.link
    match event.message:
        case protocol.EntryLoad():
            peer_load.handle_load(state, turn.now, link, event.message)
        case run_times.RunTimesObserved():
            calibration.handle_observed(state, turn, link, event.message)
        case protocol.DelegateJob():
            submission = foreign_jobs.take(state, turn, link, event.message)
            _handle_job_submitted(state, turn, submission)
        case protocol.DelegatedAnswer():
            for refused in delegation.handle_answer(
                state,
                turn,
                link,
                event.message,
            ):
                _handle_job_submitted(state, turn, refused)
        case protocol.WithdrawJob():
            _disconnect_foreign_requests(state, turn, link, event.message.job)
        case _:
            for resumed in claims.handle_message(
                state,
                turn,
                link,
                event.message,
            ):
                _handle_job_submitted(state, turn, resumed)


def _handle_hello(
    state: DispatchState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    match event.message:
        case work.AgentHello():
            former_link = state.links_by_agent.get(event.message.agent, '')
            fleet.register_agent(state, turn, event.link, event.message)
            evacuation.tell(state, turn, event.link)
            relays.remove_agent(state, turn, former_link)
            relays.ask_agent(state, turn, event.link)
        case work.EntryHello():
            relays.end(state, turn, event.message.entry)
            claims.register_peer(state, turn, event.link, event.message)
            calibration.tell_all(state, turn, event.link)


def _handle_agent_message(
    state: DispatchState,
    turn: Turn,
    event: events.MessageReceived,
) -> None:
    match event.message:
        case work.ExecutorReport():
            fleet.update_executor(state, turn, event.link, event.message)
        case work.RunningTasks():
            fleet.reconcile_tasks(state, turn, event.link, event.message)
        case work.OrphanedJobs():
            orphans.record(state, turn, event.link, event.message)
            _resume_settled(state, turn)
        case work.TaskEnded():
            fleet.handle_task_end(state, turn, event.link, event.message)
        case work.SlowRun():
            health.handle_slow_run(state, turn, event.link, event.message)
        case relay.EntryReachable():
            relays.handle_reachable(state, turn, event.link, event.message)
        case relay.EntryUnreachable(entry):
            relays.handle_unreachable(state, turn, event.link, entry)
        case relay.RelayedClaims():
            _handle_relayed_claims(state, turn, event.link, event.message)


def _handle_relayed_claims(
    state: DispatchState,
    turn: Turn,
    agent_link: str,
    message: relay.RelayedClaims,
) -> None:
    outdated = relays.find_outdated_link(state, turn.now, message)
    if outdated:
        reason = 'the peer has lost it'
        turn.effects.append(CloseLink(outdated, reason))
        lost = events.LinkDown(turn.now, outdated, reason)
        _handle_link_down(state, turn, lost)
    for resumed in relays.receive(state, turn, agent_link, message):
        _handle_job_submitted(state, turn, resumed)


def _handle_tick(
    state: DispatchState,
    turn: Turn,
    event: events.Tick,
) -> None:
    # Executors may be avoided no longer, and jobs be late already.
    state.placement_due = True
    health.update_avoidance(state, turn.now)
    fleet.requeue_overdue(state, turn)
    overload.answer_hopeless(state, turn)
    isolation.forget_old_losses(state, turn.now)
    relays.forget_old_searches(state, turn.now)
    _resume_settled(state, turn)
    jobs.expire_answers(state, turn.now)
    _tell_peers(state, turn, event)
    fleet.acknowledge_ends(state, turn)
    peer_links.end_work(state, turn)


def _tell_peers(
    state: DispatchState,
    turn: Turn,
    event: events.Tick,
) -> None:
    claims.announce_changes(state, turn)
    if event.busy_share is not None:
        peer_load.record_load(state, event.busy_share)
        peer_load.announce_load(state, turn)
    calibration.tell_changes(state, turn)


def _resume_settled(state: DispatchState, turn: Turn) -> None:
    for submission in contested.pop_settled(state, turn):
        _handle_job_submitted(state, turn, submission)


def _handle_stalled(
    state: DispatchState,
    turn: Turn,
    event: events.Stalled,
) -> None:
    turn.log('stalled', stall_s=event.stall_s, jobs=len(state.jobs))
    for link in (*state.agents, *state.peers, *state.unidentified_links):
        turn.effects.append(CloseLink(link, 'process was stalled'))
        lost = events.LinkDown(event.now, link, 'process was stalled')
        _handle_link_down(state, turn, lost)


def _handle_drain(
    state: DispatchState,
    turn: Turn,
    event: events.DrainRequested,
) -> None:
    draining.begin(state, turn, event)


_EVENT_HANDLERS: Final[_Handlers] = MappingProxyType(
    {
        events.ConfigurationRead: _handle_configuration,
        events.MembersRead: _handle_members,
        events.EvacuationsRead: _handle_evacuations,
        events.JobSubmitted: _handle_job_submitted,
        events.JobQueried: queries.answer_query,
        events.JobCancelled: queries.cancel,
        events.CallerDisconnected: _handle_caller_disconnected,
        events.LinkUp: _handle_link_up,
        events.LinkDown: _handle_link_down,
        events.MessageReceived: _handle_message,
        events.Tick: _handle_tick,
        events.Stalled: _handle_stalled,
        events.DrainRequested: _handle_drain,
    }
)
