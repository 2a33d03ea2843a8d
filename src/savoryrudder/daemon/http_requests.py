"""Parse the HTTP/1.1 requests of a connection with httptools."""

from __future__ import annotations

from collections import deque
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import unquote

import httptools

from savoryrudder.daemon import asgi

_EXPECT: Final = b'expect'
_CONTINUE: Final = b'100-continue'
# Whole requests that a client may send before it has the first response.
_MAX_PIPELINED: Final = 16


class Request(NamedTuple):
    """Hold a whole request; `scope` describes it in the terms of ASGI."""

    scope: asgi.Message
    body: bytes
    is_kept_alive: bool


class RequestRefusal(NamedTuple):
    """Tell why the bytes of a connection are no request."""

    status: int
    reason: str


class RequestParser:
    """Collect whole requests from the bytes that a connection receives."""

    def __init__(self, max_request_bytes: int) -> None:
        """Accept requests of up to a size, headers included."""
        self._max_request_bytes = max_request_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[Request] = deque()
        self._is_upgrade_wanted = False
        self.on_message_begin()

    @property
    def waits_for_continue(self) -> bool:
        """Return whether the client waits to be told to send the body."""
        return self._waits_for_continue and not self._body

    @property
    def is_idle(self) -> bool:
        """Return whether no part of another request has been received."""
        return not self._received_bytes and not self._complete

    def feed(self, received: bytes) -> RequestRefusal | None:
        """Parse received bytes; return why they are no request, if so."""
        self._received_bytes += len(received)
        if self._received_bytes > self._max_request_bytes:
            return RequestRefusal(413, 'the request is too large')
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            # The upgrade is declined: the request is served as it is, and the
            # bytes after it are in an unknown protocol.
            self._is_upgrade_wanted = True
        except httptools.HttpParserError as error:
            return RequestRefusal(400, f'malformed request: {error}')
        if len(self._complete) > _MAX_PIPELINED:
            return RequestRefusal(429, 'too many requests at once')
        return None

    def next_request(self) -> Request | None:
        """Remove and return the first whole request, if there is one."""
        if not self._complete:
            return None
        request = self._complete.popleft()
        if self._is_upgrade_wanted:
            return request._replace(is_kept_alive=False)
        return request

    def note_continue_sent(self) -> None:
        """Record that the client was told to send the body."""
        self._waits_for_continue = False

    def on_message_begin(self) -> None:
        """Prepare for the next request."""
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._waits_for_continue = False
        self._received_bytes = 0

    def on_url(self, target: bytes) -> None:
        """Append a part of the request's target."""
        self._target += target

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Note a header."""
        self._headers.append((name.lower(), header_value))

    def on_headers_complete(self) -> None:
        """Note whether the client waits before it sends the body."""
        self._waits_for_continue = any(
            name == _EXPECT and expected.lower() == _CONTINUE
            for name, expected in self._headers
        )

    def on_body(self, received: bytes) -> None:
        """Append a part of the body."""
        self._body.extend(received)

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
        self._complete.append(
            Request(
                scope,
                bytes(self._body),
                self._parser.should_keep_alive(),
            ),
        )
        self.on_message_begin()


def _split_target(target: bytes) -> tuple[bytes, bytes, bytes]:
    if not target.startswith(b'/'):
        # The absolute form, `http://host/path`.
        _, _, after_scheme = target.partition(b'://')
        _, slash, path = after_scheme.partition(b'/')
        target = slash + path
    return target.partition(b'?')
