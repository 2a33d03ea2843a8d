"""Serve callers: submit, ask for and cancel jobs over HTTP."""

from __future__ import annotations

import math
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

import anyio
import msgspec

from savoryrudder.daemon.logs import log_change
from savoryrudder.dispatch import events
from savoryrudder.platform.job_bodies import EncodedAnswer
from savoryrudder.platform.job_bodies import decode_job
from savoryrudder.platform.job_bodies import encode_answer
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.daemon.dispatcher import Dispatcher
    from savoryrudder.dispatch.answers import Answer
    from savoryrudder.dispatch.answers import QueueLength

_Message: TypeAlias = MutableMapping[str, Any]
_Receive: TypeAlias = Callable[[], Awaitable[_Message]]
_Send: TypeAlias = Callable[[_Message], Awaitable[None]]
_Describe: TypeAlias = Callable[[float, int], events.DispatchEvent]

_MAX_BODY_BYTES: Final = 262_144
_READINESS_PATH: Final = '/api/ready'
_DISCONNECT: Final = 'http.disconnect'
_JSON_TYPE: Final = (b'content-type', b'application/json')


class _CallerGoneError(Exception):
    """Report that the caller closed its connection."""


class _Call(NamedTuple):
    """Hold the head of a request."""

    method: str
    host: str
    path: str
    patience_s: float | None


class CallerApp:
    """Translate callers' HTTP requests; an ASGI application."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Serve the callers of an entry."""
        self._dispatcher = dispatcher

    async def __call__(
        self,
        scope: _Message,
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] == 'lifespan':
            await _follow_lifespan(receive, send)
            return
        call = _head_of(scope)
        if call.path == _READINESS_PATH:
            status = 200 if self._dispatcher.ready else 503
            await self._respond(send, EncodedAnswer(status, b'{}', 0))
            return
        try:
            answer = await self._serve(call, receive)
        except _CallerGoneError:
            return
        await self._respond(send, answer)

    async def _serve(self, call: _Call, receive: _Receive) -> EncodedAnswer:
        content = await _read_body(receive)
        if content is None:
            return _error(413, 'the body is too large')
        match call.method:
            case 'POST':
                return await self._submit(call, content, receive)
            case 'GET':
                return await self._ask(
                    lambda now, number: events.JobAsked(
                        now,
                        number,
                        call.host,
                        call.path,
                    ),
                    receive,
                )
            case 'DELETE':
                return await self._ask(
                    lambda now, number: events.JobCancelled(
                        now,
                        number,
                        call.host,
                        call.path,
                    ),
                    receive,
                )
        return _error(405, f'unknown method {call.method}')

    async def _submit(
        self,
        call: _Call,
        content: bytes,
        receive: _Receive,
    ) -> EncodedAnswer:
        name = call.path.rpartition('/')[-1]
        decoded = decode_job(name, content)
        if decoded.is_error():
            log_change(
                'job-malformed',
                (('job', name), ('reason', decoded.error)),
            )
            return _error(400, decoded.error)
        submitted = decoded.ok
        return await self._ask(
            lambda now, number: events.JobSubmitted(
                now,
                number,
                call.host,
                call.path,
                submitted.request,
                submitted.unsupported,
                call.patience_s,
            ),
            receive,
        )

    async def _ask(
        self,
        describe: _Describe,
        receive: _Receive,
    ) -> EncodedAnswer:
        found: list[Answer | QueueLength] = []
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            found.append(await self._dispatcher.ask(describe))
            group.cancel_scope.cancel()
        if not found:
            raise _CallerGoneError
        return encode_answer(found[0])

    async def _respond(self, send: _Send, answer: EncodedAnswer) -> None:
        headers = [
            _JSON_TYPE,
            (b'content-length', str(len(answer.body)).encode()),
        ]
        if answer.retry_after_s:
            seconds = math.ceil(answer.retry_after_s)
            headers.append((b'retry-after', str(seconds).encode()))
        if self._dispatcher.state.leaving:
            # The balancer sends the next connection to another entry.
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': answer.status,
                'headers': headers,
            },
        )
        await send({'type': 'http.response.body', 'body': answer.body})


async def _follow_lifespan(receive: _Receive, send: _Send) -> None:
    while True:
        kind = (await receive())['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def _watch_caller(
    receive: _Receive,
    scope: anyio.CancelScope,
) -> None:
    while True:
        message = await receive()
        if message['type'] == _DISCONNECT:
            scope.cancel()
            return


async def _read_body(receive: _Receive) -> bytes | None:
    content = bytearray()
    while True:
        message = await receive()
        if message['type'] == _DISCONNECT:
            raise _CallerGoneError
        content.extend(message.get('body', b''))
        if len(content) > _MAX_BODY_BYTES:
            return None
        if not message.get('more_body', False):
            return bytes(content)


def _head_of(scope: _Message) -> _Call:
    headers = dict(scope['headers'])
    host = headers.get(b'host', b'').decode('latin-1')
    raw_patience = headers.get(b'deadline-ms', b'').decode('latin-1')
    patience_s = (
        int(raw_patience) / MS_PER_S if raw_patience.isdecimal() else None
    )
    return _Call(
        scope['method'],
        host.partition(':')[0],
        scope['path'],
        patience_s,
    )


def _error(status: int, reason: str) -> EncodedAnswer:
    body = msgspec.json.encode({'error': reason})
    return EncodedAnswer(status, body, 0)
