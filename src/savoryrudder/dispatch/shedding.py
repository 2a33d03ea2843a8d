"""Choose which waiting jobs to turn away when there is not room for all.

Jobs start in the order of their latest start times. As in the algorithm of
Moore and Hodgson, this order is followed until a job would start too late; then
jobs up to it are turned away, those first that cost callers least for the room
that they free.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from operator import attrgetter
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence


_order_of: Final = attrgetter('latest_start', 'sequence_number')


class Candidate(NamedTuple):
    """Describe a job that waits for room.

    `work_cpu_ms` (millicores x ms) has not started. The last of it has to start
    by `start_by`; jobs take their turns by `latest_start`. What is free is
    occupied for `duration_ms` by a job that starts at once. Turning the job
    away costs its callers `cost`, and is ruled out unless it is `refusable`.
    """

    job_id: str
    latest_start: float
    sequence_number: int
    start_by: float
    work_cpu_ms: float
    duration_ms: float
    cost: float
    refusable: bool


class Room(NamedTuple):
    """Hold the processors that waiting jobs can use, in millicores.

    `free_cpu` is idle now, `drain_cpu` is the rate at which waiting tasks are
    expected to start.
    """

    free_cpu: int
    drain_cpu: int


class Removal(NamedTuple):
    """Hold a job to turn away, and the job that would start late beside it.

    They are the same one if the job itself cannot start in time.
    """

    candidate: Candidate
    late: Candidate
    wait_s: float


def choose_removals(
    candidates: Iterable[Candidate],
    room: Room,
    now: float,
) -> list[Removal]:
    """Return the jobs to turn away so that the others start in time."""
    schedule = _Schedule(room, now)
    removals: list[Removal] = []
    for candidate in sorted(candidates, key=_order_of):
        schedule.append(candidate)
        wait_s = schedule.wait_s(candidate)
        for victim in _victims(schedule, candidate):
            schedule.remove(victim)
            removals.append(Removal(victim, candidate, wait_s))
    return _without_needless(schedule, removals) if removals else []


def choose_removals_for(
    arriving: Candidate,
    waiting: Sequence[Candidate],
    room: Room,
    now: float,
) -> list[Removal] | None:
    """Return the jobs that make room for another one if turned away.

    Returns None if it costs less to turn away the other one.
    """
    removals = choose_removals((*waiting, arriving), room, now)
    if any(removal.candidate is arriving for removal in removals):
        return None
    otherwise = choose_removals(waiting, room, now)
    if _total_cost(removals) >= _total_cost(otherwise) + arriving.cost:
        return None
    return removals


def _cost_of(removal: Removal) -> float:
    return removal.candidate.cost


def _total_cost(removals: Iterable[Removal]) -> float:
    return sum(map(_cost_of, removals))


@dataclass(slots=True)
class _Schedule:
    """Hold the jobs that are kept, in order, and the sum of their work."""

    room: Room
    now: float
    kept: list[Candidate] = field(default_factory=list)
    work_cpu_ms: float = 0

    def append(self, candidate: Candidate) -> None:
        """Let a job start after all others."""
        self.kept.append(candidate)
        self.work_cpu_ms += candidate.work_cpu_ms

    def remove(self, candidate: Candidate) -> None:
        """Turn a job away."""
        self.kept.remove(candidate)
        self.work_cpu_ms -= candidate.work_cpu_ms

    def wait_s(self, last: Candidate) -> float:
        """Return the wait of the last job until all its work has started."""
        return _wait_s(self.room, last, self.work_cpu_ms)

    def excess_cpu_ms(self, last: Candidate) -> float:
        """Return the work that keeps the last job from starting in time."""
        late_s = self.wait_s(last) + self.now - last.start_by
        return late_s * _drain_cpu(self.room) * MS_PER_S


def _wait_s(room: Room, last: Candidate, work_cpu_ms: float) -> float:
    # Tasks that fit into the free processors start at once.
    waiting_cpu_ms = work_cpu_ms - room.free_cpu * last.duration_ms
    return max(waiting_cpu_ms, 0) / _drain_cpu(room) / MS_PER_S


def _drain_cpu(room: Room) -> int:
    return max(room.drain_cpu, 1)


def _victims(schedule: _Schedule, late: Candidate) -> list[Candidate]:
    excess_cpu_ms = schedule.excess_cpu_ms(late)
    if excess_cpu_ms <= 0:
        return []
    itself = [late] if late.refusable else []
    others = _cheapest_others(schedule, late, excess_cpu_ms)
    if others is None:
        return itself
    if late.refusable and late.cost <= sum(other.cost for other in others):
        return itself
    return others


def _cheapest_others(
    schedule: _Schedule,
    late: Candidate,
    excess_cpu_ms: float,
) -> list[Candidate] | None:
    """Return jobs that free enough room, or None if there are none."""
    remaining = [
        candidate
        for candidate in schedule.kept
        if candidate.refusable
        and candidate.work_cpu_ms
        and candidate is not late
    ]
    chosen: list[Candidate] = []
    while excess_cpu_ms > 0:
        if not remaining:
            return None
        victim = _cheapest(remaining, excess_cpu_ms)
        remaining.remove(victim)
        chosen.append(victim)
        excess_cpu_ms -= victim.work_cpu_ms
    return chosen


def _cheapest(
    candidates: Sequence[Candidate],
    excess_cpu_ms: float,
) -> Candidate:
    """Return the job of the least cost for the part of the excess it frees.

    Of equal ones it is the last, which has waited least.
    """
    return min(
        reversed(candidates),
        key=lambda candidate: (
            candidate.cost / min(candidate.work_cpu_ms, excess_cpu_ms)
        ),
    )


def _without_needless(
    schedule: _Schedule,
    removals: list[Removal],
) -> list[Removal]:
    """Keep the jobs that fit in after all, those of the highest cost first."""
    needed: list[Removal] = []
    late = _late_jobs(schedule, schedule.kept)
    for removal in sorted(removals, key=_cost_of, reverse=True):
        kept = sorted((*schedule.kept, removal.candidate), key=_order_of)
        if _late_jobs(schedule, kept) <= late:
            schedule.kept = kept
        else:
            needed.append(removal)
    return needed


def _late_jobs(
    schedule: _Schedule,
    kept: Collection[Candidate],
) -> set[str]:
    late: set[str] = set()
    work_cpu_ms: float = 0
    for candidate in kept:
        work_cpu_ms += candidate.work_cpu_ms
        wait_s = _wait_s(schedule.room, candidate, work_cpu_ms)
        if schedule.now + wait_s > candidate.start_by:
            late.add(candidate.job_id)
    return late
