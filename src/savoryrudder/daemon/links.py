"""Keep links to other processes: listen for them and dial them."""

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
from savoryrudder.daemon.session import DEFAULT_TIMING
from savoryrudder.daemon.session import LinkEvents
from savoryrudder.daemon.session import LinkTiming
from savoryrudder.daemon.session import Session
from savoryrudder.daemon.session import SessionName
from savoryrudder.daemon.sockets import MessageSocket
from savoryrudder.daemon.sockets import PairSocket
from savoryrudder.protocol.codec import PROTOCOL_VERSION
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from savoryrudder.protocol.messages import Message

_SESSION_BYTES: Final = 8
_ANY_PORT: Final = (0,)
_BACKOFF_FACTOR: Final = 3
# Bounds the sockets that peers can hold by joining without connecting.
_MAX_PENDING: Final = 4096


class _SessionTable:
    """Hold the open session of each peer, and those that are not up yet.

    A session replaces an earlier one of its peer when it is up, not when it
    is asked for: a join request that was delayed must not end a healthy
    session.
    """

    def __init__(self, events: LinkEvents) -> None:
        self._events = events
        self._pending: dict[str, Session] = {}
        self._open: dict[str, Session] = {}

    @property
    def pending_count(self) -> int:
        """Return how many sessions are not up yet."""
        return len(self._pending)

    def find(self, peer: str) -> Session | None:
        """Return the open session of a peer."""
        return self._open.get(peer)

    def add(self, session: Session) -> None:
        """Take in a session that is not up yet."""
        self._pending[session.name.session] = session

    def discard(self, session: Session) -> None:
        """Forget a session that ended before it was up."""
        self._pending.pop(session.name.session, None)

    def on_up(self, peer: str, session: str) -> None:
        """Replace the earlier session of the peer."""
        earlier = self._open.get(peer)
        if earlier is not None:
            earlier.end('replaced by a new session')
        self._open[peer] = self._pending.pop(session)
        self._events.on_up(peer, session)

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Pass on the messages."""
        self._events.on_frame(peer, session, revision, messages)

    def on_down(self, peer: str, session: str, reason: str) -> None:
        """Forget the session."""
        self._open.pop(peer, None)
        self._events.on_down(peer, session, reason)


class LinkListener:
    """Accept one session per peer at a join address.

    Each session has a listening socket of its own. A later session of a peer
    replaces its earlier one.
    """

    def __init__(
        self,
        address: str,
        identity: str,
        events: LinkEvents,
        revision: Callable[[], int],
        timing: LinkTiming = DEFAULT_TIMING,
        ports: Sequence[int] = _ANY_PORT,
    ) -> None:
        """Prepare to listen at `ip:port`; `ports` are for the sessions."""
        self._address = address
        self._identity = identity
        self._table = _SessionTable(events)
        self._revision = revision
        self._timing = timing
        self._ports = ports

    @property
    def address(self) -> str:
        """Return the join address, with the bound port once `run` started."""
        return self._address

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        session = self._table.find(peer)
        return session is not None and session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """End the session of a peer, if it has one."""
        session = self._table.find(peer)
        if session is not None:
            session.close(reason)

    async def run(
        self,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve joins until cancelled; reports the bound address."""
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
        raw = await socket.receive()
        granted = join.decode_request(raw).bind(self._open_session)
        if granted.is_ok():
            session, address = granted.ok
            group.start_soon(self._serve, session)
            answer = self._answer(session.name.session, address, '')
        else:
            answer = self._answer('', '', granted.error)
        with contextlib.suppress(pynng.NNGException):
            await socket.send(join.encode_join(answer))

    def _answer(
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
        if self._table.pending_count >= _MAX_PENDING:
            return Error('too many sessions are being opened')
        bound = self._bind()
        if bound.is_error():
            return Error(bound.error)
        socket, address = bound.ok
        session = Session(
            socket,
            SessionName(request.peer, secrets.token_hex(_SESSION_BYTES)),
            self._table,
            self._revision,
            self._timing,
        )
        self._table.add(session)
        return Ok((session, address))

    def _bind(self) -> Result[tuple[PairSocket, str], str]:
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
    """Keep one session with the process that listens at a join address."""

    def __init__(
        self,
        join_address: str,
        request: join.JoinRequest,
        events: LinkEvents,
        revision: Callable[[], int],
        timing: LinkTiming = DEFAULT_TIMING,
        randomness: random.Random | None = None,
    ) -> None:
        """Prepare to dial `ip:port`; `randomness` spreads the retries."""
        self._join_address = join_address
        self._request = request
        self._events = events
        self._revision = revision
        self._timing = timing
        self._random = randomness or random.Random()
        self._session: Session | None = None
        self._scope = anyio.CancelScope()
        self._fault = ''

    @property
    def peer(self) -> str:
        """Return the peer id at the other end; empty while not up."""
        session = self._session
        if session is None or not session.was_up:
            return ''
        return session.name.peer

    @property
    def fault(self) -> str:
        """Return why the last attempt or session ended."""
        return self._fault

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        session = self._find(peer)
        return session is not None and session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """End the session with a peer; a new one is dialled."""
        session = self._find(peer)
        if session is not None:
            session.close(reason)

    def stop(self) -> None:
        """End the open session, if any, and do not dial again."""
        if self._session is not None:
            self._session.close('address is no longer dialled')
        self._scope.cancel()

    async def run(self) -> None:
        """Join and serve sessions until stopped or cancelled."""
        with self._scope:
            await self._dial_repeatedly()

    async def _dial_repeatedly(self) -> None:
        pause_s = self._timing.backoff_min_s
        while True:
            was_up = await self._attempt()
            if was_up:
                pause_s = self._timing.backoff_min_s
            pause_s = self._next_pause_s(pause_s)
            await anyio.sleep(pause_s)

    def _find(self, peer: str) -> Session | None:
        session = self._session
        if session is None or session.name.peer != peer:
            return None
        return session if session.was_up else None

    def _next_pause_s(self, pause_s: float) -> float:
        # Decorrelated jitter: peers that lost a listener together come back
        # spread over time.
        drawn = self._random.uniform(
            self._timing.backoff_min_s,
            pause_s * _BACKOFF_FACTOR,
        )
        return min(drawn, self._timing.backoff_max_s)

    async def _attempt(self) -> bool:
        joined = await self._join()
        if joined.is_error():
            self._fault = joined.error
            return False
        answer = joined.ok
        try:
            socket = _dial_pair(answer.address)
        except pynng.NNGException as error:
            self._fault = f'cannot dial {answer.address}: {error}'
            return False
        return await self._serve(socket, answer)

    async def _serve(
        self,
        socket: PairSocket,
        answer: join.JoinAnswer,
    ) -> bool:
        self._session = Session(
            socket,
            SessionName(answer.listener, answer.session),
            self._events,
            self._revision,
            self._timing,
        )
        session = self._session
        await session.run()
        self._session = None
        self._fault = session.reason
        return session.was_up

    async def _join(self) -> Result[join.JoinAnswer, str]:
        with contextlib.closing(MessageSocket(pynng.Req0())) as socket:
            try:
                with anyio.fail_after(self._timing.join_timeout_s):
                    return join.decode_answer(await self._ask(socket))
            except TimeoutError:
                return Error('no answer to the join request')
            except pynng.NNGException as error:
                return Error(f'join failed: {error}')

    async def _ask(self, socket: MessageSocket) -> bytes:
        shortest_ms = int(self._timing.backoff_min_s * MS_PER_S)
        longest_ms = int(self._timing.backoff_max_s * MS_PER_S)
        socket.dial(self._join_address, redial_ms=(shortest_ms, longest_ms))
        await socket.send(join.encode_join(self._request))
        return await socket.receive()


def _dial_pair(address: str) -> PairSocket:
    socket = PairSocket()
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(socket.close)
        socket.dial_once(address)
        cleanup.pop_all()
    return socket
