"""Track the agents of each service and choose one for each task."""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections import Counter
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.entry import reasons
from savoryrudder.entry.health import ServiceHealth
from savoryrudder.entry.health import UpstreamStatus
from savoryrudder.entry.times import ServiceTimes

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Hello

# Speed classes per factor of 2 of the measured slowness. Agents of one class
# count as equally fast, because service times scatter.
CLASSES_PER_DOUBLING: Final = 2
# A heap is rebuilt, without its outdated items, above this many items for each
# agent plus `MAX_SPARE_ITEMS`.
MAX_ITEMS_PER_AGENT: Final = 4
MAX_SPARE_ITEMS: Final = 64

# Speed class, negative credits, version, agent.
_Rank: TypeAlias = tuple[int, int, int, str]

_FAILURES: Final = frozenset(
    (reasons.FAILED, reasons.UNKNOWN, reasons.NOT_RUN),
)
_INITIAL_STATUS: Final = UpstreamStatus(
    ejected=False,
    slow=False,
    slowness=1,
    probe_at=0,
)


class AgentReport(NamedTuple):
    """Describe an agent for the operators' status."""

    agent: str
    service: str
    zone: str
    slots: int
    credits: int
    leaving: bool
    ejected: bool


@dataclasses.dataclass(slots=True)
class _Agent:
    """Track one linked agent.

    `capacity` and `free_credits` are its parts in the totals of its pool.
    """

    hello: Hello
    credits: int = 0
    usable: bool = False
    version: int = 0
    capacity: float = 0
    free_credits: int = 0
    status: UpstreamStatus = _INITIAL_STATUS

    @property
    def startable(self) -> bool:
        """Tell whether tasks may be started on the agent."""
        return self.usable and not self.hello.leaving


class _Pool:
    """Rank the agents of one service."""

    def __init__(self) -> None:
        self.agents: dict[str, _Agent] = {}
        self.health = ServiceHealth()
        self.capacity: float = 0
        self.free_credits = 0
        self.worker_sizes: Counter[tuple[int, int]] = Counter()
        self._normal_heap: list[_Rank] = []
        self._slow_heap: list[_Rank] = []
        self._probe_heap: list[tuple[float, str]] = []

    def update_rank(self, name: str, agent: _Agent) -> None:
        """Update the rank of an agent and the totals after a change."""
        status = agent.status
        agent.version += 1
        restricted = status.ejected or status.slow
        active = agent.startable and not status.ejected
        capacity = agent.hello.slots / status.slowness if active else 0
        free = agent.credits if agent.startable and not restricted else 0
        self.capacity += capacity - agent.capacity
        self.free_credits += free - agent.free_credits
        agent.capacity = capacity
        agent.free_credits = free
        if not agent.startable or not agent.credits:
            return
        if restricted:
            heapq.heappush(self._probe_heap, (status.probe_at, name))
        if not status.ejected:
            self._push(
                self._slow_heap if status.slow else self._normal_heap, name
            )

    def choose(
        self,
        now: float,
        backlog_s: float,
        mean_s: float,
    ) -> tuple[str, bool] | None:
        """Return the agent for the next start and whether it is a probe."""
        probe = self._due_probe(now)
        if probe is not None:
            return probe, True
        if self.free_credits:
            return self._best_agent(self._normal_heap), False
        return self._choose_slow_agent(backlog_s, mean_s)

    def _choose_slow_agent(
        self,
        backlog_s: float,
        mean_s: float,
    ) -> tuple[str, bool] | None:
        """Return a slow agent if the backlog delays tasks even longer."""
        name = self._best_agent(self._slow_heap)
        if not name:
            return None
        extra_s = (self.agents[name].status.slowness - 1) * mean_s
        if backlog_s <= extra_s * self.capacity:
            return None
        return name, False

    def _push(self, heap: list[_Rank], name: str) -> None:
        heapq.heappush(heap, self._rank(name))
        if len(heap) > MAX_ITEMS_PER_AGENT * len(self.agents) + MAX_SPARE_ITEMS:
            current = [rank for rank in heap if self._is_current(rank)]
            heapq.heapify(current)
            heap.clear()
            heap.extend(current)

    def _rank(self, name: str) -> _Rank:
        agent = self.agents[name]
        speed = round(CLASSES_PER_DOUBLING * math.log2(agent.status.slowness))
        return speed, -agent.credits, agent.version, name

    def _best_agent(self, heap: list[_Rank]) -> str:
        while heap and not self._is_current(heap[0]):
            heapq.heappop(heap)
        return heap[0][3] if heap else ''

    def _is_current(self, rank: _Rank) -> bool:
        agent = self.agents.get(rank[3])
        return agent is not None and agent.version == rank[2]

    def _due_probe(self, now: float) -> str | None:
        while self._probe_heap and self._probe_heap[0][0] <= now:
            probe_at, name = self._probe_heap[0]
            agent = self.agents.get(name)
            if agent and agent.credits and agent.startable:
                status = agent.status
                restricted = status.ejected or status.slow
                if restricted and status.probe_at == probe_at:
                    return name
            heapq.heappop(self._probe_heap)
        return None


class Fleet:
    """Hold the linked agents with their unused credits."""

    def __init__(self) -> None:
        """Create a fleet without agents."""
        self.times = ServiceTimes()
        self.entry_count = 1
        self._agents: dict[str, _Agent] = {}
        self._pools: dict[str, _Pool] = {}

    def add_agent(self, hello: Hello, now: float) -> None:
        """Add an agent with a new session and no credits."""
        self.remove_agent(hello.agent)
        pool = self._pools.setdefault(hello.service, _Pool())
        agent = _Agent(hello)
        self._agents[hello.agent] = agent
        pool.agents[hello.agent] = agent
        pool.worker_sizes[hello.slots, hello.memory_mb] += 1
        pool.health.add(hello.agent)

    def remove_agent(self, name: str) -> None:
        """Remove an agent and its credits."""
        agent = self._agents.pop(name, None)
        if agent is None:
            return
        pool = self._pools[agent.hello.service]
        agent.usable = False
        agent.credits = 0
        pool.update_rank(name, agent)
        pool.agents.pop(name)
        pool.worker_sizes[agent.hello.slots, agent.hello.memory_mb] -= 1
        for restored in pool.health.remove(name):
            self._update_status(restored)

    def mark_usable(self, name: str) -> None:
        """Allow tasks to be started on an agent."""
        self._agents[name].usable = True
        self._update_rank(name)

    def mark_leaving(self, name: str) -> None:
        """Start no more tasks on an agent that is leaving."""
        agent = self._agents[name]
        agent.hello = agent.hello._replace(leaving=True)
        self._update_rank(name)

    def add_credits(self, name: str, count: int) -> None:
        """Add credits that an agent has granted."""
        self._agents[name].credits += count
        self._update_rank(name)

    def return_credits(self, name: str, wanted: int) -> int:
        """Remove up to `wanted` unused credits and return how many."""
        agent = self._agents[name]
        returned = min(wanted, agent.credits)
        agent.credits -= returned
        self._update_rank(name)
        return returned

    def has_credit(
        self,
        service: str,
        now: float = 0,
        backlog_s: float = 0,
    ) -> bool:
        """Tell whether an agent should be given a task of the service now.

        `backlog_s` is the expected service time of all queued tasks; slow
        agents are used only if it is long.
        """
        pool = self._pools.get(service)
        if pool is None:
            return False
        mean_s = self.times.service_mean_s(service)
        return pool.choose(now, backlog_s, mean_s) is not None

    def take_credit(
        self,
        service: str,
        operation: str,
        now: float,
        backlog_s: float = 0,
    ) -> str | None:
        """Use one credit of the best agent; None if there is no credit."""
        pool = self._pools.get(service)
        if pool is None:
            return None
        mean_s = self.times.service_mean_s(service)
        chosen = pool.choose(now, backlog_s, mean_s)
        if chosen is None:
            return None
        name, is_probe = chosen
        agent = self._agents[name]
        agent.credits -= 1
        if is_probe:
            pool.health.record_probe(name, now)
            agent.status = pool.health.status(name)
        pool.update_rank(name, agent)
        return name

    def record_outcome(
        self,
        name: str,
        operation: str,
        outcome: str,
        duration_s: float,
        now: float,
    ) -> None:
        """Update the health and the service times with the end of a task."""
        agent = self._agents.get(name)
        if agent is None:
            return
        service = agent.hello.service
        health = self._pools[service].health
        if outcome == reasons.COMPLETE and duration_s > 0:
            mean_s = self.times.measured_mean_s(service, operation)
            if mean_s:
                health.record_service_time(name, duration_s / mean_s, now)
            if not health.status(name).slow:
                self.times.record(service, operation, duration_s)
        health.record_outcome(
            name,
            operation,
            now,
            failed=outcome in _FAILURES,
            not_run=outcome == reasons.NOT_RUN,
        )
        self._update_status(name)

    def agents_of(self, service: str) -> list[str]:
        """Return the linked agents of a service that are not leaving."""
        pool = self._pools.get(service)
        if pool is None:
            return []
        return [
            name
            for name, agent in pool.agents.items()
            if not agent.hello.leaving
        ]

    def is_linked(self, service: str) -> bool:
        """Tell whether any agent of a service is linked."""
        pool = self._pools.get(service)
        return pool is not None and any(
            not agent.hello.leaving for agent in pool.agents.values()
        )

    def capacity(self, service: str) -> float:
        """Return this entry's share of the slots, scaled to normal speed."""
        pool = self._pools.get(service)
        return pool.capacity / self.entry_count if pool else 0

    def largest_worker(self, service: str) -> tuple[int, int]:
        """Return the most slots and the most memory that a worker announces."""
        pool = self._pools.get(service)
        sizes = (
            [size for size, count in pool.worker_sizes.items() if count]
            if pool
            else []
        )
        return (
            max((slots for slots, _ in sizes), default=0),
            max((memory_mb for _, memory_mb in sizes), default=0),
        )

    def reports(self) -> list[AgentReport]:
        """Describe all linked agents."""
        return [
            AgentReport(
                name,
                agent.hello.service,
                agent.hello.zone,
                agent.hello.slots,
                agent.credits,
                agent.hello.leaving,
                agent.status.ejected,
            )
            for name, agent in self._agents.items()
        ]

    def _update_status(self, name: str) -> None:
        agent = self._agents[name]
        status = self._pools[agent.hello.service].health.status(name)
        if status != agent.status:
            agent.status = status
            self._update_rank(name)

    def _update_rank(self, name: str) -> None:
        agent = self._agents[name]
        self._pools[agent.hello.service].update_rank(name, agent)
