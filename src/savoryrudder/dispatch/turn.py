"""Collect the effects of one event of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from savoryrudder.dispatch.effects import Reply
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Observe
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import StateChanged

if TYPE_CHECKING:
    from savoryrudder.dispatch.answers import Answer
    from savoryrudder.dispatch.answers import QueueLength
    from savoryrudder.dispatch.effects import DispatchEffect
    from savoryrudder.protocol.messages import Message


@dataclass(slots=True)
class Turn:
    """Collect effects, and the ends to confirm by link."""

    now: float
    effects: list[DispatchEffect] = field(default_factory=list)

    def send(self, link: str, message: Message) -> None:
        """Send a message."""
        self.effects.append(Send(link, message))

    def confirm(self, link: str, ended: work.TaskEnded) -> None:
        """Tell an agent that an end has been noted."""
        self.send(link, work.EndsNoted(((ended.task, ended.run),)))

    def reply(self, request: int, answer: Answer | QueueLength) -> None:
        """Answer a caller."""
        self.effects.append(Reply(request, answer))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.effects.append(Count(name, amount))

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.effects.append(Observe(name, seconds))

    def log(self, name: str, **fields: object) -> None:
        """Write one log line."""
        pairs = tuple((key, str(value)) for key, value in fields.items())
        self.effects.append(StateChanged(name, pairs))
