"""Estimate how fast this entry works off its queue.

Agents share their executors among entries by the starts that they see, and see
nothing of what waits or is refused here. While tasks wait, the rate at which
they are started shows what this entry really gets.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from math import exp
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.dispatch.isolation import is_held_back
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import Job
    from savoryrudder.jobs.model import Step

# Time constant with which the observed rate takes the place of the share.
_AVERAGING_S: Final = 1
# Long tasks free their executors all at once, so a pause between two such
# moments does not mean that this entry gets nothing.
_MIN_PART_OF_SHARE: Final = 0.25
# Queued jobs, the first ones, that are looked at.
_EXAMINED_JOBS: Final = 4


@dataclass(slots=True)
class DrainRate:
    """Average the work that is started a second, in millicores.

    `share_cpu` is what this entry could count on when the rate was observed.
    """

    cpu: float
    updated_at: float
    share_cpu: float = 0

    def add(self, now: float, work_cpu_ms: float) -> None:
        """Add the work of a task that starts now."""
        self.cpu = self.at(now) + work_cpu_ms / MS_PER_S / _AVERAGING_S
        self.updated_at = now

    def follow_share(self, share_cpu: float) -> None:
        """Lower the rate by as much as the share has shrunk."""
        self.cpu *= self.part_left(share_cpu)
        self.share_cpu = share_cpu

    def part_left(self, share_cpu: float) -> float:
        """Return which part of the share, and of the rate, is left."""
        return min(share_cpu / self.share_cpu, 1) if self.share_cpu else 1

    def at(self, now: float) -> float:
        """Return the rate as of now."""
        elapsed_s = max(now - self.updated_at, 0)
        return self.cpu * exp(-elapsed_s / _AVERAGING_S)


def expected_cpu(state: DispatchState, service: str, now: float) -> float:
    """Return the millicores with which tasks of a service will be started."""
    share_cpu = _sound_share_cpu(state, service)
    rate = state.drain_rates.get(service)
    if rate is None:
        return share_cpu
    rate_cpu = rate.at(now) * rate.part_left(share_cpu)
    return max(rate_cpu, _MIN_PART_OF_SHARE * share_cpu)


def record_start(
    state: DispatchState,
    now: float,
    service: str,
    step: Step,
) -> None:
    """Record the start of a task, if tasks of its service have been waiting."""
    rate = state.drain_rates.get(service)
    if rate is not None:
        rate.add(now, step.demand.cpu * step.estimate_ms)


def observe_queue(state: DispatchState, now: float) -> None:
    """Observe the rates of the services whose tasks wait for room.

    The rate of each begins at this entry's share. It is no longer observed once
    no task waits: then it tells the load, not the room.
    """
    examined = (
        state.jobs[job_id]
        for _, _, job_id in islice(state.job_queue, _EXAMINED_JOBS)
    )
    services = {
        job.queue.service for job in examined if _lacks_room(state, job, now)
    }
    for service in state.drain_rates.keys() - services:
        state.drain_rates.pop(service)
    for service, rate in state.drain_rates.items():
        rate.follow_share(_sound_share_cpu(state, service))
    for service in services - state.drain_rates.keys():
        share_cpu = _sound_share_cpu(state, service)
        state.drain_rates[service] = DrainRate(share_cpu, now, share_cpu)


def _sound_share_cpu(state: DispatchState, service: str) -> float:
    # Slow executors take longer for the same work.
    return state.capacity.share_cpu(service) / state.typical_slowness


def _lacks_room(state: DispatchState, job: Job, now: float) -> bool:
    if is_held_back(state, job, now):
        return False
    # A task that only some executors may run can wait beside free ones.
    return any(
        progress.unlocked
        and progress.waiting
        and not progress.step.required_label
        and not progress.step.max_per_executor
        for progress in job.steps
    )
