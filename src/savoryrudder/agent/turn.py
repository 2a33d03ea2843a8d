"""Collect the effects of one event."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from savoryrudder.agent.effects import AgentEffect
    from savoryrudder.agent.records import Record
    from savoryrudder.protocol.messages import Message


@dataclass(slots=True)
class Turn:
    """Collect effects, and the ended tasks to report to their owners.

    If `reallocate` is set, slots and credits are allocated again after the
    event.
    """

    now: float
    effects: list[AgentEffect] = field(default_factory=list)
    reports: list[tuple[str, Record]] = field(default_factory=list)
    reallocate: bool = False

    def send(self, entry: str, message: Message) -> None:
        """Send a message to an entry."""
        self.effects.append(Send(entry, message))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.effects.append(Count(name, amount))

    def log(self, name: str, **fields: object) -> None:
        """Write one log line about a change of state."""
        pairs = tuple((key, str(value)) for key, value in fields.items())
        self.effects.append(Log(name, pairs))
