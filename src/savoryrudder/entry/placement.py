"""Keep the agents of each service and choose one for each start."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Hello


class AgentReport(NamedTuple):
    """Describe an agent for the operators' status."""

    agent: str
    service: str
    zone: str
    slots: int
    credits: int
    leaving: bool
    ejected: bool


class Fleet:
    """Hold the linked agents with their unused credits."""

    def __init__(self) -> None:
        """Create a fleet without agents."""
        self._hellos: dict[str, Hello] = {}
        self._credits: dict[str, int] = {}
        self._usable: set[str] = set()

    def agent_up(self, hello: Hello, now: float) -> None:
        """Add an agent with a new session and no credits."""
        self._hellos[hello.agent] = hello
        self._credits[hello.agent] = 0
        self._usable.discard(hello.agent)

    def agent_down(self, agent: str) -> None:
        """Remove an agent and its credits."""
        self._hellos.pop(agent, None)
        self._credits.pop(agent, None)
        self._usable.discard(agent)

    def mark_usable(self, agent: str) -> None:
        """Allow starts on an agent."""
        self._usable.add(agent)

    def mark_leaving(self, agent: str) -> None:
        """Stop starts on an agent for good."""
        self._hellos[agent] = self._hellos[agent]._replace(leaving=True)

    def grant(self, agent: str, count: int) -> None:
        """Add credits of an agent."""
        self._credits[agent] += count

    def give_back(self, agent: str, wanted: int) -> int:
        """Remove up to `wanted` unused credits and return how many."""
        returned = min(wanted, self._credits[agent])
        self._credits[agent] -= returned
        return returned

    def has_credit(self, service: str) -> bool:
        """Tell whether a start of the service is possible now."""
        return any(
            credit and self._may_start(agent, service)
            for agent, credit in self._credits.items()
        )

    def take(self, service: str, operation: str, now: float) -> str | None:
        """Use one credit of the best agent; None if there is no credit."""
        best = max(
            (
                (credit, agent)
                for agent, credit in self._credits.items()
                if credit and self._may_start(agent, service)
            ),
            default=None,
        )
        if best is None:
            return None
        self._credits[best[1]] -= 1
        return best[1]

    def observe(
        self,
        agent: str,
        operation: str,
        outcome: str,
        duration_s: float,
        now: float,
    ) -> None:
        """Learn from the end of a task."""

    def agents_of(self, service: str) -> list[str]:
        """Return the linked agents of a service that are not leaving."""
        return [
            agent
            for agent, hello in self._hellos.items()
            if hello.service == service and not hello.leaving
        ]

    def reports(self) -> list[AgentReport]:
        """Describe all linked agents."""
        return [
            AgentReport(
                agent,
                hello.service,
                hello.zone,
                hello.slots,
                self._credits[agent],
                hello.leaving,
                ejected=False,
            )
            for agent, hello in self._hellos.items()
        ]

    def _may_start(self, agent: str, service: str) -> bool:
        hello = self._hellos[agent]
        return (
            hello.service == service
            and not hello.leaving
            and agent in self._usable
        )
