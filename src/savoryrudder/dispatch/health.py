"""Judge executors by how their tasks end and how fast they go on.

An executor that fails several tasks in a row gets none for a while, longer
with each relapse, and then one at a time until one succeeds. A slow one is
used when no other has room, and its tasks move where they end sooner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch.room import may_start
from savoryrudder.dispatch.state import TaskState
from savoryrudder.protocol import work
from savoryrudder.worker import outcomes

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import Task
    from savoryrudder.dispatch.turn import Turn

# Weight of the latest duration in the moving average of an executor.
_SMOOTHING: Final = 0.05
_SLOWEST: Final = 20
_FAILURES_IN_A_ROW: Final = 3
_AVOIDANCE_S: Final = 1
_LONGEST_AVOIDANCE_S: Final = 8
_SLOW_MEMORY_S: Final = 4
_SLOW_FACTOR: Final = 3
# A task moves if that saves at least this share of its estimate.
_MOVE_GAIN: Final = 0.3


def avoided_links(state: DispatchState, now: float) -> set[str]:
    """Return the links whose executors get no tasks at present.

    When that would be most of them, the fault is not with the executors.
    """
    usable = [link for link, agent in state.agents.items() if agent.usable]
    avoided = {link for link in usable if is_avoided(state.agents[link], now)}
    return avoided if 2 * len(avoided) <= len(usable) else set()


def is_avoided(agent: AgentView, now: float) -> bool:
    """Tell whether an executor fails tasks or is far too slow."""
    if slowness_of(agent, now) >= _SLOW_FACTOR:
        return True
    if agent.recent_failures < _FAILURES_IN_A_ROW:
        return False
    return now < agent.failing_until or agent.in_flight > 0


def slowness_of(agent: AgentView, now: float) -> float:
    """Return how long tasks take there, relative to their estimates."""
    return agent.slowness if now < agent.slow_until else 1


def note_end(
    turn: Turn,
    agent: AgentView,
    job: Job,
    task: Task,
    ended: work.TaskEnded,
) -> None:
    """Learn from the end of a run."""
    if ended.outcome == outcomes.FAILED:
        note_failure(turn, agent, ended.reason)
    if ended.outcome != outcomes.DONE:
        return
    agent.recent_failures = 0
    estimate_ms = max(job.steps[task.step].step.estimate_ms, 1)
    ratio = min(ended.duration_ms / estimate_ms, _SLOWEST)
    agent.usual_slowness += _SMOOTHING * (ratio - agent.usual_slowness)


def note_failure(turn: Turn, agent: AgentView, reason: str) -> None:
    """Count a failure, and avoid the executor after several."""
    agent.recent_failures += 1
    relapses = agent.recent_failures - _FAILURES_IN_A_ROW
    if relapses < 0:
        return
    pause_s = min(_AVOIDANCE_S * 2**relapses, _LONGEST_AVOIDANCE_S)
    agent.failing_until = turn.now + pause_s
    turn.count('executors_avoided')
    turn.log(
        'executor-avoided',
        agent=agent.agent,
        failures=agent.recent_failures,
        pause_s=pause_s,
        reason=reason,
    )


def take_slow_run(
    state: DispatchState,
    turn: Turn,
    link: str,
    slow: work.SlowRun,
) -> None:
    """Note a slow run, and move its task if it ends sooner elsewhere."""
    agent = state.agents[link]
    if slow.slowness:
        agent.slowness = min(slow.slowness, _SLOWEST)
        agent.slow_until = turn.now + _SLOW_MEMORY_S
        if slow.remaining_ms < 0:
            note_failure(turn, agent, 'no progress')
    found = _placed_task(state, slow)
    if found is None:
        return
    job, task = found
    is_moved = slow.remaining_ms < 0 or _ends_sooner_elsewhere(
        state,
        turn.now,
        job,
        task,
        slow,
    )
    turn.log(
        'task-slow',
        task=task.name,
        agent=agent.agent,
        slowness=slow.slowness,
        remaining_ms=slow.remaining_ms,
        moved=is_moved,
    )
    if is_moved:
        task.moved = True
        task.avoided = task.avoided | {agent.agent}
        turn.send(link, work.StopTask(task.name, task.run))


def _placed_task(
    state: DispatchState,
    slow: work.SlowRun,
) -> tuple[Job, Task] | None:
    job = state.jobs.get(slow.task.partition('.')[0])
    if job is None or job.ended:
        return None
    task = job.tasks.get(slow.task)
    if task is None or task.run != slow.run:
        return None
    return (job, task) if task.state is TaskState.placed else None


def _ends_sooner_elsewhere(
    state: DispatchState,
    now: float,
    job: Job,
    task: Task,
    slow: work.SlowRun,
) -> bool:
    if task.moved:
        # It is slow wherever it runs.
        return False
    step = job.steps[task.step].step
    for other in state.agents.values():
        if other.agent == task.agent or is_avoided(other, now):
            continue
        if not may_start(other, job.queue.service, step):
            continue
        expected_ms = step.estimate_ms * (slowness_of(other, now) + _MOVE_GAIN)
        if expected_ms < slow.remaining_ms:
            return True
    return False
