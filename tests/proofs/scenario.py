"""Provide the steps that the proofs share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any
from uuid import UUID

from fakes.processes import WALL_OFFSET_S

from savoryrudder.entry.admission import Refusal

if TYPE_CHECKING:
    from fakes.callers import Call
    from fakes.world import World

# Upper bound: the deadline of 8 s, the grace period for the agent's report
# and the network delay.
ANSWER_S = 14
# Upper bound: lease expiry, takeover and reconnection of an agent in sequence.
RECOVERY_S = 20


class RandomAdmission:
    """Refuse random jobs, as the admission control does in an overload."""

    def __init__(self, admission: Any, seed: int) -> None:
        """Wrap an admission control."""
        self._admission = admission
        self._random = random.Random(seed)
        self.ratio: float = 0

    @property
    def limits(self) -> Any:
        """Return the limits of the wrapped control."""
        return self._admission.limits

    def count_recovered(self, *arguments: Any) -> None:
        """Count a job that is accepted without a check."""
        self._admission.count_recovered(*arguments)

    def check(self, job: Any, *arguments: Any) -> Refusal | None:
        """Refuse at random, otherwise ask the wrapped control."""
        if self._random.random() < self.ratio:
            return Refusal('overloaded', 'refused by chance', 1000)
        return self._admission.check(job, *arguments)

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else to the wrapped control."""
        return getattr(self._admission, name)


def set_refusal_ratio(world: World, ratio: float, seed: int) -> None:
    """Make every entry refuse a ratio of the jobs."""
    for host in entry_hosts(world):
        state = world.processes[host].state
        if not isinstance(state.admission, RandomAdmission):
            state.admission = RandomAdmission(state.admission, seed)
        state.admission.ratio = ratio


def key_owned_by(world: World, host: str, name: str = 'k') -> str:
    """Return an opaque key whose partition is owned by an entry."""
    keys = (f'{name}-{number}' for number in range(10_000))
    return next(key for key in keys if world.owner_of(key) == host)


def fresh_key(world: World) -> str:
    """Return a UUIDv7 key issued at the current time."""
    issued_ms = int((world.clock.now + WALL_OFFSET_S) * 1000)
    random_bits = world.clock.randomness.getrandbits(62)
    return str(
        UUID(int=(issued_ms << 80) | (7 << 76) | (2 << 62) | random_bits)
    )


def start_counts(world: World, call: Call) -> set[int]:
    """Return the distinct start counts of the tasks of a job."""
    return {len(world.oracle.starts[payload]) for payload in call.payloads}


def faults_end(world: World) -> list[str]:
    """End all faults and return the violations of safety and liveness."""
    world.end_faults()
    for entry in entry_hosts(world):
        state = world.processes[entry].state
        if isinstance(state.admission, RandomAdmission):
            state.admission.ratio = 0
    world.clock.run(RECOVERY_S)
    calls = [
        world.callers.submit(world.processes[host], fresh_key(world))
        for host in entry_hosts(world)
    ]
    world.clock.run(ANSWER_S)
    return [
        *world.oracle.find_violations(),
        *(f'fresh: {call.status}' for call in calls if not _complete(call)),
        *_unanswered_calls(world),
        *_outdated_revisions(world),
    ]


def entry_hosts(world: World) -> list[str]:
    """Return the hosts of all entries."""
    return [host for host in world.processes if host.startswith('e')]


def _complete(call: Call) -> bool:
    return call.status == 'complete/'


def _unanswered_calls(world: World) -> list[str]:
    limit = world.clock.now - ANSWER_S
    return [
        f'{call.kind} {call.key} sent at {call.sent_at:.2f} is not answered'
        for call in world.callers.open_calls()
        if call.sent_at < limit
    ]


def _outdated_revisions(world: World) -> list[str]:
    stored = world.config_revision()
    revisions = {
        process.name: process.revision for process in world.processes.values()
    }
    return [f'P8: {name}' for name in revisions if revisions[name] != stored]
