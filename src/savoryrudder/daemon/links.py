"""Listen for and dial links that use one port per session."""

from __future__ import annotations

import contextlib
import random
import secrets
from typing import TYPE_CHECKING
from typing import Final

import anyio
import pynng
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.daemon import join
from savoryrudder.daemon.liveness import LinkTiming
from savoryrudder.daemon.session import DEFAULT_TIMING
from savoryrudder.daemon.session import LinkHandler
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionIds
from savoryrudder.daemon.sockets import MessageSocket
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.protocol.codec import PROTOCOL_VERSION
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from savoryrudder.protocol.messages import Message

_SESSION_BYTES: Final = 8
_EPHEMERAL_PORT: Final = (0,)
_BACKOFF_FACTOR: Final = 3
# Bounds the sockets opened for peers that join without connecting.
_MAX_PENDING_SESSIONS: Final = 4096


class _SessionTable:
    """Hold the open session of each peer, and those that are not up yet.

    A session replaces the previous one of its peer once it is up, not when it
    is requested: a delayed join request must not close a healthy session.
    """

    def __init__(self, handler: LinkHandler) -> None:
        self._handler = handler
        self._pending: dict[str, Session] = {}
        self._open: dict[str, Session] = {}

    @property
    def pending_count(self) -> int:
        """Return the number of sessions that are not up yet."""
        return len(self._pending)

    def find(self, peer: str) -> Session | None:
        """Return the open session of a peer, None if there is none."""
        return self._open.get(peer)

    def add(self, session: Session) -> None:
        """Add a session that is not up yet."""
        self._pending[session.ids.session] = session

    def discard(self, session: Session) -> None:
        """Remove a session that ended before it was up."""
        self._pending.pop(session.ids.session, None)

    def on_link_up(self, peer: str, session: str) -> None:
        """Replace the previous session of the peer."""
        previous = self._open.get(peer)
        if previous is not None:
            previous.close_now('replaced by a new session')
        self._open[peer] = self._pending.pop(session)
        self._handler.on_link_up(peer, session)

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Forward the messages of a frame."""
        self._handler.on_frame(peer, session, revision, messages)

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Remove the session."""
        self._open.pop(peer, None)
        self._handler.on_link_down(peer, session, reason)


class LinkListener:
    """Accept one session per peer on a join address.

    Each session has its own listening socket. A new session of a peer
    replaces the previous one.
    """

    def __init__(
        self,
        address: str,
        identity: str,
        handler: LinkHandler,
        revision: Callable[[], int],
        timing: LinkTiming = DEFAULT_TIMING,
        ports: Sequence[int] = _EPHEMERAL_PORT,
    ) -> None:
        """Prepare to listen on `ip:port`; `ports` are for the sessions."""
        self._address = address
        self._identity = identity
        self._table = _SessionTable(handler)
        self._revision = revision
        self._timing = timing
        self._ports = ports

    @property
    def address(self) -> str:
        """Return the join address, with the bound port once `run` listens."""
        return self._address

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        session = self._table.find(peer)
        return session is not None and session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """Close the session of a peer, if it has one."""
        session = self._table.find(peer)
        if session is not None:
            session.close(reason)

    async def run(
        self,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve join requests and sessions until cancelled.

        The task status receives the bound address.
        """
        with contextlib.closing(MessageSocket(pynng.Rep0())) as socket:
            self._address = socket.listen(self._address)
            task_status.started(self._address)
            async with anyio.create_task_group() as group:
                while True:
                    await self._serve_join(socket, group)

    async def _serve_join(
        self,
        socket: MessageSocket,
        group: TaskGroup,
    ) -> None:
        encoded = await socket.receive()
        opened = join.decode_request(encoded).bind(self._open_session)
        if opened.is_ok():
            session, address = opened.ok
            group.start_soon(self._serve, session)
            answer = self._join_answer(session.ids.session, address, '')
        else:
            answer = self._join_answer('', '', opened.error)
        with contextlib.suppress(pynng.NNGException):
            await socket.send(join.encode_join(answer))

    def _join_answer(
        self,
        session: str,
        address: str,
        refusal: str,
    ) -> join.JoinAnswer:
        return join.JoinAnswer(
            PROTOCOL_VERSION,
            self._identity,
            session,
            address,
            refusal,
        )

    def _open_session(
        self,
        request: join.JoinRequest,
    ) -> Result[tuple[Session, str], str]:
        if self._table.pending_count >= _MAX_PENDING_SESSIONS:
            return Error('too many sessions are being opened')
        bound = self._listen_on_free_port()
        if bound.is_error():
            return Error(bound.error)
        socket, address = bound.ok
        session = Session(
            socket,
            SessionIds(request.peer, secrets.token_hex(_SESSION_BYTES)),
            self._table,
            self._revision,
            self._timing,
        )
        self._table.add(session)
        return Ok((session, address))

    def _listen_on_free_port(self) -> Result[tuple[PairSocket, str], str]:
        host = self._address.rpartition(':')[0]
        for port in self._ports:
            with contextlib.suppress(pynng.NNGException):
                return Ok(_listen_pair(f'{host}:{port}'))
        return Error('no free port for a session')

    async def _serve(self, session: Session) -> None:
        await session.run()
        self._table.discard(session)


def _listen_pair(address: str) -> tuple[PairSocket, str]:
    socket = PairSocket()
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(socket.close)
        bound = socket.listen(address)
        cleanup.pop_all()
    return socket, bound


class LinkDialler:
    """Keep one session with the process that listens on a join address."""

    def __init__(
        self,
        join_address: str,
        request: join.JoinRequest,
        handler: LinkHandler,
        revision: Callable[[], int],
        timing: LinkTiming = DEFAULT_TIMING,
        rng: random.Random | None = None,
    ) -> None:
        """Prepare to dial `ip:port`; `rng` draws the retry delays."""
        self._join_address = join_address
        self._request = request
        self._handler = handler
        self._revision = revision
        self._timing = timing
        self._rng = rng or random.Random()
        self._session: Session | None = None
        self._cancel_scope = anyio.CancelScope()
        self._last_error = ''

    @property
    def peer(self) -> str:
        """Return the peer id of the open session; empty if there is none."""
        session = self._session
        if session is None or not session.was_up:
            return ''
        return session.ids.peer

    @property
    def last_error(self) -> str:
        """Return why the last attempt failed or the last session ended."""
        return self._last_error

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        session = self._find(peer)
        return session is not None and session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """Close the session with a peer; a new one is dialled."""
        session = self._find(peer)
        if session is not None:
            session.close(reason)

    def stop(self) -> None:
        """Close the open session, if any, and stop dialling."""
        if self._session is not None:
            self._session.close('address is no longer dialled')
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Dial and serve sessions until stopped or cancelled."""
        with self._cancel_scope:
            await self._dial_with_backoff()

    async def _dial_with_backoff(self) -> None:
        backoff_s = self._timing.backoff_min_s
        while True:
            was_up = await self._dial_and_serve()
            if was_up:
                backoff_s = self._timing.backoff_min_s
            backoff_s = self._next_backoff_s(backoff_s)
            await anyio.sleep(backoff_s)

    def _find(self, peer: str) -> Session | None:
        session = self._session
        if session is None or session.ids.peer != peer:
            return None
        return session if session.was_up else None

    def _next_backoff_s(self, backoff_s: float) -> float:
        # Decorrelated jitter spreads the reconnects of peers that lost the same
        # listener at once.
        drawn_s = self._rng.uniform(
            self._timing.backoff_min_s,
            backoff_s * _BACKOFF_FACTOR,
        )
        return min(drawn_s, self._timing.backoff_max_s)

    async def _dial_and_serve(self) -> bool:
        joined = await self._join()
        if joined.is_error():
            self._last_error = joined.error
            return False
        answer = joined.ok
        try:
            socket = _dial_pair(answer.address)
        except pynng.NNGException as error:
            self._last_error = f'cannot dial {answer.address}: {error}'
            return False
        return await self._serve(socket, answer)

    async def _serve(
        self,
        socket: PairSocket,
        answer: join.JoinAnswer,
    ) -> bool:
        self._session = Session(
            socket,
            SessionIds(answer.listener, answer.session),
            self._handler,
            self._revision,
            self._timing,
        )
        session = self._session
        await session.run()
        self._session = None
        self._last_error = session.reason
        return session.was_up

    async def _join(self) -> Result[join.JoinAnswer, str]:
        with contextlib.closing(MessageSocket(pynng.Req0())) as socket:
            try:
                with anyio.fail_after(self._timing.join_timeout_s):
                    return join.decode_answer(await self._exchange_join(socket))
            except TimeoutError:
                return Error('no answer to the join request')
            except pynng.NNGException as error:
                return Error(f'join failed: {error}')

    async def _exchange_join(self, socket: MessageSocket) -> bytes:
        min_ms = int(self._timing.backoff_min_s * MS_PER_S)
        max_ms = int(self._timing.backoff_max_s * MS_PER_S)
        socket.dial(self._join_address, redial_ms=(min_ms, max_ms))
        await socket.send(join.encode_join(self._request))
        return await socket.receive()


def _dial_pair(address: str) -> PairSocket:
    socket = PairSocket()
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(socket.close)
        socket.dial_once(address)
        cleanup.pop_all()
    return socket
