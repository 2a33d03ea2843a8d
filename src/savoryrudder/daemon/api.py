"""Serve the HTTP interface of an entry for callers and operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NotRequired
from typing import TypedDict

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from savoryrudder.daemon import requests
from savoryrudder.daemon.probes import PROBE_PATHS
from savoryrudder.daemon.probes import ProbeApp
from savoryrudder.entry import effects
from savoryrudder.entry import events
from savoryrudder.protocol.messages import Answer
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from starlette.requests import Request

    from savoryrudder.daemon.entry import EntryRuntime
    from savoryrudder.daemon.entry import PendingResponse

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_WAIT_S: Final = 300
_JSON: Final = 'application/json'
_PROBLEM: Final = 'application/problem+json'
_ACCEPTED: Final = 202
_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503


class ConfigBody(TypedDict):
    """Define the request body of a configuration change."""

    text: str
    expected_revision: int
    author: str
    token: str


class DrainBody(TypedDict):
    """Define the request body of a drain, by default of this entry."""

    agent: NotRequired[str]


class EntryApi:
    """Translate HTTP requests into events and answers into responses."""

    def __init__(self, runtime: EntryRuntime, stop_timeout_s: float) -> None:
        """Create the handlers for the requests to an entry."""
        self._runtime = runtime
        self._stop_timeout_s = stop_timeout_s

    async def submit(self, request: Request) -> Response:
        """Submit a job and wait for its answer up to the requested time."""
        started_at = anyio.current_time()
        body = await request.body()
        if len(body) > MAX_BODY_BYTES:
            return _problem(
                _TOO_LARGE,
                'too-large',
                f'the body exceeds {MAX_BODY_BYTES} bytes',
            )
        parsed = requests.parse_job(
            request.headers,
            body,
            self._runtime.default_deadlines(),
        )
        if parsed.is_error():
            return _invalid_request(parsed.error)
        job = parsed.ok
        span = self._runtime.tracer.start('receive-job', job.trace)
        span.set_attribute('client', job.client)
        span.set_attribute('service', job.service)
        span.set_attribute('tasks', len(job.tasks))
        request_id, pending = self._runtime.begin_request()
        self._runtime.handle(
            events.JobSubmitted(
                anyio.current_time(),
                time.time(),
                request_id,
                job._replace(trace=span.traceparent),
                _parse_wait_s(request, job.deadline_ms / MS_PER_S + 1),
            ),
        )
        response = await self._respond(request, request_id, pending)
        span.end()
        self._runtime.counters.observe(
            'request',
            anyio.current_time() - started_at,
        )
        return response

    async def fetch(self, request: Request) -> Response:
        """Return the answer to an earlier submission."""
        wait_s = _parse_wait_s(request, 0)
        return await self._handle_existing(
            request,
            events.AnswerRequested,
            wait_s,
        )

    async def cancel(self, request: Request) -> Response:
        """Cancel a submission."""
        return await self._handle_existing(request, events.JobCancelled)

    async def apply_config(self, request: Request) -> Response:
        """Replace the operators' configuration text."""
        try:
            body = msgspec.json.decode(await request.body(), type=ConfigBody)
        except msgspec.DecodeError as error:
            return _invalid_request([f'body: {error}'])
        request_id, pending = self._runtime.begin_request()
        self._runtime.handle(
            events.ConfigSubmitted(
                anyio.current_time(),
                time.time(),
                request_id,
                body['text'],
                body['expected_revision'],
                body['author'],
                body['token'],
            ),
        )
        return await self._respond(request, request_id, pending)

    async def report(self, request: Request) -> Response:
        """Return the status, configuration or terms, as the path says."""
        kind = request.url.path.rpartition('/')[2]
        request_id, pending = self._runtime.begin_request()
        self._runtime.handle(
            events.ReportRequested(
                anyio.current_time(),
                time.time(),
                request_id,
                kind,
                request.query_params.get('client', ''),
            ),
        )
        return await self._respond(request, request_id, pending)

    async def drain(self, request: Request) -> Response:
        """Begin a graceful stop of this entry or of an agent."""
        try:
            body = msgspec.json.decode(
                await request.body() or b'{}',
                type=DrainBody,
            )
        except msgspec.DecodeError as error:
            return _invalid_request([f'body: {error}'])
        agent = body.get('agent', '')
        if not agent:
            self._runtime.drain(self._stop_timeout_s)
            name = self._runtime.state.identity.name
            return _json_response(_ACCEPTED, {'entry': name})
        request_id, pending = self._runtime.begin_request()
        self._runtime.handle(
            events.AgentDrainRequested(anyio.current_time(), request_id, agent),
        )
        return await self._respond(request, request_id, pending)

    async def _handle_existing(
        self,
        request: Request,
        event_type: type[events.AnswerRequested | events.JobCancelled],
        *extra_fields: float,
    ) -> Response:
        """Handle a request about the existing submission in the path."""
        identity = _identity_headers(request)
        findings = requests.check_identity(identity)
        if findings:
            return _invalid_request(findings)
        request_id, pending = self._runtime.begin_request()
        self._runtime.handle(
            event_type(
                anyio.current_time(),
                time.time(),
                request_id,
                identity['client'],
                identity['idempotency-key'],
                *extra_fields,
            ),
        )
        return await self._respond(request, request_id, pending)

    async def _respond(
        self,
        request: Request,
        request_id: int,
        pending: PendingResponse,
    ) -> Response:
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._watch_disconnect,
                request,
                request_id,
                pending,
            )
            response = await pending.wait()
            group.cancel_scope.cancel()
        if response is None:
            return Response(status_code=_UNAVAILABLE)
        if isinstance(response, effects.ReplyJson):
            return _json_response(response.status, response.body)
        return _answer_response(response)

    async def _watch_disconnect(
        self,
        request: Request,
        request_id: int,
        pending: PendingResponse,
    ) -> None:
        while not await request.is_disconnected():
            message = await request.receive()
            if message['type'] == 'http.disconnect':
                break
        self._runtime.abandon_request(request_id)
        pending.set(None)


def create_api(runtime: EntryRuntime, stop_timeout_s: float) -> Starlette:
    """Create the application that serves an entry's HTTP interface."""
    api = EntryApi(runtime, stop_timeout_s)
    probes = ProbeApp(runtime)
    return Starlette(
        routes=[
            Route('/v1/jobs', api.submit, methods=['POST']),
            Route('/v1/jobs/{key}', api.fetch, methods=['GET']),
            Route('/v1/jobs/{key}', api.cancel, methods=['DELETE']),
            Route('/v1/config', api.apply_config, methods=['POST']),
            Route('/v1/config', api.report, methods=['GET']),
            Route('/v1/status', api.report, methods=['GET']),
            Route('/v1/terms', api.report, methods=['GET']),
            Route('/v1/drain', api.drain, methods=['POST']),
            *(Route(path, probes) for path in PROBE_PATHS),
        ],
    )


def _identity_headers(request: Request) -> dict[str, str]:
    return {
        'client': request.headers.get('client', ''),
        'idempotency-key': request.path_params['key'],
    }


def _parse_wait_s(request: Request, default_s: float) -> float:
    try:
        wait_s = float(request.query_params.get('wait', default_s))
    except ValueError:
        return default_s
    return min(max(wait_s, 0), MAX_WAIT_S)


def _answer_response(answer: Answer) -> Response:
    status = requests.http_status(answer)
    response = _json_response(status, requests.answer_body(answer))
    if answer.reason and answer.status == 'refused':
        response.headers['content-type'] = _PROBLEM
    retry_after_s = requests.retry_after_s(answer)
    if retry_after_s:
        response.headers['retry-after'] = str(retry_after_s)
    return response


def _invalid_request(findings: list[str]) -> Response:
    return _problem(_BAD_REQUEST, 'invalid-request', '; '.join(findings))


def _problem(status: int, reason: str, detail: str) -> Response:
    response = _json_response(
        status,
        {
            'type': f'urn:savoryrudder:{reason}',
            'title': 'request refused',
            'status': status,
            'reason': reason,
            'outcome': 'not-run',
            'detail': detail,
        },
    )
    response.headers['content-type'] = _PROBLEM
    return response


def _json_response(status: int, body: dict[str, Any]) -> Response:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type=_JSON,
    )
