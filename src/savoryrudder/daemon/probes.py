"""Serve the health, readiness and metrics of a daemon over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from savoryrudder.daemon import asgi

if TYPE_CHECKING:
    from savoryrudder.daemon.loop import ReducerLoop

PROBE_PATHS: Final = ('/health', '/ready', '/metrics')

_METRICS_TYPE: Final = b'text/plain; version=0.0.4'


class ProbeApp:
    """Serve health, readiness and metrics as an ASGI application."""

    def __init__(self, runtime: ReducerLoop[Any, Any]) -> None:
        """Serve the probes of one daemon."""
        self._runtime = runtime

    async def __call__(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] == 'lifespan':
            await asgi.handle_lifespan(receive, send)
            return
        await asgi.respond(send, self._reply_to(scope['path']))

    def _reply_to(self, path: str) -> asgi.Reply:
        match path:
            case '/health':
                return asgi.Reply(200, b'{"status":"alive"}')
            case '/ready':
                if self._runtime.ready:
                    return asgi.Reply(200, b'{"status":"ready"}')
                return asgi.Reply(503, b'{"status":"not ready"}')
            case '/metrics':
                content = self._runtime.counters.export()
                return asgi.Reply(200, content, (), _METRICS_TYPE)
        return asgi.Reply(404, b'{"error":"no such path"}')
