"""Serve ASGI applications over HTTP/1.1 without TLS.

Requests are parsed by httptools, in one task for each connection. The callers
of the platform use none of the protocols that hypercorn adds for the product's
own interface, and each process would pay for them at its start and with each
request.
"""

from __future__ import annotations

import traceback
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Final

import anyio
import trio

from savoryrudder.daemon import asgi
from savoryrudder.daemon.disconnects import has_peer_closed
from savoryrudder.daemon.http_requests import Request
from savoryrudder.daemon.http_requests import RequestParser
from savoryrudder.daemon.http_requests import RequestRefusal
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.loop import ReducerError

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savoryrudder.daemon.http import Application

_MAX_REQUEST_BYTES: Final = 1_048_576
_RECEIVE_BYTES: Final = 65_536
# A connection without a request is closed after this time.
_KEEPALIVE_S: Final = 60
# Time for the requests under way at a graceful stop.
_STOP_TIMEOUT_S: Final = 1
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_CONNECTION_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
# Errors of a request that are not its own.
_FOREIGN_ERRORS: Final = (*_CONNECTION_ERRORS, ReducerError)


async def serve_plain_http(
    app: Application,
    address: str,
    stopping: anyio.Event | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on `ip:port` until cancelled.

    The task status receives the bound URL. Once `stopping` is set, idle
    connections are closed and new ones refused; requests already received
    are still answered.
    """
    host, _, port = address.rpartition(':')
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    bound_port = listeners[0].socket.getsockname()[1]
    server = _Server(app)
    async with anyio.create_task_group() as group:
        accepting = anyio.CancelScope()
        group.start_soon(_accept, server, listeners, accepting)
        task_status.started(f'http://{host}:{bound_port}')
        if stopping is None:
            await anyio.sleep_forever()
        else:
            await stopping.wait()
        accepting.cancel()
        await server.stop()
        group.cancel_scope.cancel()


async def _accept(
    server: _Server,
    listeners: list[trio.SocketListener],
    scope: anyio.CancelScope,
) -> None:
    async with trio.open_nursery() as connections:
        with scope:
            await trio.serve_listeners(
                server.serve_connection,
                listeners,
                handler_nursery=connections,
            )


class _Server:
    """Track the open connections of a listener."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._connections: set[_Connection] = set()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve the requests of a connection until it is closed."""
        connection = _Connection(self._app, stream)
        self._connections.add(connection)
        try:
            async with stream:
                await connection.serve()
        except _CONNECTION_ERRORS:
            # The client has gone; there is nobody left to answer.
            return
        finally:
            self._connections.discard(connection)

    async def stop(self) -> None:
        """Close idle connections and wait a while for the others."""
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for connection in self._connections:
                    connection.stop()
                    group.start_soon(connection.closed.wait)


class _Connection:
    """Serve the requests of one connection, one after the other."""

    def __init__(self, app: Application, stream: trio.SocketStream) -> None:
        self.closed = anyio.Event()
        self._app = app
        self._stream = stream
        self._parser = RequestParser(_MAX_REQUEST_BYTES)
        self._is_open = True
        self._is_stopping = False
        self._idle = anyio.CancelScope()

    async def serve(self) -> None:
        """Serve requests until either end closes the connection."""
        try:
            while self._is_open and not self._is_stopping:
                request = await self._next_request()
                if request is None:
                    return
                await self._serve_request(request)
        finally:
            self.closed.set()

    def stop(self) -> None:
        """Close the connection once no request is under way."""
        self._is_stopping = True
        if self._parser.is_idle:
            self._idle.cancel()

    async def _next_request(self) -> Request | None:
        while True:
            request = self._parser.next_request()
            if request is not None:
                return request
            if self._parser.waits_for_continue:
                self._parser.note_continue_sent()
                await self._stream.send_all(_CONTINUE)
            self._idle = anyio.CancelScope(
                deadline=anyio.current_time() + _KEEPALIVE_S,
            )
            received = b''
            with self._idle:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            if not received or not await self._feed(received):
                return None

    async def _feed(self, received: bytes) -> bool:
        refusal = self._parser.feed(received)
        if refusal is None:
            return True
        await self._refuse(refusal)
        return False

    async def _refuse(self, refusal: RequestRefusal) -> None:
        self._is_open = False
        log_event('request-refused', (('reason', refusal.reason),))
        response = _Response(self._stream, 'GET', is_kept_alive=False)
        body = b'{"error":"%s"}' % refusal.reason.encode()
        await asgi.respond(response.send, asgi.Reply(refusal.status, body))

    async def _serve_request(self, request: Request) -> None:
        exchange = _Exchange(self._stream, self._parser, request)
        response = _Response(
            self._stream,
            request.scope['method'],
            is_kept_alive=request.is_kept_alive and not self._is_stopping,
        )
        scope = {
            **request.scope,
            'extensions': {asgi.HAS_DISCONNECTED: exchange.has_disconnected},
        }
        try:
            await self._app(scope, exchange.receive, response.send)
        except _FOREIGN_ERRORS:
            raise
        except Exception:
            # One request that fails unexpectedly must not end the others.
            log_event('request-failed', (('trace', traceback.format_exc()),))
            self._is_open = False
            if not response.is_started:
                reply = asgi.Reply(500, b'{"error":"internal error"}')
                await asgi.respond(response.send, reply)
            return
        is_answered = response.is_complete
        self._is_open = (
            is_answered and response.is_kept_alive and exchange.is_open
        )


class _Exchange:
    """Hand the body of a request to an application."""

    def __init__(
        self,
        stream: trio.SocketStream,
        parser: RequestParser,
        request: Request,
    ) -> None:
        self.is_open = True
        self._stream = stream
        self._parser = parser
        self._body: bytes | None = request.body

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its side of the connection."""
        if not self.is_open:
            return True
        return has_peer_closed(self._stream.socket.fileno())

    async def receive(self) -> asgi.Message:
        """Return the body, then wait until the client disconnects."""
        if self._body is not None:
            body = self._body
            self._body = None
            return {'type': 'http.request', 'body': body, 'more_body': False}
        while self.is_open:
            try:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
            except _CONNECTION_ERRORS:
                received = b''
            if not received:
                self.is_open = False
                break
            # A client may send its next request before it has the response.
            self.is_open = self._parser.feed(received) is None
        return {'type': asgi.DISCONNECT}


class _Response:
    """Write the response of an application."""

    def __init__(
        self,
        stream: trio.SocketStream,
        method: str,
        *,
        is_kept_alive: bool,
    ) -> None:
        self.is_kept_alive = is_kept_alive
        self.is_started = False
        self.is_complete = False
        self._stream = stream
        self._has_body = method != 'HEAD'
        self._head = b''

    async def send(self, message: asgi.Message) -> None:
        """Write a message of the application; the head goes with the body."""
        if message['type'] == 'http.response.start':
            self._head = self._encode_head(message)
            return
        body = message.get('body', b'') if self._has_body else b''
        content = self._head + body
        self._head = b''
        self.is_started = True
        self.is_complete = not message.get('more_body', False)
        await self._stream.send_all(content)

    def _encode_head(self, message: asgi.Message) -> bytes:
        status = HTTPStatus(message['status'])
        lines = [b'HTTP/1.1 %d %s' % (status, status.phrase.encode())]
        for name, header_value in message['headers']:
            if name == b'connection' and header_value == b'close':
                self.is_kept_alive = False
                continue
            lines.append(b'%s: %s' % (name, header_value))
        if not self.is_kept_alive:
            lines.append(b'connection: close')
        return b'\r\n'.join((*lines, b'', b''))
