"""Receive the executor's reports about itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from savoryrudder.daemon.logs import log_change
from savoryrudder.jobs.model import Room
from savoryrudder.worker import events

if TYPE_CHECKING:
    from starlette.requests import Request

    from savoryrudder.daemon.worker import Worker

_DRAINING: Final = 'draining'
_STATES: Final = frozenset(('ready', _DRAINING))
_BAD_REQUEST: Final = 400


class _CapacityBody(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    state: str
    seq: int
    clock_ms: int
    capacity: _CapacityBody
    labels: list[str] = msgspec.field(default_factory=list)
    # The UTC time of its start, in milliseconds.
    born: int = 0


_decoder: Final = msgspec.json.Decoder(_HeartbeatBody)


class HeartbeatApi:
    """Pass the executor's reports on to the agent."""

    def __init__(self, worker: Worker) -> None:
        """Serve the executor beside an agent."""
        self._worker = worker

    async def put(self, request: Request) -> Response:
        """Take a report; what cannot be read names no executor."""
        executor = request.path_params['executor']
        try:
            body = _decoder.decode(await request.body())
        except msgspec.MsgspecError as error:
            return _refuse(executor, str(error))
        if body.state not in _STATES:
            return _refuse(executor, f'unknown state {body.state}')
        self._worker.handle(
            events.ExecutorSeen(
                anyio.current_time(),
                executor,
                body.born,
                body.seq,
                body.service,
                body.address,
                tuple(body.labels),
                Room(
                    body.capacity.cpu,
                    body.capacity.mem_mb,
                    body.capacity.gpu,
                ),
                body.state == _DRAINING,
                body.clock_ms,
            ),
        )
        return JSONResponse({})

    async def delete(self, request: Request) -> Response:
        """Note that the executor has left."""
        executor = request.path_params['executor']
        self._worker.handle(
            events.ExecutorLeft(anyio.current_time(), executor),
        )
        return JSONResponse({})


def heartbeat_app(worker: Worker) -> Starlette:
    """Return the application for the executor's reports."""
    api = HeartbeatApi(worker)
    path = '/api/instances/{executor}'
    return Starlette(
        routes=[
            Route(path, api.put, methods=['PUT']),
            Route(path, api.delete, methods=['DELETE']),
        ],
    )


def _refuse(executor: str, reason: str) -> Response:
    log_change(
        'heartbeat-refused',
        (('executor', executor), ('reason', reason)),
    )
    return JSONResponse({'error': reason}, _BAD_REQUEST)
