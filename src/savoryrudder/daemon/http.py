"""Run the HTTP server of a daemon."""

from __future__ import annotations

import traceback
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import cast

import anyio
import trio
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.typing import LifespanState
from hypercorn.utils import repr_socket_addr
from hypercorn.utils import wrap_app

from savoryrudder.daemon.accepting import RetryingListener
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.listening import limit_receive_buffer
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.request_guard import GuardedConnection
from savoryrudder.daemon.request_guard import RequestGuard
from savoryrudder.daemon.request_guard import current_connection
from savoryrudder.daemon.request_refusals import NO_CONNECTION

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from anyio.abc import TaskStatus

    from savoryrudder.daemon import asgi
    from savoryrudder.daemon.paced_stream import PacedStream


class Application(Protocol):
    """Serve requests over ASGI."""

    def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> Awaitable[None]:
        """Serve one request."""


class HttpSettings(Protocol):
    """Declare the settings of the HTTP server."""

    @property
    def http_address(self) -> str:
        """Return the `ip:port` to listen on."""

    @property
    def tls_certificate(self) -> str | None:
        """Return the path of the certificate, None without TLS."""

    @property
    def tls_key(self) -> str | None:
        """Return the path of the private key, None without TLS."""


async def serve_http(
    app: Application,
    settings: HttpSettings,
    stopping: anyio.Event | None = None,
    intake: Intake | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled.

    The task status receives the bound URL. Once `stopping` is set, idle
    connections are closed and new ones refused; requests already received
    are still answered.
    """
    shared_intake = intake or Intake()
    config = _configure(settings, shared_intake)
    server = _Server(app, config, shared_intake)
    sockets = config.create_sockets()
    scheme = 'https' if sockets.secure_sockets else 'http'
    bound = (sockets.secure_sockets or sockets.insecure_sockets)[0]
    limit_receive_buffer(bound)
    bound.listen(shared_intake.limits.backlog)
    address = repr_socket_addr(bound.family, bound.getsockname())
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(bound))
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    server.serve_connection,
                    [RetryingListener(listener, shared_intake)],
                    handler_nursery=connections,
                ),
            )
            task_status.started(f'{scheme}://{address}')
            await (stopping.wait() if stopping else anyio.sleep_forever())
            accepting.cancel_scope.cancel()
        await server.context.terminated.set()
        connections.cancel_scope.deadline = (
            trio.current_time() + config.graceful_timeout
        )


def _configure(settings: HttpSettings, intake: Intake) -> Config:
    config = Config()
    config.bind = [settings.http_address]
    config.accesslog = None
    config.errorlog = None
    # Callers keep connections open; a graceful stop answers pending requests
    # before it closes them.
    config.graceful_timeout = 1
    config.keep_alive_timeout = intake.requests.idle_s
    config.ssl_handshake_timeout = intake.requests.head_s
    config.h11_max_incomplete_size = intake.requests.max_head_bytes
    if settings.tls_certificate:
        config.certfile = settings.tls_certificate
        config.keyfile = settings.tls_key
    return config


class _Server:
    """Serve the connections of a listener with hypercorn."""

    def __init__(
        self, app: Application, config: Config, intake: Intake
    ) -> None:
        self.context = WorkerContext(None)
        self._app = wrap_app(
            cast('Any', RequestGuard(app, intake)),
            config.wsgi_max_body_size,
            'asgi',
        )
        self._config = config
        self._intake = intake
        self._tls = config.create_ssl_context()

    async def serve_connection(self, stream: PacedStream) -> None:
        """Serve the requests of a connection until it is closed."""
        connection = GuardedConnection(stream, self._intake)
        current_connection.set(connection)
        try:
            await self._serve_if_admitted(connection, stream)
        except Exception:
            # One connection that fails unexpectedly must not end the others.
            log_event('request-failed', (('trace', traceback.format_exc()),))
        finally:
            self._intake.remove(connection, trio.current_time())
            await trio.aclose_forcefully(stream)

    async def _serve_if_admitted(
        self,
        connection: GuardedConnection,
        stream: PacedStream,
    ) -> None:
        now = trio.current_time()
        if self._intake.admit(connection, now):
            await self._serve(stream)
        else:
            self._intake.count_refusal(NO_CONNECTION, now)

    async def _serve(self, stream: PacedStream) -> None:
        wrapped: Any = stream
        if self._tls is not None:
            wrapped = trio.SSLStream(
                stream,
                self._tls,
                server_side=True,
                https_compatible=True,
            )
        await TCPServer(
            self._app,
            self._config,
            self.context,
            ConnectionState(LifespanState({})),
            wrapped,
        )
