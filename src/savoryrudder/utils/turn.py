"""Collect the effects of handling one event."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Observe
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Message


@dataclass(slots=True)
class Turn:
    """Collect the effects of one event; roles append effects of their own."""

    now: float
    effects: list[Any] = field(default_factory=list)

    def send(self, peer: str, message: Message) -> None:
        """Send a message."""
        self.effects.append(Send(peer, message))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.effects.append(Count(name, amount))

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.effects.append(Observe(name, seconds))

    def log(self, name: str, **fields: object) -> None:
        """Write one log line."""
        pairs = tuple((key, str(value)) for key, value in fields.items())
        self.effects.append(Log(name, pairs))
