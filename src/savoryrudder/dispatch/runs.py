"""Find the tasks whose runs agents report.

A job that was removed and submitted again numbers the runs of its tasks from 1
again, so an agent may still report a run of the removed one that has the task
and the number of a current run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from savoryrudder.protocol import work

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.dispatch.state import Task


class CurrentRun(NamedTuple):
    """Hold a task with its job, for the latest run of the task."""

    job: Job
    task: Task


def find(
    state: DispatchState,
    agent: AgentView,
    run_id: work.RunId,
) -> CurrentRun | None:
    """Return the task of a run, if it is the latest one and at that agent."""
    job = _find_job(state, run_id)
    task = job.tasks.get(run_id.task) if job else None
    if job is None or task is None or task.agent != agent.name:
        return None
    is_latest = job.run_id_of(task) == run_id
    return CurrentRun(job, task) if is_latest else None


def complete(state: DispatchState, run_id: work.RunId) -> work.RunId:
    """Add the job's number to the identity from an agent that sends none."""
    job = _find_job(state, run_id)
    if job is None or run_id.job_number != work.NO_JOB_NUMBER:
        return run_id
    return run_id._replace(job_number=job.sequence_number)


def _find_job(state: DispatchState, run_id: work.RunId) -> Job | None:
    return state.jobs.get(run_id.task.partition('.')[0])
