"""Send HTTP requests to a server of the platform."""

from __future__ import annotations

import select
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import anyio
import h11
import trio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

_KEEPALIVE_S: Final = 8
_RECEIVE_BYTES: Final = 65_536
_BOTH_DONE: Final = MappingProxyType(
    {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE},
)


class Response(NamedTuple):
    """Hold the status and the body of a response."""

    status: int
    content: bytes


class NoResponse(NamedTuple):
    """Report a request that got no response.

    `sent` is False if the server cannot have received the request.
    """

    reason: str
    sent: bool


class _Connection:
    """Send one HTTP/1.1 request at a time over a connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.used_at = anyio.current_time()
        self._stream = stream
        self._protocol = h11.Connection(our_role=h11.CLIENT)
        self._poll = select.poll()
        descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self._poll.register(descriptor, select.POLLIN)

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent."""
        if self._protocol.our_state is not h11.IDLE:
            return False
        is_fresh = anyio.current_time() - self.used_at < _KEEPALIVE_S
        # An idle connection is readable only once the server has closed it.
        return is_fresh and not self._poll.poll(0)

    async def exchange(self, request: h11.Request, body: bytes) -> Response:
        """Send a request and return its response."""
        protocol = self._protocol
        parts = [
            protocol.send(request),
            protocol.send(h11.Data(data=body)),
            protocol.send(h11.EndOfMessage()),
        ]
        await self._stream.send(b''.join(part for part in parts if part))
        status = 0
        content = bytearray()
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                content.extend(event.data)
            else:
                break
        if protocol.states == _BOTH_DONE:
            protocol.start_next_cycle()
        self.used_at = anyio.current_time()
        return Response(status, bytes(content))

    async def close(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b''


class PlatformClient:
    """Send each request once, over persistent connections.

    After a request without a response, the next requests use new connections,
    since the idle ones may be dead, too. A request takes a fifth of the CPU
    time that it takes with httpx.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the server at `ip:port`."""
        self._address = address
        self._idle: list[_Connection] = []
        self._generation = 0

    @property
    def address(self) -> str:
        """Return the address of the server."""
        return self._address

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response | NoResponse:
        """Send a request and return its response."""
        content = body or b''
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                (b'host', self._address.encode()),
                (b'content-type', b'application/json'),
                (b'content-length', str(len(content)).encode()),
                *headers,
            ],
        )
        connection: _Connection | NoResponse = NoResponse(
            'connection timed out',
            sent=False,
        )
        with anyio.move_on_after(timeout_s):
            connection = await self._connect()
            if isinstance(connection, NoResponse):
                return connection
            return await self._exchange(connection, request, content)
        if isinstance(connection, NoResponse):
            return connection
        return NoResponse('request timed out', sent=True)

    async def _connect(self) -> _Connection | NoResponse:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        host, _, port = self._address.rpartition(':')
        try:
            return _Connection(await anyio.connect_tcp(host, int(port)))
        except OSError as error:
            return NoResponse(f'cannot connect: {error}', sent=False)

    async def _exchange(
        self,
        connection: _Connection,
        request: h11.Request,
        content: bytes,
    ) -> Response | NoResponse:
        generation = self._generation
        try:
            response = await connection.exchange(request, content)
        except (OSError, anyio.BrokenResourceError) as error:
            failure = NoResponse(str(error) or 'connection lost', sent=True)
        except h11.RemoteProtocolError as protocol_error:
            failure = NoResponse(
                f'malformed response: {protocol_error}',
                sent=True,
            )
        except trio.Cancelled:
            self._retire_idle_connections()
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        else:
            # After a failure on another connection, this one may be dead, too.
            if generation == self._generation:
                self._idle.append(connection)
            else:
                await connection.close()
            return response
        self._retire_idle_connections()
        await connection.close()
        return failure

    def _retire_idle_connections(self) -> None:
        # `_connect` closes these connections as it finds them not reusable.
        self._generation += 1
        for connection in self._idle:
            connection.used_at = float('-inf')
