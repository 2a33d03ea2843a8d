"""Serve ASGI applications over HTTP/1.1 without TLS.

Requests are parsed by httptools, in one task for each connection. The callers
of the platform use none of the protocols that hypercorn adds for the product's
own interface, and each process would pay for them at its start and with each
request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio
import trio

from savoryrudder.daemon.accepting import RetryingListener
from savoryrudder.daemon.http_connection import CONNECTION_ERRORS
from savoryrudder.daemon.http_connection import Connection
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.listening import listen_tcp
from savoryrudder.daemon.request_refusals import NO_CONNECTION

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savoryrudder.daemon.http import Application
    from savoryrudder.daemon.paced_stream import PacedStream

# Time for the requests under way at a graceful stop.
_STOP_TIMEOUT_S: Final = 1


async def serve_plain_http(
    app: Application,
    address: str,
    stopping: anyio.Event | None = None,
    intake: Intake | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on `ip:port` until cancelled.

    The task status receives the bound URL. Once `stopping` is set, idle
    connections are closed and new ones refused; requests already received
    are still answered. Listeners may share an intake.
    """
    host = address.rpartition(':')[0]
    shared_intake = intake or Intake()
    listener = listen_tcp(address, shared_intake.limits)
    bound_port = listener.socket.getsockname()[1]
    server = _Server(app, shared_intake)
    patient_listener = RetryingListener(listener, shared_intake)
    async with anyio.create_task_group() as group:
        accepting = anyio.CancelScope()
        group.start_soon(_accept, server, patient_listener, accepting)
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
    listener: RetryingListener,
    scope: anyio.CancelScope,
) -> None:
    async with trio.open_nursery() as connections:
        with scope:
            await trio.serve_listeners(
                server.serve_connection,
                [listener],
                handler_nursery=connections,
            )


class _Server:
    """Track the open connections of a listener."""

    def __init__(self, app: Application, intake: Intake) -> None:
        self._app = app
        self._intake = intake
        self._connections: set[Connection] = set()

    async def serve_connection(self, stream: PacedStream) -> None:
        """Serve the requests of a connection until it is closed."""
        connection = Connection(self._app, stream, self._intake)
        is_admitted = self._intake.admit(connection, trio.current_time())
        self._connections.add(connection)
        try:
            async with stream:
                if is_admitted:
                    await connection.serve()
                else:
                    await connection.refuse(NO_CONNECTION)
        except CONNECTION_ERRORS:
            # The client has gone; there is nobody left to answer.
            return
        finally:
            self._connections.discard(connection)
            self._intake.remove(connection, trio.current_time())

    async def stop(self) -> None:
        """Close idle connections and wait a while for the others."""
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for connection in self._connections:
                    connection.stop()
                    group.start_soon(connection.closed.wait)
