"""Run timed actions in order on a virtual clock."""

from __future__ import annotations

import heapq
import random
from typing import Any


class Clock:
    """Hold the virtual time, the scheduled actions and a seeded generator."""

    def __init__(self, seed: int) -> None:
        # Not 0, which the reducers use for a time that is unset.
        self.now = 100.0
        self.randomness = random.Random(seed)
        self._sequence = 0
        self._actions: list[Any] = []

    def after(self, delay: float, action: Any, *args: Any) -> None:
        """Run an action after a delay in seconds."""
        self._sequence += 1
        scheduled = (self.now + delay, self._sequence, action, args)
        heapq.heappush(self._actions, scheduled)

    def within(self, limit: float, action: Any, *args: Any) -> None:
        """Run an action after a random delay of at most `limit` seconds."""
        self.after(self.randomness.uniform(0, limit), action, *args)

    def run(self, seconds: float) -> None:
        """Advance the time and run all actions that become due."""
        end = self.now + seconds
        while self._actions and self._actions[0][0] <= end:
            due_at, _, action, args = heapq.heappop(self._actions)
            self.now = max(self.now, due_at)
            action(*args)
        self.now = end
