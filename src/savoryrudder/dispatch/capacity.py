"""Rank executors by their free processors.

Placement and admission read the ranking in place of scanning all executors, so
their cost per task does not grow with the size of the fleet.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from dataclasses import dataclass
from dataclasses import field
from itertools import chain
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.dispatch.state import AgentView
    from savoryrudder.protocol.work import ExecutorReport

# Pairs (negative free millicores, link), so that the most free comes first.
_Ranking: TypeAlias = list[tuple[int, str]]

# Number of agents from all over a ranking that a search meets first.
SAMPLE_SIZE: Final = 8


class _Position(NamedTuple):
    """Hold what the ranking contains of an agent, in millicores."""

    service: str
    labels: tuple[str, ...]
    is_local: bool
    is_cold: bool
    free_cpu: int
    share_cpu: int


@dataclass(slots=True)
class _ServiceCapacity:
    """Hold the usable agents of a service and their sums, in millicores."""

    # The agents in the zone, those in other zones, and the same for agents with
    # cold executors.
    rankings: tuple[_Ranking, ...] = field(
        default_factory=lambda: ([], [], [], []),
    )
    # Links by the labels of their executors; the values of the maps are unused.
    labelled: dict[str, dict[str, None]] = field(default_factory=dict)
    free_cpu: int = 0
    share_cpu: int = 0


class CapacityRanking:
    """Rank the usable agents of each service, the freest first.

    Agents in the zone of the entry are ranked apart from the others, and those
    with cold executors apart from both.
    """

    def __init__(self, zone: str) -> None:
        """Start without agents, for an entry in a zone."""
        self._zone = zone
        self._positions: dict[str, _Position] = {}
        self._services: dict[str, _ServiceCapacity] = {}

    def has_agents(self, service: str) -> bool:
        """Return whether a service has a usable agent."""
        return self.count_agents(service) > 0

    def count_agents(self, service: str) -> int:
        """Return the number of usable agents of a service."""
        capacity = self._services.get(service)
        return sum(map(len, capacity.rankings)) if capacity else 0

    def free_cpu(self, service: str) -> int:
        """Return the free millicores of a service."""
        capacity = self._services.get(service)
        return capacity.free_cpu if capacity else 0

    def free_cpu_by_service(self) -> dict[str, int]:
        """Return the free millicores of each service."""
        return {
            service: capacity.free_cpu
            for service, capacity in self._services.items()
        }

    def share_cpu(self, service: str) -> int:
        """Return the millicores, free or not, that are this entry's share.

        The entries that an agent is linked with share its executor by need, or
        equally if the agent does not tell the shares.
        """
        capacity = self._services.get(service)
        return capacity.share_cpu if capacity else 0

    def links_with_room(
        self,
        service: str,
        cpu: int,
    ) -> tuple[Iterator[str], ...]:
        """Return the links with `cpu` free, by preference.

        Those in the zone come first, those in other zones second, and then the
        same for cold executors. The first `SAMPLE_SIZE` of each are spread over
        the ranking, because the freest executors may all be of one kind.
        """
        capacity = self._services.get(service)
        rankings = capacity.rankings if capacity else ()
        return tuple(_links(ranking, cpu) for ranking in rankings)

    def labelled_links(self, service: str, label: str) -> Iterator[str]:
        """Yield the links to executors with a label."""
        capacity = self._services.get(service)
        return iter(capacity.labelled.get(label, ()) if capacity else ())

    def freest_links(self, service: str) -> Iterator[str]:
        """Yield the links in the zone, the freest first, then the others.

        Those to cold executors come last.
        """
        capacity = self._services.get(service)
        if capacity is not None:
            for _, link in chain(*capacity.rankings):
                yield link

    def update(self, link: str, agent: AgentView) -> bool:
        """Rank an agent anew; return whether more can be placed there."""
        previous = self._positions.get(link)
        current = self._position_of(agent)
        if current == previous:
            return False
        if previous is not None:
            self._discard(link, previous)
        if current is None:
            return False
        self._insert(link, current)
        return previous is None or previous.free_cpu < current.free_cpu

    def remove(self, link: str) -> None:
        """Remove an agent, if it is ranked."""
        previous = self._positions.get(link)
        if previous is not None:
            self._discard(link, previous)

    def _position_of(self, agent: AgentView) -> _Position | None:
        report = agent.report
        if report is None or not agent.usable:
            return None
        return _Position(
            report.service,
            report.labels,
            agent.zone == self._zone,
            report.cold,
            agent.free.cpu,
            _share_of(report),
        )

    def _insert(self, link: str, position: _Position) -> None:
        capacity = self._services.setdefault(
            position.service,
            _ServiceCapacity(),
        )
        capacity.free_cpu += max(position.free_cpu, 0)
        capacity.share_cpu += position.share_cpu
        self._positions[link] = position
        for label in position.labels:
            capacity.labelled.setdefault(label, {})[link] = None
        insort(_ranking_of(capacity, position), (-position.free_cpu, link))

    def _discard(self, link: str, position: _Position) -> None:
        capacity = self._services[position.service]
        capacity.free_cpu -= max(position.free_cpu, 0)
        capacity.share_cpu -= position.share_cpu
        self._positions.pop(link)
        for label in position.labels:
            capacity.labelled[label].pop(link, None)
        ranking = _ranking_of(capacity, position)
        ranking.pop(bisect_left(ranking, (-position.free_cpu, link)))


def _share_of(report: ExecutorReport) -> int:
    return report.share_cpu or report.capacity.cpu // max(report.entries, 1)


def _ranking_of(capacity: _ServiceCapacity, position: _Position) -> _Ranking:
    rank = 2 * position.is_cold + (not position.is_local)
    return capacity.rankings[rank]


def _links(ranking: _Ranking, cpu: int) -> Iterator[str]:
    count = bisect_left(ranking, (1 - cpu, ''))
    stride = max(count // SAMPLE_SIZE, 1)
    for offset in range(stride):
        for _, link in ranking[offset:count:stride]:
            yield link
