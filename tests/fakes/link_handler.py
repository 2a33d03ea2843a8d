"""Ignore the callbacks of links."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Message


class IgnoringHandler:
    """Ignore the callbacks of a link."""

    def on_link_up(self, peer: str, session: str) -> None:
        """Ignore an opened session."""

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Ignore messages."""

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Ignore the end of a session."""
