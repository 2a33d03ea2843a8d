"""Bound the requests that hypercorn passes to an application.

hypercorn bounds the head of a request and the time for it. The guard bounds
bodies, those of all connections together, and the time that a client has to
send a body and to read the response.
"""

from __future__ import annotations

import socket
from contextvars import ContextVar
from typing import TYPE_CHECKING
from typing import Final

import trio

from savoryrudder.daemon import asgi
from savoryrudder.daemon.request_limits import Stage
from savoryrudder.daemon.request_refusals import BODY_TOO_LARGE
from savoryrudder.daemon.request_refusals import NO_MEMORY
from savoryrudder.daemon.request_refusals import PADDING_TOO_LARGE
from savoryrudder.daemon.request_refusals import TOO_SLOW
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.daemon.http import Application
    from savoryrudder.daemon.intake import Intake
    from savoryrudder.daemon.paced_stream import PacedStream
    from savoryrudder.daemon.request_refusals import RequestRefusal

_CONTENT_LENGTH: Final = b'content-length'
_CLOSE: Final = (b'connection', b'close')
# A client that still sends gets a refusal only if its bytes are read.
# A longer length of a body is over every limit.
_MAX_LENGTH_DIGITS: Final = 19
_LINGER_S: Final = 1
_LINGER_MESSAGES: Final = 64
# Bounds heads without end and frames that are no request. The pieces of a body
# that hypercorn reads ahead of the guard stay below it.
_MAX_UNCLAIMED_BYTES: Final = 131_072


class GuardedConnection:
    """Let the intake close a connection that waits for its client."""

    def __init__(self, stream: PacedStream, intake: Intake) -> None:
        """Guard a connection whose requests are served."""
        # hypercorn shields what it sends from cancellation.
        stream.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(intake.requests.write_s * MS_PER_S),
        )
        self._stream = stream
        self._intake = intake
        self._served = 0
        # Received since a request, or a part of a body, was complete.
        self._unclaimed_bytes = 0
        stream.set_receive_callback(self._note_received)

    def drop(self, refusal: RequestRefusal) -> None:
        """Close the connection; whoever waits for it is told."""
        self._stream.socket.close()

    def claim(self) -> None:
        """Note that what was received has reached a request."""
        self._unclaimed_bytes = 0

    def mark_serving(self) -> None:
        """Note that one more request waits for its answer."""
        self._served += 1
        self._intake.mark_serving(self)

    def mark_waiting(self) -> None:
        """Note that one request less waits for its answer."""
        self._served -= 1
        if not self._served:
            self._intake.mark_waiting(self, trio.current_time())

    def _note_received(self, size: int) -> None:
        self._unclaimed_bytes += size
        if self._unclaimed_bytes > _MAX_UNCLAIMED_BYTES:
            self._intake.count_refusal(PADDING_TOO_LARGE, trio.current_time())
            self.drop(PADDING_TOO_LARGE)


# The connection that the requests of a task arrive at.
current_connection: Final[ContextVar[GuardedConnection]] = ContextVar(
    'current_connection',
)


class _BodyReader:
    """Read the body of one request within the limits."""

    def __init__(self, receive: asgi.Receive, intake: Intake) -> None:
        self.refusal: RequestRefusal | None = None
        self._receive = receive
        self._intake = intake
        self._content = bytearray()
        self._reading = trio.CancelScope()

    def drop(self, refusal: RequestRefusal) -> None:
        """Free what was received and refuse the request."""
        self.refusal = refusal
        self._content = bytearray()
        self._reading.cancel()

    async def read(self, headers: asgi.Headers) -> bytes:
        """Return the body; set `refusal` if there will be none.

        Raises `CallerDisconnectedError` if the caller disconnects first.
        """
        if _announced_bytes(headers) > self._intake.requests.max_body_bytes:
            self.refusal = BODY_TOO_LARGE
            return b''
        begun_at = trio.current_time()
        is_whole = False
        while not is_whole and self.refusal is None:
            is_whole = await self._read_part(begun_at)
        content = bytes(self._content)
        self._content = bytearray()
        return content

    async def _read_part(self, begun_at: float) -> bool:
        limits = self._intake.requests
        self._reading = trio.CancelScope(
            deadline=begun_at
            + limits.receive_s(Stage.BODY, len(self._content)),
        )
        with self._reading:
            message = await self._receive()
            current_connection.get().claim()
            if message['type'] == asgi.DISCONNECT:
                raise asgi.CallerDisconnectedError
            return self._add(message)
        self.refusal = self.refusal or TOO_SLOW
        return False

    def _add(self, message: asgi.Message) -> bool:
        self._content.extend(message.get('body', b''))
        is_whole = not message.get('more_body', False)
        size = len(self._content)
        now = trio.current_time()
        if size > self._intake.requests.max_body_bytes:
            self.refusal = BODY_TOO_LARGE
        elif not self._intake.hold(
            self,
            size,
            now,
            is_unfinished=not is_whole,
        ):
            self.refusal = NO_MEMORY
        if self.refusal is not None:
            self._content = bytearray()
        return is_whole


class RequestGuard:
    """Pass whole requests within the limits to an ASGI application."""

    def __init__(self, app: Application, intake: Intake) -> None:
        """Guard the requests to `app`."""
        self._app = app
        self._intake = intake

    async def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        current_connection.get().claim()
        reader = _BodyReader(receive, self._intake)
        try:
            await self._serve(reader, scope, receive, send)
        except asgi.CallerDisconnectedError:
            return
        finally:
            self._intake.release(reader)

    async def _serve(
        self,
        reader: _BodyReader,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        content = await reader.read(scope['headers'])
        if reader.refusal is not None:
            await self._refuse(reader.refusal, receive, send)
            return
        connection = current_connection.get()
        exchange = _Exchange(connection, content, receive, send)
        connection.mark_serving()
        try:
            await self._app(scope, exchange.receive, exchange.send)
        finally:
            connection.mark_waiting()

    async def _refuse(
        self,
        refusal: RequestRefusal,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        self._intake.count_refusal(refusal, trio.current_time())
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = [
            (b'content-type', asgi.JSON),
            (b'content-length', str(len(body)).encode()),
            _CLOSE,
        ]
        if refusal.retry_after_s:
            seconds = str(refusal.retry_after_s).encode()
            headers.append((b'retry-after', seconds))
        await send(
            {
                'type': 'http.response.start',
                'status': refusal.status,
                'headers': headers,
            },
        )
        await send(
            {'type': 'http.response.body', 'body': body, 'more_body': True},
        )
        await _linger(receive)
        await send({'type': 'http.response.body', 'body': b''})


class _Exchange:
    """Hand a body that was read to an application, and pass its response."""

    def __init__(
        self,
        connection: GuardedConnection,
        content: bytes,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        self._connection = connection
        self._content: bytes | None = content
        self._receive = receive
        self._send = send

    async def receive(self) -> asgi.Message:
        """Return the body, then what the server tells."""
        if self._content is None:
            return await self._receive()
        content = self._content
        self._content = None
        return {'type': 'http.request', 'body': content, 'more_body': False}

    async def send(self, message: asgi.Message) -> None:
        """Send a part of the response; the client may be slow to read it."""
        self._connection.mark_waiting()
        try:
            await self._send(message)
        finally:
            self._connection.mark_serving()


async def _linger(receive: asgi.Receive) -> None:
    with trio.move_on_after(_LINGER_S):
        unread = _LINGER_MESSAGES
        while unread and (await receive()).get('more_body', False):
            current_connection.get().claim()
            unread -= 1


def _announced_bytes(headers: asgi.Headers) -> int:
    announced = next(
        (length for name, length in headers if name == _CONTENT_LENGTH),
        b'',
    )
    if not announced.isdigit():
        return 0
    return int(announced[:_MAX_LENGTH_DIGITS])
