"""Serve the health and metrics of a daemon over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

    from savoryrudder.daemon.loop import ReducerLoop

_UNAVAILABLE: Final = 503


class ProbeApi:
    """Serve health and metrics."""

    def __init__(self, runtime: ReducerLoop[Any, Any]) -> None:
        """Serve the requests about one daemon."""
        self._runtime = runtime

    async def health(self, request: Request) -> Response:
        """Tell that the process runs."""
        return JSONResponse({'status': 'alive'})

    async def ready(self, request: Request) -> Response:
        """Tell whether the daemon can take work."""
        if self._runtime.ready:
            return JSONResponse({'status': 'ready'})
        return JSONResponse({'status': 'not ready'}, _UNAVAILABLE)

    async def metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        return Response(
            self._runtime.counters.export(),
            media_type='text/plain; version=0.0.4',
        )


def probe_routes(runtime: ReducerLoop[Any, Any]) -> list[Route]:
    """Return the routes for health and metrics."""
    api = ProbeApi(runtime)
    return [
        Route('/health', api.health),
        Route('/ready', api.ready),
        Route('/metrics', api.metrics),
    ]
