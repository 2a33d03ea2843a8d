"""Dial links that share one port per process."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING
from typing import Final

import anyio
import pynng
import trio
from anyio.abc import TaskGroup

from savoryrudder.daemon.liveness import FAST_TIMING
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.outgoing import Outbox
from savoryrudder.daemon.session import LinkHandler
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionIds
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savoryrudder.protocol.messages import Message

_SESSION_BYTES: Final = 6
# An address that cannot be encoded raises ValueError.
_DIAL_ERRORS: Final = (pynng.NNGException, ValueError)


class SharedPortDialler:
    """Keep one session with the process that listens on an address."""

    def __init__(
        self,
        address: str,
        handler: LinkHandler,
        revision: Callable[[], int],
        timing: LinkTiming = FAST_TIMING,
        rng: random.Random | None = None,
        outbox: Outbox | None = None,
        sessions: dict[str, Session] | None = None,
    ) -> None:
        """Prepare to dial `ip:port`; `rng` draws the retry delays.

        `sessions` holds the running session under its identifier.
        """
        self._outbox = outbox
        self._sessions: dict[str, Session] = (
            {} if sessions is None else sessions
        )
        self._address = address
        self._handler = handler
        self._revision = revision
        self._timing = timing
        self._rng = rng or random.Random()
        self._session: Session | None = None
        self._is_wanted = True
        self._cancel_scope = trio.CancelScope()

    @property
    def session_id(self) -> str:
        """Return the identifier of the open session; empty if there is none."""
        session = self._session
        if session is None or not session.was_up:
            return ''
        return session.ids.session

    @property
    def _redial_ms(self) -> tuple[int, int]:
        # A process that starts listens soon after its address is known.
        timing = self._timing
        return (
            int(timing.backoff_min_s * MS_PER_S),
            int(timing.backoff_max_s * MS_PER_S),
        )

    def set_wanted(self, *, wanted: bool) -> None:
        """Set whether to dial again once the open session has ended."""
        self._is_wanted = wanted

    def stop(self) -> None:
        """Close the open session, if any, and stop dialling."""
        if self._session is not None:
            self._session.close('address is no longer dialled')
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Dial and serve sessions until stopped, cancelled or not wanted."""
        with self._cancel_scope:
            while self._is_wanted:
                await self._dial_and_serve()
                await anyio.sleep(
                    self._rng.uniform(
                        self._timing.backoff_min_s,
                        self._timing.backoff_max_s,
                    ),
                )

    async def _dial_and_serve(self) -> None:
        session_id = secrets.token_hex(_SESSION_BYTES)
        socket = PairSocket(pynng.Pair1())
        try:
            socket.dial_once(self._address, redial_ms=self._redial_ms)
        except _DIAL_ERRORS:
            socket.close()
            return
        session = Session(
            socket,
            SessionIds(session_id, session_id),
            self._handler,
            self._revision,
            self._timing,
            self._outbox,
        )
        self._session = session
        self._sessions[session_id] = session
        try:
            await session.run()
        finally:
            self._sessions.pop(session_id)
        self._session = None


class DialledLinks:
    """Keep sessions with the processes at a changing set of addresses."""

    def __init__(
        self,
        handler: LinkHandler,
        revision: Callable[[], int],
        outbox: Outbox | None = None,
    ) -> None:
        """Initialize without addresses; `set_addresses` sets them."""
        self._outbox = outbox
        self._handler = handler
        self._revision = revision
        self._diallers: dict[str, SharedPortDialler] = {}
        self._sessions: dict[str, Session] = {}

    def has_session(self, session_id: str) -> bool:
        """Return whether an open session was dialled by this process."""
        session = self._sessions.get(session_id)
        return session is not None and session.was_up

    def sessions_at(self, addresses: Iterable[str]) -> tuple[str, ...]:
        """Return the identifiers of the open sessions at some addresses."""
        sessions = (
            self._diallers[address].session_id
            for address in addresses
            if address in self._diallers
        )
        return tuple(filter(None, sessions))

    def set_addresses(
        self,
        group: TaskGroup,
        addresses: Iterable[str],
        retired: Iterable[str] = (),
    ) -> None:
        """Dial these addresses; stop dialling others that are not linked.

        An open session at a retired address is kept, but not dialled again.
        """
        wanted = set(addresses)
        not_wanted = set(retired)
        for address, open_dialler in self._diallers.items():
            open_dialler.set_wanted(wanted=address not in not_wanted)
        for dialled in tuple(self._diallers):
            dialler = self._diallers[dialled]
            # An open session outlives an expired registration.
            if dialled not in wanted and not dialler.session_id:
                dialler.stop()
                self._diallers.pop(dialled)
        for address in sorted(wanted - self._diallers.keys()):
            new_dialler = SharedPortDialler(
                address,
                self._handler,
                self._revision,
                outbox=self._outbox,
                sessions=self._sessions,
            )
            self._diallers[address] = new_dialler
            group.start_soon(self._run, address, new_dialler)

    def send(self, session_id: str, message: Message) -> bool:
        """Queue a message; return False if there is no such session."""
        session = self._sessions.get(session_id)
        return session is not None and session.send(message)

    def set_carries_work(self, session_id: str, *, carries_work: bool) -> None:
        """Record whether a session carries work."""
        session = self._sessions.get(session_id)
        if session is not None:
            session.set_carries_work(carries_work=carries_work)

    async def _run(self, address: str, dialler: SharedPortDialler) -> None:
        await dialler.run()
        if self._diallers.get(address) is dialler:
            self._diallers.pop(address)

    def close(self, session_id: str, reason: str) -> None:
        """Close a session, if it is open; a new one is dialled."""
        session = self._sessions.get(session_id)
        if session is not None:
            session.close(reason)
