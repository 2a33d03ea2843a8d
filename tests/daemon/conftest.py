"""Provide a recorder of link events and short link intervals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import anyio
import pytest

from savoryrudder.daemon.session import LinkTiming

if TYPE_CHECKING:
    from collections.abc import Callable

    from savoryrudder.protocol.messages import Message


class Happening(NamedTuple):
    """Hold one call of a link callback."""

    kind: str
    peer: str
    session: str
    detail: object


class Recorder:
    """Record the calls of link callbacks."""

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self.seen: list[Happening] = []
        self._changed = anyio.Event()

    def on_up(self, peer: str, session: str) -> None:
        """Record a session."""
        self._add(Happening('up', peer, session, None))

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Record each message."""
        for message in messages:
            self._add(Happening('message', peer, session, message))

    def on_down(self, peer: str, session: str, reason: str) -> None:
        """Record the end of a session."""
        self._add(Happening('down', peer, session, reason))

    def of_kind(self, kind: str) -> list[Happening]:
        """Return what was recorded of one kind."""
        return [one for one in self.seen if one.kind == kind]

    async def wait_for(
        self,
        wanted: Callable[[Happening], bool],
    ) -> Happening:
        """Wait until something matches and return the first match."""
        while True:
            for one in self.seen:
                if wanted(one):
                    return one
            await self._changed.wait()

    def _add(self, happening: Happening) -> None:
        self.seen.append(happening)
        self._changed.set()
        self._changed = anyio.Event()


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@pytest.fixture
def timing() -> LinkTiming:
    """Return short intervals, so that silence is noticed soon."""
    return LinkTiming(
        heartbeat_s=0.05,
        silent_intervals=6,
        join_timeout_s=5,
        backoff_min_s=0.01,
        backoff_max_s=0.05,
    )


@pytest.fixture
def at_entry() -> Recorder:
    """Return the recorder of the listening side."""
    return Recorder()


@pytest.fixture
def at_agent() -> Recorder:
    """Return the recorder of the dialling side."""
    return Recorder()
