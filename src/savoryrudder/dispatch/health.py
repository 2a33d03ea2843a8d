"""Track the health of executors by the failures and speed of their tasks.

An executor that fails several tasks in a row is avoided for a while, longer
after each further failure, and then gets one task at a time until one
succeeds. A slow executor is used when no other has free resources, and its
tasks are moved to executors that are expected to complete them sooner.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch import runs
from savoryrudder.dispatch.eligibility import can_start
from savoryrudder.dispatch.state import TaskState
from savoryrudder.protocol import work
from savoryrudder.worker import outcomes

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import Task
    from savoryrudder.dispatch.turn import Turn

_MIN_SLOWNESS: Final = 0.1
_MAX_SLOWNESS: Final = 20
_FAILURE_THRESHOLD: Final = 3
_MIN_AVOIDANCE_S: Final = 1
_MAX_AVOIDANCE_S: Final = 8
_SLOWNESS_VALIDITY_S: Final = 4
_SLOWNESS_THRESHOLD: Final = 3
# A task is moved if that saves at least this share of its estimate.
_MIN_MOVE_GAIN: Final = 0.3


def update_avoidance(state: DispatchState, now: float) -> None:
    """Decide whether executors that look faulty are avoided.

    If more than half of the usable executors do, the cause is probably not
    theirs, and none is avoided.
    """
    usable = [agent for agent in state.agents.values() if agent.usable]
    state.typical_slowness = _typical_slowness(usable, now)
    avoided = sum(1 for agent in usable if is_avoided(agent, now))
    state.avoidance_enabled = 2 * avoided <= len(usable)


def _typical_slowness(usable: list[AgentView], now: float) -> float:
    if not usable:
        return 1
    total_speed = sum(1 / expected_slowness(agent, now) for agent in usable)
    return len(usable) / total_speed


def is_avoided(agent: AgentView, now: float) -> bool:
    """Return whether an executor fails tasks repeatedly or is too slow."""
    if slowness_of(agent, now) >= _SLOWNESS_THRESHOLD:
        return True
    if agent.consecutive_failures < _FAILURE_THRESHOLD:
        return False
    return now < agent.avoided_until or bool(agent.runs)


def slowness_of(agent: AgentView, now: float) -> float:
    """Return the current task duration relative to the estimate."""
    return agent.reported_slowness if now < agent.slow_until else 1


def expected_slowness(agent: AgentView, now: float) -> float:
    """Return how long tasks are expected to take, relative to the estimate.

    An agent knows the speed of its executor from all completed runs; a slow run
    is newer.
    """
    if now < agent.slow_until or agent.report is None:
        return slowness_of(agent, now)
    return min(max(_MIN_SLOWNESS, agent.report.slowness), _MAX_SLOWNESS)


def record_task_end(
    turn: Turn,
    agent: AgentView,
    ended: work.TaskEnded,
) -> None:
    """Update the failure count after a run."""
    if ended.outcome == outcomes.FAILED:
        record_failure(turn, agent, ended.reason)
    elif ended.outcome == outcomes.DONE:
        agent.consecutive_failures = 0


def record_failure(turn: Turn, agent: AgentView, reason: str) -> None:
    """Count a failure; avoid the executor after several in a row."""
    agent.consecutive_failures += 1
    excess_failures = agent.consecutive_failures - _FAILURE_THRESHOLD
    if excess_failures < 0:
        return
    pause_s = min(_MIN_AVOIDANCE_S * 2**excess_failures, _MAX_AVOIDANCE_S)
    agent.avoided_until = turn.now + pause_s
    turn.count('executors_avoided')
    turn.log(
        'executor-avoided',
        agent=agent.name,
        failures=agent.consecutive_failures,
        pause_s=pause_s,
        reason=reason,
    )


def handle_slow_run(
    state: DispatchState,
    turn: Turn,
    link: str,
    slow_run: work.SlowRun,
) -> None:
    """Handle the report of a slow run.

    Its task is moved if it makes no progress or would end sooner elsewhere.
    """
    agent = state.agents[link]
    placed = _find_placed_task(state, agent, slow_run)
    # A task that was slow at another executor, too, says nothing of this one.
    was_moved = placed is not None and placed[1].moved
    if slow_run.slowness and not slow_run.sound_executor and not was_moved:
        agent.reported_slowness = min(slow_run.slowness, _MAX_SLOWNESS)
        agent.slow_until = turn.now + _SLOWNESS_VALIDITY_S
    if slow_run.slowness and slow_run.remaining_ms < 0:
        record_failure(turn, agent, 'no progress')
    if placed is None:
        return
    job, task = placed
    is_moved = slow_run.remaining_ms < 0 or _ends_sooner_elsewhere(
        state,
        turn.now,
        job,
        task,
        slow_run,
    )
    turn.log(
        'task-slow',
        task=task.name,
        agent=agent.name,
        slowness=slow_run.slowness,
        remaining_ms=slow_run.remaining_ms,
        sound_executor=slow_run.sound_executor,
        moved=is_moved,
    )
    if is_moved:
        task.moved = True
        task.avoided_agents = task.avoided_agents | {agent.name}
        turn.send(link, work.StopTask(*job.run_id_of(task)))


def _find_placed_task(
    state: DispatchState,
    agent: AgentView,
    slow_run: work.SlowRun,
) -> tuple[Job, Task] | None:
    run_id = runs.complete(state, slow_run.run_id)
    found = runs.find(state, agent, run_id)
    if found is None or found.job.ended:
        return None
    return found if found.task.state is TaskState.placed else None


def _ends_sooner_elsewhere(
    state: DispatchState,
    now: float,
    job: Job,
    task: Task,
    slow_run: work.SlowRun,
) -> bool:
    if task.moved:
        # The task was slow at another executor, too: moving does not help.
        return False
    calibration = state.run_times.calibration_of(job.queue.name)
    if slow_run.sound_executor and calibration.stay_slow:
        return False
    step = job.steps[task.step_index].step
    service = job.queue.service
    for link in chain(
        *state.capacity.links_with_room(service, step.demand.cpu),
    ):
        candidate = state.agents[link]
        if candidate.name == task.agent or is_avoided(candidate, now):
            continue
        if not can_start(candidate, service, step):
            continue
        expected_ms = step.estimate_ms * (
            expected_slowness(candidate, now) + _MIN_MOVE_GAIN
        )
        if expected_ms < slow_run.remaining_ms:
            return True
    return False
