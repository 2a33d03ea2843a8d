"""Stand in for an upstream of the pane service or the rounds service.

Prints the bound address as its first line. Run it with
`python stand_ins/upstream.py --port 0 --service pane --slots 10`.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import sys
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import anyio
import fire
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_hypercorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

_KEEP_ALIVE_TIMEOUT_S: Final = 60
_GRACEFUL_TIMEOUT_S: Final = 0.2
# Milliseconds in a second and millimetres in a metre.
_MILLI: Final = 1000
_MIN_RUN_MS: Final = 50
_MAX_RUN_MS: Final = 300
_SHEET_MM: Final = (3210, 2250)
_PRICE_PER_M2: Final = 84.5
_KM_PER_GRAVE: Final = 0.4
_WREATH_PRICE: Final = 38.0


def _plan_cuts(order: dict[str, Any]) -> dict[str, Any]:
    panes = order.get('panes', [[800, 600]])
    placed = []
    left = 0
    for width, height in panes:
        placed.append({'x': left, 'y': 0, 'width': width, 'height': height})
        left += width
    return {'sheet': _SHEET_MM, 'cuts': placed, 'offcut_mm': left}


def _quote_sheet(order: dict[str, Any]) -> dict[str, Any]:
    width, height = order.get('sheet', _SHEET_MM)
    price = round(width * height / _MILLI**2 * _PRICE_PER_M2, 2)
    return {'currency': 'MYR', 'price': price}


def _check_offcut(order: dict[str, Any]) -> dict[str, Any]:
    wanted = order.get('pane', [300, 200])
    offcut = order.get('offcut', [400, 400])
    fits = all(
        required <= available
        for required, available in zip(wanted, offcut, strict=True)
    )
    return {'fits': fits}


def _order_wreath(order: dict[str, Any]) -> dict[str, Any]:
    grave = order.get('grave', 'A-1')
    return {'grave': grave, 'wreath': order.get('wreath', 'pine'), 'candles': 1}


def _plan_route(order: dict[str, Any]) -> dict[str, Any]:
    graves = sorted(order.get('graves', ['A-1', 'B-4']))
    return {'stops': graves, 'km': round(len(graves) * _KM_PER_GRAVE, 1)}


def _quote_wreath(order: dict[str, Any]) -> dict[str, Any]:
    price = _WREATH_PRICE * order.get('count', 1)
    return {'currency': 'EUR', 'price': price}


_SERVICES: Final = MappingProxyType(
    {
        'pane': MappingProxyType(
            {
                'cutting-plan': _plan_cuts,
                'sheet-quote': _quote_sheet,
                'offcut-check': _check_offcut,
            },
        ),
        'rounds': MappingProxyType(
            {
                'wreath-order': _order_wreath,
                'route': _plan_route,
                'quote': _quote_wreath,
            },
        ),
    },
)


class Faults:
    """Hold the faults requested by tests."""

    def __init__(self) -> None:
        """Start without faults."""
        self.fail_all = False
        self.hang = False
        self.slow_factor = float(1)
        self.exit_after_starts = 0

    def update(self, requested: dict[str, Any]) -> None:
        """Update the faults named in a request."""
        self.fail_all = bool(requested.get('fail_all', self.fail_all))
        self.hang = bool(requested.get('hang', self.hang))
        self.slow_factor = float(requested.get('slow_factor', self.slow_factor))
        self.exit_after_starts = int(
            requested.get('exit_after_starts', self.exit_after_starts),
        )


class StandInUpstream:
    """Run tasks of one service and record each start."""

    def __init__(
        self,
        service: str,
        slots: int,
        seed: int = 0,
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        """Run up to `slots` tasks; `exit_process` ends the process."""
        self.faults = Faults()
        self.starts: list[str] = []
        self._operations = _SERVICES[service]
        self._free_slots = anyio.Semaphore(slots)
        self._random = random.Random(seed)
        self._exit_process = exit_process

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/run/{operation}', self._run, methods=['POST']),
                Route('/starts', self._report_starts),
                Route('/faults', self._set_faults, methods=['POST']),
            ],
        )

    async def _run(self, request: Request) -> Response:
        operation = self._operations.get(request.path_params['operation'])
        if operation is None:
            return Response(status_code=HTTPStatus.NOT_FOUND)
        order = _parse(await request.body())
        answer: Response = Response(status_code=HTTPStatus.BAD_REQUEST)
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, request, group.cancel_scope)
            async with self._free_slots:
                self._record_start(request.headers.get('idempotency-key', ''))
                await self._wait_run_time(order)
                answer = self._make_response(operation, order)
            group.cancel_scope.cancel()
        return answer

    async def _wait_run_time(self, order: dict[str, Any]) -> None:
        await anyio.sleep(self._run_ms(order) / _MILLI)
        if self.faults.hang:
            await anyio.sleep_forever()

    def _make_response(
        self,
        operation: Callable[[dict[str, Any]], dict[str, Any]],
        order: dict[str, Any],
    ) -> Response:
        if self.faults.fail_all:
            return Response(status_code=HTTPStatus.INTERNAL_SERVER_ERROR)
        return JSONResponse(operation(order))

    def _record_start(self, key: str) -> None:
        self.starts.append(key)
        if len(self.starts) == self.faults.exit_after_starts:
            self._exit_process(1)

    def _run_ms(self, order: dict[str, Any]) -> float:
        drawn = self._random.uniform(_MIN_RUN_MS, _MAX_RUN_MS)
        return float(order.get('run_ms', drawn)) * self.faults.slow_factor

    async def _report_starts(self, request: Request) -> Response:
        return JSONResponse(self.starts)

    async def _set_faults(self, request: Request) -> Response:
        self.faults.update(await request.json())
        return Response(status_code=HTTPStatus.NO_CONTENT)


def _parse(body: bytes) -> dict[str, Any]:
    try:
        order = json.loads(body)
    except ValueError:
        return {}
    return order if isinstance(order, dict) else {}


async def _cancel_on_disconnect(
    request: Request,
    scope: anyio.CancelScope,
) -> None:
    # `Request.is_disconnected` never gets the message on trio: it receives
    # in a cancelled scope, where the channels of trio raise at once.
    message = await request.receive()
    while message['type'] != 'http.disconnect':
        message = await request.receive()
    scope.cancel()


async def serve(
    upstream: StandInUpstream,
    listening: socket.socket,
    stop: trio.Event,
) -> None:
    """Serve on a bound socket until the event is set."""
    config = Config()
    # hypercorn closes the descriptor it is given.
    config.bind = [f'fd://{os.dup(listening.fileno())}']
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = _GRACEFUL_TIMEOUT_S
    config.loglevel = 'critical'
    await serve_hypercorn(
        upstream.application(),
        config,
        shutdown_trigger=stop.wait,
        mode='asgi',
    )


async def _run_until_signal(
    upstream: StandInUpstream,
    host: str,
    port: int,
) -> None:
    stop = trio.Event()
    with contextlib.ExitStack() as cleanup:
        signals = cleanup.enter_context(
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT),
        )
        listening = cleanup.enter_context(socket.create_server((host, port)))
        host, port = listening.getsockname()[:2]
        sys.stdout.write(f'{host}:{port}\n')
        sys.stdout.flush()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, upstream, listening, stop)
            await anext(aiter(signals))
            stop.set()


def main(
    service: str = 'pane',
    slots: int = 10,
    host: str = '127.0.0.1',
    port: int = 0,
    seed: int = 0,
) -> None:
    """Serve the upstream until SIGTERM."""
    upstream = StandInUpstream(service, slots, seed)
    trio.run(_run_until_signal, upstream, host, port)


if __name__ == '__main__':
    fire.Fire(main)
