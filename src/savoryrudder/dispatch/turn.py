"""Collect the effects of one event of the dispatch reducer."""

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
    """Collect the effects of one event, including answers to callers."""

    def reply(self, request_id: int, answer: Answer | QueueLength) -> None:
        """Answer a caller's request."""
        self.effects.append(Reply(request_id, answer))
