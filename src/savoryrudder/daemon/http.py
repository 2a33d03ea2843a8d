"""Run the HTTP server of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import cast

import anyio
from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from anyio.abc import TaskStatus

    from savoryrudder.daemon import asgi


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
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled.

    The task status receives the bound URL. Once `stopping` is set, idle
    connections are closed and new ones refused; requests already received
    are still answered.
    """
    config = Config()
    config.bind = [settings.http_address]
    config.accesslog = None
    config.errorlog = None
    # Callers keep connections open; a graceful stop answers pending requests
    # before it closes them.
    config.graceful_timeout = 1
    config.keep_alive_timeout = 60
    if settings.tls_certificate:
        config.certfile = settings.tls_certificate
        config.keyfile = settings.tls_key
    async with anyio.create_task_group() as group:
        bound_urls = await group.start(_serve, app, config, stopping)
        task_status.started(str(bound_urls[0]))


async def _serve(
    app: Application,
    config: Config,
    stopping: anyio.Event | None,
    *,
    task_status: TaskStatus[list[str]],
) -> None:
    await serve(
        cast('Any', app),
        config,
        shutdown_trigger=stopping.wait if stopping else anyio.sleep_forever,
        task_status=cast('Any', task_status),
    )
