"""Read complete requests and send complete responses over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

DISCONNECT: Final = 'http.disconnect'
JSON: Final = b'application/json'
# Extension of a scope: a function that returns, without waiting, whether the
# client has closed its connection.
HAS_DISCONNECTED: Final = 'savoryrudder.has_disconnected'


class CallerDisconnectedError(Exception):
    """Raised when the caller closes its connection during a request."""


class Reply(NamedTuple):
    """Hold a response whose body is sent in a single message."""

    status: int
    body: bytes
    headers: Headers = ()
    media_type: bytes = JSON


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the startup and shutdown events of the server."""
    while True:
        event_type = (await receive())['type']
        await send({'type': f'{event_type}.complete'})
        if event_type == 'lifespan.shutdown':
            return


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the body of a request, None if it exceeds `limit` bytes.

    Raises `CallerDisconnectedError` if the caller disconnects first.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == DISCONNECT:
            raise CallerDisconnectedError
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > limit:
            return None
        if not message.get('more_body', False):
            # A single part, as most bodies have, is not copied.
            return parts[0] if len(parts) == 1 else b''.join(parts)


def has_disconnected(scope: Message) -> bool:
    """Return, without waiting, whether the caller is known to have left."""
    check = scope.get('extensions', {}).get(HAS_DISCONNECTED)
    return check is not None and check()


async def wait_disconnected(receive: Receive) -> None:
    """Wait until the caller of a request that was read has disconnected."""
    message = await receive()
    while message['type'] != DISCONNECT:
        message = await receive()


async def respond(send: Send, reply: Reply) -> None:
    """Send a complete response with its content type and length."""
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status,
            'headers': [
                (b'content-type', reply.media_type),
                (b'content-length', str(len(reply.body)).encode()),
                *reply.headers,
            ],
        },
    )
    await send({'type': 'http.response.body', 'body': reply.body})
