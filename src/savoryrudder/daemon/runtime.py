"""Run a reducer and keep its links to entries."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from savoryrudder.daemon.links import LinkDialler
from savoryrudder.daemon.loop import EffectT
from savoryrudder.daemon.loop import EventT
from savoryrudder.daemon.loop import ReducerLoop

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savoryrudder.daemon.join import JoinRequest
    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.daemon.tracing import Tracer
    from savoryrudder.protocol.messages import Message


class Runtime(ReducerLoop[EventT, EffectT]):
    """Run the reducer of a role that dials entries."""

    def __init__(
        self,
        join_request: JoinRequest,
        counters: Counters,
        tracer: Tracer,
    ) -> None:
        """Create a runtime that joins entries with `join_request`."""
        super().__init__(counters)
        self.tracer = tracer
        self._join_request = join_request
        self._diallers: dict[str, LinkDialler] = {}

    @property
    @abstractmethod
    def revision(self) -> int:
        """Return the configuration revision that is sent with frames."""

    @property
    def linked_addresses(self) -> list[str]:
        """Return the dialled join addresses that have an open session."""
        return [
            address
            for address, dialler in self._diallers.items()
            if dialler.peer
        ]

    @abstractmethod
    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a newly opened session."""

    @abstractmethod
    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Handle the messages of a frame."""

    @abstractmethod
    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Handle the end of a session."""

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

    def _set_task_group(self, group: TaskGroup) -> None:
        self._group = group

    def _send(self, peer: str, message: Message) -> None:
        if not any(
            dialler.send(peer, message) for dialler in self._diallers.values()
        ):
            self.counters.count('messages_without_link')

    def _close(self, peer: str, reason: str) -> None:
        for dialler in self._diallers.values():
            dialler.close(peer, reason)
