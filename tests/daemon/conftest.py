"""Provide recorders of link callbacks and short link intervals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import anyio
import pytest

from savoryrudder.daemon.liveness import LinkTiming

if TYPE_CHECKING:
    from savoryrudder.protocol.messages import Message


class LinkCall(NamedTuple):
    """Hold one recorded call of a link callback."""

    kind: str
    peer: str
    session: str
    detail: object


class Recorder:
    """Record the calls of link callbacks."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self.calls: list[LinkCall] = []
        self.revisions: set[int] = set()
        self._call_recorded = anyio.Event()

    def on_link_up(self, peer: str, session: str) -> None:
        """Record the start of a session."""
        self._record(LinkCall('up', peer, session, None))

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
            self._record(LinkCall('message', peer, session, message))

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Record the end of a session."""
        self._record(LinkCall('down', peer, session, reason))

    def of_kind(self, kind: str) -> list[LinkCall]:
        """Return the recorded calls of a kind: up, message or down."""
        return [call for call in self.calls if call.kind == kind]

    async def wait_for(
        self,
        kind: str,
        session: str = '',
        excluded_session: str = '',
        detail: object = None,
    ) -> LinkCall:
        """Wait for the first call that matches, and return it.

        Calls of `excluded_session` are ignored.
        """
        while True:
            for call in self.of_kind(kind):
                matches_session = call.session == session or not session
                matches_detail = detail is None or call.detail == detail
                if (
                    matches_session
                    and matches_detail
                    and call.session != excluded_session
                ):
                    return call
            await self._call_recorded.wait()

    def _record(self, call: LinkCall) -> None:
        self.calls.append(call)
        self._call_recorded.set()
        self._call_recorded = anyio.Event()


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@pytest.fixture
def timing() -> LinkTiming:
    """Return short intervals, so that timeouts elapse quickly."""
    return LinkTiming(
        heartbeat_s=0.05,
        max_missed_heartbeats=20,
        join_timeout_s=5,
        backoff_min_s=0.01,
        backoff_max_s=0.05,
    )


@pytest.fixture
def entry_recorder() -> Recorder:
    """Return the recorder of the listening side."""
    return Recorder()


@pytest.fixture
def agent_recorder() -> Recorder:
    """Return the recorder of the dialling side."""
    return Recorder()
