"""Feed a reducer with events and execute its effects."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import anyio

from savoryrudder.daemon.load import EVENT_PREFIX
from savoryrudder.daemon.load import RECEIVED_PREFIX
from savoryrudder.daemon.load import SENT_PREFIX
from savoryrudder.daemon.load import LoadReporter
from savoryrudder.daemon.logs import log_event
from savoryrudder.utils import effects

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.protocol.messages import Message

EventT = TypeVar('EventT')
EffectT = TypeVar('EffectT')


class ReducerError(Exception):
    """Raised when a reducer fails: its state may be wrong from then on."""


class ReducerLoop(ABC, Generic[EventT, EffectT]):
    """Reduce one event at a time, in order, and execute its effects."""

    def __init__(self, counters: Counters) -> None:
        """Initialize with an empty event queue."""
        self.counters = counters
        self.load = LoadReporter(counters)
        self.stopped = anyio.Event()
        self._events: deque[EventT] = deque()
        self._reducing = False

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Return whether the daemon accepts work."""

    def handle(self, *events: EventT) -> None:
        """Reduce events now, or once the one being reduced is done."""
        self._events.extend(events)
        if self._reducing:
            return
        self._reducing = True
        try:
            self._process_events()
        finally:
            self._reducing = False

    @abstractmethod
    def _reduce(self, event: EventT) -> Sequence[EffectT]:
        """Apply an event to the state and return the effects."""

    @abstractmethod
    def _execute_role_effect(self, effect: EffectT) -> None:
        """Execute an effect that is specific to this role."""

    @abstractmethod
    def _send(self, peer: str, message: Message) -> None:
        """Send a message to a peer, if it has an open session."""

    @abstractmethod
    def _close(self, peer: str, reason: str) -> None:
        """End the session with a peer, if it has one."""

    def count_received(self, message: Message) -> None:
        """Count a message of a peer by its type."""
        self.counters.count(f'{RECEIVED_PREFIX}{type(message).__name__}')

    def _process_events(self) -> None:
        while self._events:
            event = self._events.popleft()
            event_type = type(event).__name__
            self.counters.count(f'{EVENT_PREFIX}{event_type}')
            try:
                reduced = self._reduce(event)
            except Exception as error:
                raise ReducerError(f'event {event_type} failed') from error
            for effect in reduced:
                self._execute(effect)

    def _execute(self, effect: EffectT) -> None:
        match effect:
            case effects.Send():
                sent_type = type(effect.message).__name__
                self.counters.count(f'{SENT_PREFIX}{sent_type}')
                self._send(effect.peer, effect.message)
            case effects.Count():
                self.counters.count(effect.name, effect.amount)
            case effects.Observe():
                self.counters.observe(effect.name, effect.seconds)
            case effects.Log():
                log_event(effect.name, effect.fields)
            case effects.CloseLink():
                self._close(effect.peer, effect.reason)
            case effects.Exit():
                self.stopped.set()
            case _:
                self._execute_role_effect(effect)
