"""Provide a recorder of link events and short link intervals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import anyio
import pytest

from savoryrudder.daemon.session import LinkTiming

if TYPE_CHECKING:
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
        self.revisions: set[int] = set()
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
        self.revisions.add(revision)
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
        kind: str,
        session: str = '',
        after: str = '',
        detail: object = None,
    ) -> Happening:
        """Return the first match; `after` is a session to be passed over."""
        while True:
            for one in self.of_kind(kind):
                is_session = one.session == session or not session
                is_detail = detail is None or one.detail == detail
                if is_session and is_detail and one.session != after:
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
        silent_intervals=20,
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
