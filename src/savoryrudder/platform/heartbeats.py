"""Receive the heartbeats of the executor beside an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import anyio
import msgspec

from savoryrudder.daemon import asgi
from savoryrudder.daemon.logs import log_event
from savoryrudder.jobs.model import Resources
from savoryrudder.utils.addresses import parse_dial_address
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode
from savoryrudder.worker import events

if TYPE_CHECKING:
    from savoryrudder.daemon.worker import Worker

_PREFIX: Final = '/api/instances/'
_MAX_BODY_BYTES: Final = 65_536
_DRAINING: Final = 'draining'
_STATES: Final = frozenset(('ready', _DRAINING))
_ACKNOWLEDGED: Final = asgi.Reply(200, b'{}')
_NOT_FOUND: Final = asgi.Reply(404, b'{"error":"no such path"}')


class _CapacityBody(msgspec.Struct):
    cpu: Natural
    mem_mb: Natural
    gpu: Natural


class _HeartbeatBody(msgspec.Struct):
    # All fields of a sound heartbeat, also those that are not used here.
    service: str
    address: str
    zone: str
    version: str
    slots: Natural
    state: str
    cold_remaining_ms: Natural
    seq: Natural
    clock_ms: Natural
    capacity: _CapacityBody
    labels: list[str]
    # UTC time at which the executor started, in milliseconds.
    born: Natural = 0


class _DepartureBody(msgspec.Struct):
    born: Natural = 0


_decoder: Final = msgspec.json.Decoder(_HeartbeatBody)
_departure_decoder: Final = msgspec.json.Decoder(_DepartureBody)


class HeartbeatApp:
    """Pass the executor's heartbeats to the agent; an ASGI application."""

    def __init__(self, worker: Worker) -> None:
        """Create the application of an agent."""
        self._worker = worker

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
        try:
            body = await asgi.read_body(receive, _MAX_BODY_BYTES)
        except asgi.CallerDisconnectedError:
            return
        reply = self._serve(scope['method'], scope['path'], body)
        await asgi.respond(send, reply)

    def _serve(
        self,
        method: str,
        path: str,
        body: bytes | None,
    ) -> asgi.Reply:
        executor = path.removeprefix(_PREFIX)
        if executor in {path, ''}:
            return _NOT_FOUND
        match method:
            case 'PUT':
                return self._handle_heartbeat(executor, body)
            case 'DELETE':
                return self._handle_departure(executor, body)
        return asgi.Reply(405, b'{"error":"unknown method"}')

    def _handle_heartbeat(
        self,
        executor: str,
        content: bytes | None,
    ) -> asgi.Reply:
        # A heartbeat that cannot be decoded is no sign of life.
        if content is None:
            return self._refuse(executor, 'the body is too large')
        decoded = decode(_decoder, content)
        if decoded.is_error():
            return self._refuse(executor, decoded.error)
        body = decoded.ok
        reason = _find_fault(body)
        if reason:
            return self._refuse(executor, reason)
        self._worker.handle(
            events.ExecutorHeartbeat(
                anyio.current_time(),
                executor,
                body.born,
                body.seq,
                body.service,
                body.address,
                tuple(body.labels),
                Resources(
                    body.capacity.cpu,
                    body.capacity.mem_mb,
                    body.capacity.gpu,
                ),
                body.state == _DRAINING,
                body.clock_ms,
                body.cold_remaining_ms > 0,
            ),
        )
        return _ACKNOWLEDGED

    def _handle_departure(
        self,
        executor: str,
        content: bytes | None,
    ) -> asgi.Reply:
        if content is None:
            return self._refuse(executor, 'the body is too large')
        decoded = decode(_departure_decoder, content or b'{}')
        if decoded.is_error():
            return self._refuse(executor, decoded.error)
        self._worker.handle(
            events.ExecutorLeft(
                anyio.current_time(),
                executor,
                decoded.ok.born,
            ),
        )
        return _ACKNOWLEDGED

    def _refuse(self, executor: str, reason: str) -> asgi.Reply:
        self._worker.counters.count('refused_heartbeats')
        log_event(
            'heartbeat-refused',
            (('executor', executor), ('reason', reason)),
        )
        return asgi.Reply(400, msgspec.json.encode({'error': reason}))


def _find_fault(body: _HeartbeatBody) -> str:
    if body.state not in _STATES:
        return f'unknown state {body.state}'
    try:
        parse_dial_address(body.address)
    except ValueError as error:
        return f'address: {error}'
    return ''
