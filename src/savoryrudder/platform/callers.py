"""Serve callers over HTTP: submit, query and cancel jobs."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from savoryrudder.daemon import asgi
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.logs import log_event
from savoryrudder.dispatch import events
from savoryrudder.platform.job_bodies import JOB_NAME_LENGTH
from savoryrudder.platform.job_bodies import EncodedAnswer
from savoryrudder.platform.job_bodies import decode_job
from savoryrudder.platform.job_bodies import encode_answer
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.daemon.dispatcher import Dispatcher

_EventFactory: TypeAlias = Callable[[float, int], events.DispatchEvent]

_READINESS_PATH: Final = '/api/ready'
# A longer time limit in milliseconds is none.
_MAX_TIMEOUT_DIGITS: Final = 12


class _RequestHead(NamedTuple):
    """Hold the parts of a request that precede its body."""

    method: str
    host: str
    path: str
    timeout_s: float | None


class CallerApp:
    """Serve the callers of an entry; an ASGI application."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        intake: Intake | None = None,
    ) -> None:
        """Pass callers' requests to `dispatcher`, within limits."""
        self._dispatcher = dispatcher
        self._intake = intake or Intake()

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
        head = _parse_head(scope)
        if head.path == _READINESS_PATH:
            status = 200 if self._dispatcher.ready else 503
            await self._respond(send, EncodedAnswer(status, b'{}', 0))
            return
        try:
            answer = await self._serve(head, scope, receive)
        except asgi.CallerDisconnectedError:
            return
        await self._respond(send, answer)

    async def _serve(
        self,
        head: _RequestHead,
        scope: asgi.Message,
        receive: asgi.Receive,
    ) -> EncodedAnswer:
        content = await asgi.read_body(
            receive,
            self._intake.requests.max_body_bytes,
        )
        if content is None:
            return _encode_error(413, 'the body is too large')
        # All kinds wait alike: a cancellation must not overtake its job.
        await self._dispatcher.settle()
        match head.method:
            case 'POST':
                _check_connected(head, scope)
                return await self._submit(head, content, receive)
            case 'GET':
                return await self._dispatch(
                    lambda now, request_id: events.JobQueried(
                        now,
                        request_id,
                        head.host,
                        head.path,
                    ),
                    receive,
                )
            case 'DELETE':
                return await self._dispatch(
                    lambda now, request_id: events.JobCancelled(
                        now,
                        request_id,
                        head.host,
                        head.path,
                    ),
                    receive,
                )
        return _encode_error(405, f'unknown method {head.method}')

    async def _submit(
        self,
        head: _RequestHead,
        content: bytes,
        receive: asgi.Receive,
    ) -> EncodedAnswer:
        name = head.path[-JOB_NAME_LENGTH:]
        decoded = decode_job(name, content)
        if decoded.is_error():
            self._dispatcher.counters.count('refused_jobs')
            log_event(
                'job-malformed',
                (('job', name), ('reason', decoded.error)),
            )
            return _encode_error(400, decoded.error)
        submitted = decoded.ok
        return await self._dispatch(
            lambda now, request_id: events.JobSubmitted(
                now,
                request_id,
                head.host,
                head.path,
                submitted.request,
                submitted.unsupported,
                head.timeout_s,
            ),
            receive,
        )

    async def _dispatch(
        self,
        make_event: _EventFactory,
        receive: asgi.Receive,
    ) -> EncodedAnswer:
        answer = await self._dispatcher.ask(
            make_event,
            partial(asgi.wait_disconnected, receive),
        )
        if answer is None:
            raise asgi.CallerDisconnectedError
        return encode_answer(answer)

    async def _respond(self, send: asgi.Send, answer: EncodedAnswer) -> None:
        headers = []
        if answer.retry_after_s:
            seconds = math.ceil(answer.retry_after_s)
            headers.append((b'retry-after', str(seconds).encode()))
        if self._dispatcher.state.draining:
            # The load balancer routes the next connection to another entry.
            headers.append((b'connection', b'close'))
        await asgi.respond(
            send,
            asgi.Reply(answer.status, answer.body, headers),
        )


def _parse_head(scope: asgi.Message) -> _RequestHead:
    headers = dict(scope['headers'])
    host = headers.get(b'host', b'').decode('latin-1')
    raw_timeout = headers.get(b'deadline-ms', b'').decode('latin-1')
    timeout_s = None
    if raw_timeout.isdecimal() and len(raw_timeout) <= _MAX_TIMEOUT_DIGITS:
        timeout_s = int(raw_timeout) / MS_PER_S
    return _RequestHead(
        scope['method'],
        host.partition(':')[0],
        scope['path'],
        timeout_s,
    )


def _check_connected(head: _RequestHead, scope: asgi.Message) -> None:
    # A caller who has left submits its job to another entry.
    if asgi.has_disconnected(scope):
        name = head.path[-JOB_NAME_LENGTH:]
        reason = 'its caller has disconnected'
        log_event('job-ignored', (('job', name), ('reason', reason)))
        raise asgi.CallerDisconnectedError


def _encode_error(status: int, reason: str) -> EncodedAnswer:
    body = msgspec.json.encode({'error': reason})
    return EncodedAnswer(status, body, 0)
