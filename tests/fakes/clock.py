"""Run timed actions in order on a virtual clock."""

from __future__ import annotations

import heapq
import random
from typing import Any


class Clock:
    """Hold the virtual time, the actions to come and the seeded chance."""

    def __init__(self, seed: int) -> None:
        # Not 0, which the reducers use for a time that is not set.
        self.now = 100.0
        self.randomness = random.Random(seed)
        self._count = 0
        self._actions: list[Any] = []

    def after(self, delay: float, action: Any, *args: Any) -> None:
        """Run an action once the delay has passed."""
        self._count += 1
        entry = (self.now + delay, self._count, action, args)
        heapq.heappush(self._actions, entry)

    def soon(self, limit: float, action: Any, *args: Any) -> None:
        """Run an action after a drawn delay."""
        self.after(self.randomness.uniform(0, limit), action, *args)

    def run(self, seconds: float) -> None:
        """Run all actions due within this time."""
        end = self.now + seconds
        while self._actions and self._actions[0][0] <= end:
            at, _, action, args = heapq.heappop(self._actions)
            self.now = max(self.now, at)
            action(*args)
        self.now = end
