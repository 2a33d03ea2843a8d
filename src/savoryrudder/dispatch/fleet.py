"""Track agents, the free resources of their executors, and their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import calibration
from savoryrudder.dispatch import evacuation
from savoryrudder.dispatch import health
from savoryrudder.dispatch import jobs
from savoryrudder.dispatch import orphans
from savoryrudder.dispatch import runs
from savoryrudder.dispatch.claims import send_hello
from savoryrudder.dispatch.state import AgentView
from savoryrudder.dispatch.state import TaskState
from savoryrudder.dispatch.state import UnreportedStart
from savoryrudder.jobs.model import NO_RESOURCES
from savoryrudder.protocol import work
from savoryrudder.utils.effects import SetCarriesWork
from savoryrudder.utils.task_names import describe_tasks
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from savoryrudder.dispatch.placement import Placement
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import Task
    from savoryrudder.dispatch.turn import Turn

# Outcomes that free the resources of a run. A lost run may still be using
# them; they are free again when the executor reports so.
_RELEASING_OUTCOMES: Final = frozenset(
    (outcomes.DONE, outcomes.FAILED, outcomes.STOPPED),
)
# Added to the run number that an executor rejected as outdated, to exceed the
# numbers of all earlier runs of the task there.
_RUN_NUMBER_INCREMENT: Final = 8


def apply_placement(
    state: DispatchState,
    turn: Turn,
    placement: Placement,
) -> work.StartTask:
    """Record that a task is placed; return the message that starts it."""
    job, task, link = placement
    agent = state.agents[link]
    progress = job.steps[task.step_index]
    progress.waiting.remove(task)
    task.state = TaskState.placed
    task.agent = agent.name
    task.run += 1
    job.outstanding += 1
    if job.started_at is None:
        job.started_at = turn.now
        turn.observe('job_wait', turn.now - job.arrived_at)
    if not job.has_waiting_tasks:
        jobs.dequeue(state, job)
    agent.starts_sent += 1
    run_id = job.run_id_of(task)
    agent.runs.add(run_id)
    _update_carries_work(turn, link, agent)
    demand = progress.step.demand
    agent.unreported_starts[agent.starts_sent] = UnreportedStart(run_id, demand)
    agent.free = agent.free.minus(demand)
    state.capacity.update(link, agent)
    return work.StartTask(
        agent.starts_sent,
        task.name,
        task.run,
        job.request.spec,
        demand,
        progress.step.estimate_ms,
        durable=False,
        job_number=run_id.job_number,
    )


def register_agent(
    state: DispatchState,
    turn: Turn,
    link: str,
    hello: work.AgentHello,
) -> None:
    """Register an agent; a former link of the same agent is dropped."""
    former_link = state.links_by_agent.get(hello.agent)
    if former_link is not None:
        remove_link(state, turn, former_link, 'replaced by a new link')
    state.links_by_agent[hello.agent] = link
    state.unidentified_links.pop(link, None)
    state.agents[link] = AgentView(
        hello.agent,
        hello.incarnation,
        hello.zone,
        batches=hello.batches,
    )
    turn.log('agent-linked', agent=hello.agent, link=link)
    send_hello(state, turn, link)


def remove_link(
    state: DispatchState,
    turn: Turn,
    link: str,
    reason: str,
) -> None:
    """Handle the loss of a link.

    If it led to an agent, the runs there may continue for up to `settle_s`, so
    their tasks become unsettled.
    """
    state.unidentified_links.pop(link, None)
    state.unacknowledged_ends.pop(link, None)
    if link not in state.agents:
        return
    orphans.lose_agent(state, turn.now, link)
    agent = state.agents.pop(link)
    state.capacity.remove(link)
    state.links_by_agent.pop(agent.name)
    tasks = [
        task
        for _, task in _tasks_of_agent(state, agent.name)
        if task.state is TaskState.placed
    ]
    for task in tasks:
        task.state = TaskState.unsettled
        task.settled_at = turn.now + state.timing.settle_s
    if tasks:
        state.unsettled_agents.add(agent.name)
    turn.log(
        'agent-lost',
        agent=agent.name,
        reason=reason,
        tasks=len(tasks),
    )


def reconcile_tasks(
    state: DispatchState,
    turn: Turn,
    link: str,
    message: work.RunningTasks,
) -> None:
    """Reconcile unsettled tasks with the runs that an agent lists."""
    agent = state.agents[link]
    listed = {runs.complete(state, run_id) for run_id in message.run_ids}
    for job, task in _tasks_of_agent(state, agent.name):
        if task.state is not TaskState.unsettled:
            continue
        run_id = job.run_id_of(task)
        if run_id in listed:
            task.state = TaskState.placed
            if job.ended:
                turn.send(link, work.StopTask(*run_id))
    orphans.release_unlisted(state, link)
    agent.reconciled = True
    agent.runs.update(listed)
    _update_carries_work(turn, link, agent)
    _rank(state, link)


def update_executor(
    state: DispatchState,
    turn: Turn,
    link: str,
    report: work.ExecutorReport,
) -> None:
    """Update the capacity and free resources of an executor."""
    agent = state.agents[link]
    agent.report = report
    evacuation.update_agent(state, agent)
    for number in tuple(agent.unreported_starts):
        if number <= report.starts_seen:
            agent.unreported_starts.pop(number)
    _update_free(agent)
    _rank(state, link)
    if report.accepting and agent.name in state.unsettled_agents:
        # Any run that the agent did not list has ended.
        state.unsettled_agents.discard(agent.name)
        _requeue_unsettled(state, turn, agent.name)


def handle_task_end(
    state: DispatchState,
    turn: Turn,
    link: str,
    ended: work.TaskEnded,
) -> None:
    """Handle the end of a run: complete, fail or requeue its task."""
    agent = state.agents[link]
    run_id = runs.complete(state, ended.run_id)
    found = runs.find(state, agent, run_id)
    _release_resources(agent, ended.outcome, run_id, found)
    _rank(state, link)
    state.unacknowledged_ends.setdefault(link, []).append(ended.run_id)
    agent.runs.discard(run_id)
    _update_carries_work(turn, link, agent)
    if found is None:
        return
    job, task = found
    if task.state not in {TaskState.placed, TaskState.unsettled}:
        return
    health.record_task_end(turn, agent, ended)
    calibration.record_run(state, turn, agent, found, ended)
    if ended.outcome == outcomes.DONE:
        _complete_task(state, turn, job, task)
    elif ended.outcome == outcomes.FAILED:
        _fail_task(state, turn, job, task)
    else:
        if ended.reason == verdicts.OUTDATED:
            task.run += _RUN_NUMBER_INCREMENT
        if ended.outcome == outcomes.LOST:
            task.avoided_agents = {agent.name}
        _requeue_task(state, job, task)
    jobs.remove_if_settled(state, job)


def send_starts(
    state: DispatchState,
    turn: Turn,
    link: str,
    starts: list[work.StartTask],
) -> None:
    """Send the starts of a step's tasks, in the order of their numbers."""
    # Acknowledgements of earlier ends share the frame of the starts.
    _acknowledge_ends(state, turn, link)
    first = starts[0]
    if len(starts) > 1 and state.agents[link].batches:
        turn.send(
            link,
            work.StartTasks(
                first.number,
                tuple((start.task, start.run) for start in starts),
                *first[3:],
            ),
        )
        return
    for start in starts:
        turn.send(link, start)


def acknowledge_ends(state: DispatchState, turn: Turn) -> None:
    """Acknowledge the ends of runs to their agents at intervals."""
    if turn.now < state.acknowledged_at + state.timing.acknowledgement_s:
        return
    state.acknowledged_at = turn.now
    for link in tuple(state.unacknowledged_ends):
        _acknowledge_ends(state, turn, link)


def _acknowledge_ends(state: DispatchState, turn: Turn, link: str) -> None:
    ends = state.unacknowledged_ends.pop(link, None)
    if ends:
        turn.send(link, work.EndsAcknowledged.of(ends))


def requeue_overdue(state: DispatchState, turn: Turn) -> None:
    """Requeue tasks of lost agents whose runs must have ended by now."""
    if not state.unsettled_agents:
        return
    unsettled = _unsettled_tasks(state)
    state.unsettled_agents = {
        task.agent for _, task in unsettled if task.settled_at > turn.now
    }
    settled = [
        (job, task) for job, task in unsettled if task.settled_at <= turn.now
    ]
    _log_settled(turn, settled)
    for job, task in settled:
        _requeue_task(state, job, task)
        jobs.remove_if_settled(state, job)


def _unsettled_tasks(state: DispatchState) -> list[tuple[Job, Task]]:
    return [
        (job, task)
        for job in state.jobs.values()
        if job.outstanding
        for task in job.tasks.values()
        if task.state is TaskState.unsettled
    ]


def _rank(state: DispatchState, link: str) -> None:
    if state.capacity.update(link, state.agents[link]):
        state.placement_due = True


def _update_carries_work(turn: Turn, link: str, agent: AgentView) -> None:
    carries_work = bool(agent.runs)
    if carries_work != agent.carries_work:
        agent.carries_work = carries_work
        turn.effects.append(SetCarriesWork(link, carries_work))


def _requeue_unsettled(state: DispatchState, turn: Turn, agent: str) -> None:
    settled = [
        (job, task)
        for job, task in _tasks_of_agent(state, agent)
        if task.state is TaskState.unsettled
    ]
    _log_settled(turn, settled)
    for job, task in settled:
        _requeue_task(state, job, task)
        jobs.remove_if_settled(state, job)


def _log_settled(turn: Turn, settled: list[tuple[Job, Task]]) -> None:
    # Thousands of tasks may be settled at one moment.
    tasks_by_group: dict[tuple[str, str], list[str]] = {}
    for job, task in settled:
        group = (job.request.job_id, task.agent)
        tasks_by_group.setdefault(group, []).append(task.name)
    for (_, agent), names in tasks_by_group.items():
        turn.log('task-settled', agent=agent, **describe_tasks(names))


def _tasks_of_agent(state: DispatchState, agent: str) -> list[tuple[Job, Task]]:
    return [
        (job, task)
        for job in state.jobs.values()
        if job.outstanding
        for task in job.tasks.values()
        if task.agent == agent
    ]


def _complete_task(
    state: DispatchState,
    turn: Turn,
    job: Job,
    task: Task,
) -> None:
    task.state = TaskState.done
    task.agent = ''
    job.outstanding -= 1
    progress = job.steps[task.step_index]
    progress.remaining -= 1
    if job.ended:
        return
    if any(step.remaining for step in job.steps):
        if progress.remaining == 0:
            jobs.unlock_steps(job)
            jobs.enqueue(state, job)
        return
    jobs.answer(state, turn, job, answers.Answer(answers.COMPLETED))


def _fail_task(state: DispatchState, turn: Turn, job: Job, task: Task) -> None:
    task.failures += 1
    task.avoided_agents = task.avoided_agents | {task.agent}
    _requeue_task(state, job, task)
    if task.failures >= job.queue.attempts and not job.ended:
        failure = answers.Answer(
            answers.FAILED,
            f'a task failed {task.failures} times',
        )
        jobs.answer(state, turn, job, failure)


def _requeue_task(state: DispatchState, job: Job, task: Task) -> None:
    task.state = TaskState.waiting
    task.agent = ''
    job.outstanding -= 1
    job.steps[task.step_index].waiting.append(task)
    if not job.ended:
        jobs.enqueue(state, job)


def _release_resources(
    agent: AgentView,
    outcome: str,
    run_id: work.RunId,
    found: runs.CurrentRun | None,
) -> None:
    if outcome == outcomes.NOT_STARTED:
        # There is less free than the entry takes for free. The report that
        # follows tells how much.
        agent.free = NO_RESOURCES
        return
    for number, start in tuple(agent.unreported_starts.items()):
        if start.run_id == run_id:
            # The reported free resources do not include this run yet.
            agent.unreported_starts.pop(number)
            _update_free(agent)
            return
    if outcome not in _RELEASING_OUTCOMES:
        return
    if found is not None:
        # Counted as free now; the next report replaces this value.
        demand = found.job.steps[found.task.step_index].step.demand
        agent.free = agent.free.plus(demand)


def _update_free(agent: AgentView) -> None:
    if agent.report is None:
        return
    agent.free = agent.report.free
    for start in agent.unreported_starts.values():
        agent.free = agent.free.minus(start.demand)
