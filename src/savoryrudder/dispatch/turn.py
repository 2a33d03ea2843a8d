"""Collect the effects of one event of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from savoryrudder.dispatch.effects import Reply
from savoryrudder.utils import turn

if TYPE_CHECKING:
    from savoryrudder.dispatch.answers import Answer
    from savoryrudder.dispatch.answers import QueueLength


@dataclass(slots=True)
class Turn(turn.Turn):
    """Collect effects, answers to callers among them."""

    def reply(self, request: int, answer: Answer | QueueLength) -> None:
        """Answer a caller."""
        self.effects.append(Reply(request, answer))
