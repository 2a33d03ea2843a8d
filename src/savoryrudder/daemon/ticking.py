"""Reduce a tick whenever the reducer has something to do."""

from __future__ import annotations

from abc import abstractmethod
from typing import TypeVar

import trio

from savoryrudder.daemon.due_timer import DueTimer
from savoryrudder.daemon.loop import ReducerLoop
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.outgoing import Outbox

EventT = TypeVar('EventT')
EffectT = TypeVar('EffectT')


class TickingLoop(ReducerLoop[EventT, EffectT]):
    """Reduce events, and a tick when something is due without an event."""

    def __init__(self, counters: Counters) -> None:
        """Initialize with an empty event queue."""
        super().__init__(counters)
        self._outbox = Outbox(counters)
        self._timer = DueTimer()

    def handle(self, *events: EventT) -> None:
        """Reduce events and send the messages that result."""
        super().handle(*events)
        if not self._reducing:
            self._outbox.flush()
        self._timer.bring_forward(self._next_tick_at(trio.current_time()))

    async def run_ticks(self) -> None:
        """Reduce ticks until cancelled."""
        due_at = trio.current_time()
        while True:
            now = trio.current_time()
            self.load.record_delay(now - due_at)
            self._tick(now)
            next_tick_at = self._next_tick_at(trio.current_time())
            due_at = await self._timer.sleep_until(next_tick_at)

    @abstractmethod
    def _tick(self, now: float) -> None:
        """Reduce a tick."""

    @abstractmethod
    def _next_tick_at(self, now: float) -> float:
        """Return when the next tick is due."""
