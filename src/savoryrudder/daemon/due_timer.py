"""Sleep until something is due."""

from __future__ import annotations

import trio


class DueTimer:
    """Sleep until a time that may be brought forward meanwhile."""

    def __init__(self) -> None:
        """Initialize without a sleeper."""
        self._scope = trio.CancelScope()

    def bring_forward(self, due_at: float) -> None:
        """Wake the sleeper at `due_at` if it would sleep longer."""
        if due_at < self._scope.deadline:
            self._scope.deadline = due_at

    async def sleep_until(self, due_at: float) -> float:
        """Sleep, and return the time that the sleep was to end."""
        scope = trio.CancelScope(deadline=due_at)
        self._scope = scope
        with scope:
            await trio.sleep_forever()
        return scope.deadline
