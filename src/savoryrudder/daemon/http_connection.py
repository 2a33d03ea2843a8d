"""Serve the requests of one HTTP/1.1 connection, one after the other."""

from __future__ import annotations

import math
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
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.loop import ReducerError
from savoryrudder.daemon.paced_stream import READ_BYTES
from savoryrudder.daemon.request_limits import Stage
from savoryrudder.daemon.request_refusals import NO_MEMORY
from savoryrudder.daemon.request_refusals import TOO_SLOW

if TYPE_CHECKING:
    from savoryrudder.daemon.http import Application
    from savoryrudder.daemon.intake import Intake
    from savoryrudder.daemon.paced_stream import PacedStream
    from savoryrudder.daemon.request_refusals import RequestRefusal

CONNECTION_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

# A client that still sends gets a refusal only if its bytes are read.
_LINGER_S: Final = 1
# Time for the answer to a client whose place another one has.
_DROPPED_WRITE_S: Final = 0.2
_LINGER_BYTES: Final = 1_048_576
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Errors of a request that are not its own.
_FOREIGN_ERRORS: Final = (*CONNECTION_ERRORS, ReducerError)


class Connection:
    """Serve one connection; the intake may drop it while it waits."""

    def __init__(
        self,
        app: Application,
        stream: PacedStream,
        intake: Intake,
    ) -> None:
        """Serve the requests that arrive at `stream`."""
        self.closed = anyio.Event()
        self._app = app
        self._stream = stream
        self._intake = intake
        limits = intake.requests
        self._parser = RequestParser(limits.max_body_bytes, limits)
        self._is_open = True
        self._is_stopping = False
        self._is_receiving = False
        # What arrives after its beginning was freed is no request.
        self._is_dropped = False
        self._refusal: RequestRefusal | None = None
        # Its deadline is that of the wait for the client, if there is one.
        self._scope = trio.CancelScope()
        self._progress = self._parser.progress
        self._stage_since = trio.current_time()
        self._served_bytes = 0

    async def serve(self) -> None:
        """Serve requests until either end closes the connection."""
        try:
            await self._serve_to_end()
        finally:
            self.closed.set()

    def stop(self) -> None:
        """Close the connection once no request is under way."""
        self._is_stopping = True
        if self._is_receiving and self._parser.is_idle:
            self._scope.cancel()

    def drop(self, refusal: RequestRefusal) -> None:
        """Free what was received, refuse the request and close."""
        if self._is_receiving and not self._parser.is_idle:
            self._refusal = refusal
        self._is_dropped = True
        self._parser.discard()
        self._scope.cancel()

    async def refuse(self, refusal: RequestRefusal) -> None:
        """Answer with a refusal; wait a moment until the client has it."""
        self._is_receiving = False
        self._parser.discard()
        self._intake.release(self)
        self._intake.count_refusal(refusal, trio.current_time())
        response = _Response(self, 'GET', is_kept_alive=False)
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = []
        if refusal.retry_after_s:
            seconds = str(refusal.retry_after_s).encode()
            headers.append((b'retry-after', seconds))
        self._scope = trio.CancelScope()
        with self._scope:
            reply = asgi.Reply(refusal.status, body, headers)
            await asgi.respond(response.send, reply)
            await self._linger()

    async def write(self, content: bytes) -> None:
        """Send bytes; the connection ends if the client does not read them."""
        now = trio.current_time()
        self._intake.mark_waiting(self, now)
        is_admitted = self._intake.is_admitted(self)
        write_s = (
            self._intake.requests.write_s if is_admitted else _DROPPED_WRITE_S
        )
        self._scope.deadline = now + write_s
        await self._stream.send_all(content)
        self._intake.mark_serving(self)

    def feed(self, received: bytes | bytearray) -> RequestRefusal | None:
        """Parse received bytes; return why they are refused, if so."""
        refusal = self._parser.feed(received)
        if refusal is None and not self._update_held():
            return NO_MEMORY
        return refusal

    def discard_unread(self) -> None:
        """Free what was received after the request under way."""
        self._parser.discard()

    async def _serve_to_end(self) -> None:
        with self._scope:
            await self._serve_requests()
        if self._is_receiving and self._parser.progress.stage != Stage.IDLE:
            self._refusal = TOO_SLOW
        if self._refusal is not None:
            await self.refuse(self._refusal)

    async def _serve_requests(self) -> None:
        while self._is_open and not self._is_stopping:
            request = await self._next_request()
            if request is None:
                return
            self._served_bytes = request.size
            self._intake.mark_serving(self)
            self._scope.deadline = math.inf
            await self._serve_request(request)
            self._served_bytes = 0
            if not self._update_held():
                self._refusal = NO_MEMORY
                return
            self._intake.mark_waiting(self, trio.current_time())

    def _update_held(self) -> bool:
        held_bytes = self._served_bytes + self._parser.held_bytes
        if not held_bytes:
            self._intake.release(self)
            return True
        return self._intake.hold(
            self,
            held_bytes,
            trio.current_time(),
            is_unfinished=not self._served_bytes
            and not self._parser.has_complete,
        )

    async def _next_request(self) -> Request | None:
        self._parser.limits = self._intake.requests
        while True:
            request = self._parser.next_request()
            if request is not None:
                return request
            if self._parser.waits_for_continue:
                self._parser.note_continue_sent()
                await self.write(_CONTINUE)
                self._intake.mark_waiting(self, trio.current_time())
            if not await self._receive_piece():
                return None

    async def _receive_piece(self) -> bool:
        """Parse what arrives next; return whether the connection goes on.

        A connection that waits for its client holds no received piece.
        """
        self._scope.deadline = self._receive_deadline()
        self._is_receiving = True
        received = await self._stream.receive_some(READ_BYTES)
        self._is_receiving = False
        if self._is_dropped or not received:
            return False
        self._refusal = self.feed(received)
        return self._refusal is None

    def _receive_deadline(self) -> float:
        # Only the next request or its next stage begins a new time; what
        # arrives of a body prolongs it.
        progress = self._parser.progress
        if not progress.is_same_stage(self._progress):
            self._progress = progress
            self._stage_since = trio.current_time()
        return self._stage_since + self._parser.limits.receive_s(
            progress.stage,
            progress.body_bytes,
        )

    async def _linger(self) -> None:
        if not self._intake.is_admitted(self):
            # Another connection has its place.
            return
        now = trio.current_time()
        self._intake.mark_waiting(self, now)
        self._scope.deadline = now + _LINGER_S
        await self._stream.send_eof()
        unread_bytes = _LINGER_BYTES
        while unread_bytes > 0:
            received_bytes = len(
                await self._stream.receive_some(READ_BYTES),
            )
            if not received_bytes:
                return
            unread_bytes -= received_bytes

    async def _serve_request(self, request: Request) -> None:
        exchange = _Exchange(self, self._stream, request)
        response = _Response(
            self,
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
            is_answered and response.is_kept_alive and exchange.may_follow
        )


class _Exchange:
    """Hand the body of a request to an application."""

    def __init__(
        self,
        connection: Connection,
        stream: PacedStream,
        request: Request,
    ) -> None:
        self.is_open = True
        self._connection = connection
        self._stream = stream
        self._body: bytes | None = request.body
        # Set when there is no memory for more than the request under way.
        self._is_unread = False

    @property
    def may_follow(self) -> bool:
        """Return whether another request may follow on the connection."""
        return self.is_open and not self._is_unread

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
            await self._receive_piece()
        return {'type': asgi.DISCONNECT}

    async def _receive_piece(self) -> None:
        try:
            received = await self._stream.receive_some(READ_BYTES)
        except CONNECTION_ERRORS:
            received = b''
        if not received:
            self.is_open = False
        elif not self._is_unread:
            self._feed(received)

    def _feed(self, received: bytes) -> None:
        # A client may send its next request before it has the response.
        refusal = self._connection.feed(received)
        if refusal == NO_MEMORY:
            # The request under way is answered all the same.
            self._is_unread = True
            self._connection.discard_unread()
        else:
            self.is_open = refusal is None


class _Response:
    """Write the response of an application."""

    def __init__(
        self,
        connection: Connection,
        method: str,
        *,
        is_kept_alive: bool,
    ) -> None:
        self.is_kept_alive = is_kept_alive
        self.is_started = False
        self.is_complete = False
        self._connection = connection
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
        await self._connection.write(content)

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
