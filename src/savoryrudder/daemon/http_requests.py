"""Parse the HTTP/1.1 requests of a connection with httptools."""

from __future__ import annotations

from collections import deque
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import unquote

import httptools

from savoryrudder.daemon import asgi
from savoryrudder.daemon.request_limits import DEFAULT_LIMITS
from savoryrudder.daemon.request_limits import HEADER_OVERHEAD_BYTES
from savoryrudder.daemon.request_limits import RequestLimits
from savoryrudder.daemon.request_limits import Stage
from savoryrudder.daemon.request_refusals import BODY_TOO_LARGE
from savoryrudder.daemon.request_refusals import HEAD_TOO_LARGE
from savoryrudder.daemon.request_refusals import PADDING_TOO_LARGE
from savoryrudder.daemon.request_refusals import TOO_MANY_PIPELINED
from savoryrudder.daemon.request_refusals import RequestRefusal

_EXPECT: Final = b'expect'
_CONTINUE: Final = b'100-continue'
_CONTENT_LENGTH: Final = b'content-length'
# Whole requests that a client may send before it has the first response.
_MAX_PIPELINED: Final = 16


class Request(NamedTuple):
    """Hold a whole request; `scope` describes it in the terms of ASGI."""

    scope: asgi.Message
    body: bytes
    is_kept_alive: bool
    # Memory that it takes, also by its headers.
    size: int = 0


class Progress(NamedTuple):
    """Tell how much of which request of a connection has been received."""

    requests_begun: int
    stage: Stage
    body_bytes: int

    def is_same_stage(self, other: Progress) -> bool:
        """Return whether the same part of the same request is received."""
        return (
            self.requests_begun == other.requests_begun
            and self.stage == other.stage
        )


class _LimitError(Exception):
    """Raised within the parser to end it at a limit."""

    def __init__(self, refusal: RequestRefusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class RequestParser:
    """Collect whole requests from the bytes that a connection receives."""

    def __init__(
        self,
        max_body_bytes: int,
        limits: RequestLimits = DEFAULT_LIMITS,
    ) -> None:
        """Refuse bodies over a size, and requests over the other limits."""
        self.limits = limits._replace(max_body_bytes=max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[Request] = deque()
        self._complete_bytes = 0
        self._is_upgrade_wanted = False
        self._requests_begun = 0
        # Whether a part of a request was complete in what is parsed.
        self._has_progressed = False
        self._reset()

    @property
    def waits_for_continue(self) -> bool:
        """Return whether the client waits to be told to send the body."""
        return self._waits_for_continue and not self._body

    @property
    def is_idle(self) -> bool:
        """Return whether no part of another request has been received."""
        return self._stage == Stage.IDLE and not self._complete

    @property
    def has_complete(self) -> bool:
        """Return whether a whole request waits to be taken."""
        return bool(self._complete)

    @property
    def progress(self) -> Progress:
        """Return what has been received of the latest request."""
        return Progress(self._requests_begun, self._stage, len(self._body))

    @property
    def held_bytes(self) -> int:
        """Return the memory of the requests that have not been taken."""
        return self._complete_bytes + self._request_bytes + self._padding_bytes

    def feed(self, received: bytes | bytearray) -> RequestRefusal | None:
        """Parse received bytes; return why they are no request, if so."""
        was_idle = self._stage == Stage.IDLE
        number = self._requests_begun + 1
        self._has_progressed = False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            # The upgrade is declined: the request is served as it is, and the
            # bytes after it are in an unknown protocol.
            self._is_upgrade_wanted = True
        except httptools.HttpParserError as error:
            return self._explain(error)
        if len(self._complete) > _MAX_PIPELINED:
            return TOO_MANY_PIPELINED
        if self._has_progressed:
            self._padding_bytes = 0
            if not (was_idle and self._is_head_of(number)):
                return None
        return self._add_padding(len(received))

    def next_request(self) -> Request | None:
        """Remove and return the first whole request, if there is one."""
        if not self._complete:
            return None
        request = self._complete.popleft()
        self._complete_bytes -= request.size
        if self._is_upgrade_wanted:
            return request._replace(is_kept_alive=False)
        return request

    def discard(self) -> None:
        """Free all requests that have not been taken."""
        self._complete.clear()
        self._complete_bytes = 0
        self._reset()

    def note_continue_sent(self) -> None:
        """Record that the client was told to send the body."""
        self._waits_for_continue = False

    def on_message_begin(self) -> None:
        """Note that the next request has begun."""
        self._requests_begun += 1
        self._stage = Stage.HEAD
        self._has_progressed = True

    def on_url(self, target: bytes) -> None:
        """Append a part of the request's target."""
        self._target += target
        self._add_head(len(target))

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Note a header, or a field that follows the body."""
        self._headers.append((name.lower(), header_value))
        self._add_head(len(name) + len(header_value))
        if len(self._headers) > self.limits.max_headers:
            raise _LimitError(HEAD_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced to be too large.

        Note whether the client waits before it sends the body.
        """
        self._stage = Stage.BODY
        self._has_progressed = True
        for name, header_value in self._headers:
            if name == _EXPECT:
                self._waits_for_continue = header_value.lower() == _CONTINUE
            elif name == _CONTENT_LENGTH:
                self._check_announced(header_value)

    def on_body(self, received: bytes) -> None:
        """Append a part of the body."""
        self._body.extend(received)
        self._has_progressed = True
        if len(self._body) > self.limits.max_body_bytes:
            raise _LimitError(BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        path, _, query = _split_target(self._target)
        scope: dict[str, Any] = {
            'type': 'http',
            'method': self._parser.get_method().decode(),
            'path': unquote(path.decode('latin-1')),
            'query_string': query,
            'headers': self._headers,
        }
        request = Request(
            scope,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._request_bytes,
        )
        self._complete.append(request)
        self._complete_bytes += request.size
        self._has_progressed = True
        self._reset()

    @property
    def _request_bytes(self) -> int:
        return (
            len(self._body)
            + self._head_bytes
            + len(self._headers) * HEADER_OVERHEAD_BYTES
        )

    def _is_head_of(self, number: int) -> bool:
        return self._requests_begun == number and self._stage == Stage.HEAD

    def _reset(self) -> None:
        self._stage = Stage.IDLE
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._waits_for_continue = False
        # Received since a part of a head, or of a body, was complete.
        self._padding_bytes = 0

    def _add_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_head_bytes:
            raise _LimitError(HEAD_TOO_LARGE)

    def _add_padding(self, size: int) -> RequestRefusal | None:
        # Empty lines before a request, a head or header without end, chunks'
        # extensions, and fields after the body.
        self._padding_bytes += size
        if self._stage == Stage.HEAD:
            if self._padding_bytes > self.limits.max_head_bytes:
                return HEAD_TOO_LARGE
        elif self._padding_bytes > self.limits.max_padding_bytes:
            return PADDING_TOO_LARGE
        return None

    def _check_announced(self, length: bytes) -> None:
        if not length.isdigit():
            return
        if int(length) > self.limits.max_body_bytes:
            raise _LimitError(BODY_TOO_LARGE)

    def _explain(self, error: httptools.HttpParserError) -> RequestRefusal:
        if isinstance(error.__context__, _LimitError):
            return error.__context__.refusal
        return RequestRefusal(400, f'malformed request: {error}', 'malformed')


def _split_target(target: bytes) -> tuple[bytes, bytes, bytes]:
    if not target.startswith(b'/'):
        # The absolute form, `http://host/path`.
        _, _, after_scheme = target.partition(b'://')
        _, slash, path = after_scheme.partition(b'/')
        target = slash + path
    return target.partition(b'?')
