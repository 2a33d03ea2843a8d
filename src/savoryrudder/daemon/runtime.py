"""Run a reducer: queue events, carry out effects and hold the links."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import anyio

from savoryrudder.daemon.links import LinkDialler
from savoryrudder.daemon.telemetry import log_change
from savoryrudder.utils import effects

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savoryrudder.daemon.join import JoinRequest
    from savoryrudder.daemon.telemetry import Counters
    from savoryrudder.daemon.telemetry import Tracer
    from savoryrudder.protocol.messages import Message

EventT = TypeVar('EventT')
EffectT = TypeVar('EffectT')


class Runtime(ABC, Generic[EventT, EffectT]):
    """Feed the reducer and carry out its effects, one event at a time."""

    def __init__(
        self,
        join_request: JoinRequest,
        counters: Counters,
        tracer: Tracer,
    ) -> None:
        """Create a runtime that dials with the given join request."""
        self.counters = counters
        self.tracer = tracer
        self.stopped = anyio.Event()
        self._join_request = join_request
        self._events: deque[EventT] = deque()
        self._reducing = False
        self._diallers: dict[str, LinkDialler] = {}

    @property
    @abstractmethod
    def revision(self) -> int:
        """Return the configuration revision that frames carry."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Tell whether the daemon can take work."""

    @property
    def linked(self) -> list[str]:
        """Return the dialled join addresses that have an open session."""
        return [
            address
            for address, dialler in self._diallers.items()
            if dialler.peer
        ]

    @abstractmethod
    def on_up(self, peer: str, session: str) -> None:
        """Report a new session."""

    @abstractmethod
    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Report the messages of a frame."""

    @abstractmethod
    def on_down(self, peer: str, session: str, reason: str) -> None:
        """Report the end of a session."""

    def connect(self, address: str) -> None:
        """Keep a link to the entry at a join address."""
        if address in self._diallers:
            return
        dialler = LinkDialler(
            address,
            self._join_request,
            self,
            lambda: self.revision,
        )
        self._diallers[address] = dialler
        self._group.start_soon(dialler.run)

    def disconnect(self, address: str) -> None:
        """Stop dialling a join address."""
        dialler = self._diallers.pop(address, None)
        if dialler is not None:
            dialler.stop()

    def handle(self, event: EventT) -> None:
        """Reduce an event now, or after the one being reduced."""
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            self._reduce_all()
        finally:
            self._reducing = False

    @abstractmethod
    def _reduce(self, event: EventT) -> Sequence[EffectT]:
        """Apply one event to the state."""

    @abstractmethod
    def _carry_out_own(self, effect: EffectT) -> None:
        """Carry out an effect that only this role has."""

    def _attach(self, group: TaskGroup) -> None:
        self._group = group

    def _reduce_all(self) -> None:
        while self._events:
            for effect in self._reduce(self._events.popleft()):
                self._carry_out(effect)

    def _carry_out(self, effect: EffectT) -> None:
        match effect:
            case effects.Send():
                self._send(effect.peer, effect.message)
            case effects.Count():
                self.counters.count(effect.name, effect.amount)
            case effects.Observe():
                self.counters.observe(effect.name, effect.seconds)
            case effects.StateChanged():
                log_change(effect.name, effect.fields)
            case effects.CloseLink():
                self._close(effect.peer, effect.reason)
            case effects.Exit():
                self.stopped.set()
            case _:
                self._carry_out_own(effect)

    def _send(self, peer: str, message: Message) -> None:
        if not any(
            dialler.send(peer, message) for dialler in self._diallers.values()
        ):
            self.counters.count('messages_without_link')

    def _close(self, peer: str, reason: str) -> None:
        for dialler in self._diallers.values():
            dialler.close(peer, reason)
