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

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from savoryrudder.protocol.messages import Message

_SESSION_BYTES: Final = 8
_ANY_PORT: Final = (0,)
_MS: Final = 1000
_BACKOFF_FACTOR: Final = 2


class LinkListener:
    """Accept one session per peer at a join address.

    Each session has a listening socket of its own. A further join of a peer
    replaces its earlier session.
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
        self._events = events
        self._revision = revision
        self._timing = timing
        self._ports = ports
        self._sessions: dict[str, Session] = {}

    @property
    def address(self) -> str:
        """Return the bound join address once `run` has started."""
        return self._address

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        session = self._sessions.get(peer)
        return session is not None and session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """End the session of a peer, if it has one."""
        session = self._sessions.get(peer)
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
        answer = self._answer(raw, group)
        with contextlib.suppress(pynng.NNGException):
            await socket.send(join.encode_join(answer))

    def _answer(
        self,
        raw: bytes,
        group: TaskGroup,
    ) -> join.JoinAnswer:
        request = join.decode_request(raw)
        if request.is_error():
            return self._refuse(request.error)
        bound = self._bind()
        if bound.is_error():
            return self._refuse(bound.error)
        socket, address = bound.ok
        name = SessionName(request.ok.peer, secrets.token_hex(_SESSION_BYTES))
        session = Session(
            socket,
            name,
            self._events,
            self._revision,
            self._timing,
        )
        self._replace(session)
        group.start_soon(self._serve, session)
        return join.JoinAnswer(
            PROTOCOL_VERSION,
            self._identity,
            name.session,
            address,
            '',
        )

    def _refuse(self, reason: str) -> join.JoinAnswer:
        return join.JoinAnswer(
            PROTOCOL_VERSION,
            self._identity,
            '',
            '',
            reason,
        )

    def _bind(self) -> Result[tuple[PairSocket, str], str]:
        host = self._address.rpartition(':')[0]
        for port in self._ports:
            socket = PairSocket()
            try:
                return Ok((socket, socket.listen(f'{host}:{port}')))
            except pynng.NNGException:
                socket.close()
        return Error('no free port for a session')

    def _replace(self, session: Session) -> None:
        peer = session.name.peer
        earlier = self._sessions.get(peer)
        self._sessions[peer] = session
        if earlier is not None:
            earlier.end('replaced by a new session')

    async def _serve(self, session: Session) -> None:
        await session.run()
        if self._sessions.get(session.name.peer) is session:
            self._sessions.pop(session.name.peer)


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
        self._fault = ''

    @property
    def peer(self) -> str:
        """Return the peer id at the other end; empty without a session."""
        return self._session.name.peer if self._session else ''

    @property
    def fault(self) -> str:
        """Return why the last attempt or session ended."""
        return self._fault

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; return False if the peer has no open session."""
        if self._session is None or self.peer != peer:
            return False
        return self._session.send(message)

    def close(self, peer: str, reason: str) -> None:
        """End the session with a peer; a new one is dialled."""
        if self._session is not None and self.peer == peer:
            self._session.close(reason)

    async def run(self) -> None:
        """Join and serve sessions until cancelled."""
        longest_s = self._timing.backoff_min_s
        while True:
            was_up = await self._attempt()
            if was_up:
                longest_s = self._timing.backoff_min_s
            await anyio.sleep(self._pause_s(longest_s))
            longest_s = min(
                longest_s * _BACKOFF_FACTOR,
                self._timing.backoff_max_s,
            )

    def _pause_s(self, longest_s: float) -> float:
        return self._random.uniform(self._timing.backoff_min_s, longest_s)

    async def _attempt(self) -> bool:
        joined = await self._join()
        if joined.is_error():
            self._fault = joined.error
            return False
        answer = joined.ok
        socket = PairSocket()
        socket.dial_once(answer.address)
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
        shortest_ms = int(self._timing.backoff_min_s * _MS)
        longest_ms = int(self._timing.backoff_max_s * _MS)
        socket.dial(self._join_address, redial_ms=(shortest_ms, longest_ms))
        await socket.send(join.encode_join(self._request))
        return await socket.receive()
