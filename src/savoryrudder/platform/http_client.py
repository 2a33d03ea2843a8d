"""Call one HTTP server of the platform."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

import anyio
import httpcore

_CONNECTIONS: Final = 8
_KEEPALIVE_S: Final = 8
_FAULTS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Response(NamedTuple):
    """Hold the answer to a call."""

    status: int
    content: bytes


class Unanswered(NamedTuple):
    """Report a call without an answer.

    `sent` is False if the server cannot have received it.
    """

    reason: str
    sent: bool


class PlatformClient:
    """Send each call once, over connections that are kept open.

    Open connections may have gone silent, so that after a call without an
    answer the following calls use new ones. Uses the transport of httpx
    without its client, whose calls cost twice as much processor time.
    """

    def __init__(self, address: str) -> None:
        """Prepare to call the server at `ip:port`."""
        self._address = address
        self._pool = _connect()

    @property
    def address(self) -> str:
        """Return the address of the server."""
        return self._address

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response | Unanswered:
        """Send a call and return its answer."""
        pool = self._pool
        try:
            with anyio.fail_after(timeout_s):
                response = await pool.request(
                    method,
                    f'http://{self._address}{path}',
                    headers=[
                        (b'host', self._address.encode()),
                        (b'content-type', b'application/json'),
                        (b'content-length', str(len(body or b'')).encode()),
                        *headers,
                    ],
                    content=body,
                )
        except TimeoutError:
            self._replace(pool)
            return Unanswered('no answer in time', sent=True)
        except httpcore.ConnectError as error:
            return Unanswered(f'cannot connect: {error}', sent=False)
        except _FAULTS as error:
            self._replace(pool)
            reason = str(error) or type(error).__name__
            return Unanswered(reason, sent=True)
        return Response(response.status, response.content)

    def _replace(self, failed: httpcore.AsyncConnectionPool) -> None:
        # Calls in flight end on the former pool, which goes with the last.
        if self._pool is failed:
            self._pool = _connect()


def _connect() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=_CONNECTIONS,
        keepalive_expiry=_KEEPALIVE_S,
    )
