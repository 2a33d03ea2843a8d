"""Collect the effects of one event."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.entry import effects as entry_effects
from savoryrudder.entry.state import PendingCall
from savoryrudder.utils import effects

if TYPE_CHECKING:
    from savoryrudder.entry.state import EntryState
    from savoryrudder.protocol.messages import Message
    from savoryrudder.store.interface import StoreOperation


class Turn:
    """Hold state and time for the handlers of an event; collect effects."""

    def __init__(self, state: EntryState, now: float, wall: float) -> None:
        """Start a turn at a monotonic time and a UTC time in seconds."""
        self.state = state
        self.now = now
        self.wall = wall
        self.effects: list[entry_effects.EntryEffect] = []

    def send(self, peer: str, message: Message) -> None:
        """Send a message on the session with a peer."""
        self.effects.append(effects.Send(peer, message))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.effects.append(effects.Count(name, amount))

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.effects.append(effects.Observe(name, seconds))

    def log_change(self, name: str, **fields: str) -> None:
        """Write a log line about a change of state."""
        self.effects.append(effects.Log(name, tuple(fields.items())))

    def emit(self, effect: entry_effects.EntryEffect) -> None:
        """Add any other effect."""
        self.effects.append(effect)

    def reply_json(
        self,
        request: int,
        status: int,
        body: dict[str, Any],
    ) -> None:
        """Answer an operator's request."""
        self.emit(entry_effects.ReplyJson(request, status, body))

    def call_store(
        self,
        operation: StoreOperation,
        pending: PendingCall,
    ) -> None:
        """Call the store and keep the context for its answer."""
        call = self.state.next_call_id
        self.state.next_call_id += 1
        self.state.pending_calls[call] = pending
        self.emit(entry_effects.CallStore(call, operation))
