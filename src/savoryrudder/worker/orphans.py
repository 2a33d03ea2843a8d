"""Track runs whose owner, the entry that started them, is not linked.

Callers of a lost entry submit their jobs to others, which cannot know what runs
here. So the agent tells all linked entries which jobs have such runs, and again
once these have ended.

An entry that cannot hear of it counts on the end of the runs of a lost agent
within a fixed time. Stops may stay unanswered for longer, so that the lease is
withheld before: it ends other runs here, too, unless the stops are answered
meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work
from savoryrudder.utils.task_names import describe_tasks
from savoryrudder.worker import stops
from savoryrudder.worker.state import OrphanBasis
from savoryrudder.worker.state import Phase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn


def stop_runs(state: WorkerState, turn: Turn) -> None:
    """Stop the runs of owners that have been away for a while."""
    cutoff = turn.now - state.timing.owner_grace_s
    for owner, lost_at in tuple(state.lost_owners.items()):
        if lost_at > cutoff:
            continue
        if state.has_runs_of(owner):
            _stop_runs_of(state, turn, owner)
        else:
            state.lost_owners.pop(owner)


def withhold_lease(state: WorkerState, turn: Turn) -> None:
    """Withhold the lease while runs of a lost owner are left for too long."""
    cutoff = turn.now - state.timing.orphan_lease_s
    is_withheld = any(
        lost_at <= cutoff and state.has_runs_of(owner)
        for owner, lost_at in state.lost_owners.items()
    )
    if is_withheld != state.lease_withheld:
        state.lease_withheld = is_withheld
        turn.count('leases_withheld', int(is_withheld))
        turn.log(
            'lease-withheld' if is_withheld else 'lease-released',
            stopping=len(state.stopping),
            runs=len(state.runs),
        )


def due_times(state: WorkerState) -> Iterator[float]:
    """Yield when the runs of lost owners are to be stopped."""
    timing = state.timing
    for lost_at in state.lost_owners.values():
        yield lost_at + timing.owner_grace_s
        yield lost_at + timing.orphan_lease_s


def tell_entries(state: WorkerState, turn: Turn) -> None:
    """Tell the linked entries of a change of the jobs without their owner."""
    owners = state.owners - state.linked_entries
    if not (owners or state.stray_runs or state.orphaned_jobs):
        return
    basis = OrphanBasis(frozenset(owners), state.job_changes)
    if basis != state.orphan_basis:
        state.orphan_basis = basis
        jobs = tuple(sorted(set(_jobs_of(state, owners))))
        if jobs != state.orphaned_jobs:
            state.orphaned_jobs = jobs
    for name, link in state.links.items():
        # The list that was told is the same object, and may be long.
        if link.incarnation and link.orphaned_jobs is not state.orphaned_jobs:
            link.orphaned_jobs = state.orphaned_jobs
            turn.send(name, work.OrphanedJobs(state.orphaned_jobs))


def _stop_runs_of(state: WorkerState, turn: Turn, owner: str) -> None:
    stopped: dict[str, list[str]] = {}
    for run in state.runs.values():
        if run.owner == owner and run.phase is not Phase.stopping:
            stopped.setdefault(run.job, []).append(run.task)
            stops.stop_run(state, run)
    for tasks in stopped.values():
        turn.log('owner-lost', entry=owner, **describe_tasks(tasks))


def _jobs_of(state: WorkerState, owners: set[str]) -> Iterator[str]:
    for owner in owners:
        yield from state.jobs_of(owner)
    for task, _ in state.stray_runs:
        yield work.job_of_task(task)
