"""Call the HTTP API of entries."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeVar

import httpx
import msgspec
from expression import Error
from expression import Ok
from expression import Result

_CONNECT_TIMEOUT_S: Final = 2
_READ_TIMEOUT_S: Final = 5
# A proxy returns these statuses if the entry behind it did not respond.
_PROXY_ERRORS: Final = frozenset((502, 504))

BodyT = TypeVar('BodyT')


class Request(NamedTuple):
    """Describe a request; the entry may delay its response by `wait_s`."""

    method: str
    path: str
    headers: dict[str, str] = {}
    query: dict[str, str] = {}
    body: bytes | None = None
    wait_s: float = 0


class Response(NamedTuple):
    """Hold the response of an entry; an absent body is an empty dictionary."""

    entry: str
    status: int
    body: dict[str, Any]
    retry_after: str = ''

    @property
    def succeeded(self) -> bool:
        """Return whether the entry accepted the request."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    def decode(self, body_type: type[BodyT]) -> Result[BodyT, str]:
        """Return the body as a structure, or why it is malformed."""
        try:
            return Ok(msgspec.convert(self.body, body_type))
        except msgspec.ValidationError as error:
            return Error(f'{self.entry}: malformed response: {error}')

    @property
    def problem(self) -> str:
        """Return one line that describes a refusal."""
        reason = self.body.get('reason') or f'HTTP status {self.status}'
        outcome = self.body.get('outcome')
        detail = self.body.get('detail')
        parts = [str(reason)]
        if outcome:
            parts.append(f' ({outcome})')
        if detail:
            parts.append(f': {detail}')
        return ''.join(parts)

    def describe_job(self) -> Iterator[str]:
        """Yield the lines that describe the state of a job."""
        status = self.body.get('status')
        yield str(status) if self.succeeded and status else self.problem
        if self.retry_after:
            yield f'retry after {self.retry_after} s'
        for number, task in enumerate(self.body.get('tasks') or ()):
            yield f'task {number}: {_format_task(task)}'


class EntryClient:
    """Call the HTTP API of several entries."""

    def __init__(
        self,
        entries: tuple[str, ...],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create a client that tries the base URLs in the given order."""
        self.entries = entries
        self._transport = transport

    async def call(self, request: Request) -> Result[Response, str]:
        """Send a request to the entries in turn until one responds.

        The request may reach several entries, so it must be safe to repeat.
        The error names every entry and why it did not respond.
        """
        failures: list[str] = []
        remaining = deque(self.entries)
        while remaining:
            entry = remaining.popleft()
            response = await self.call_entry(entry, request)
            if response.is_ok():
                return response
            failures.append(f'{entry}: {response.error}')
        return Error('; '.join(failures))

    async def call_entry(
        self,
        entry: str,
        request: Request,
    ) -> Result[Response, str]:
        """Send a request to one entry; it may have taken effect on an error."""
        timeout = httpx.Timeout(
            request.wait_s + _READ_TIMEOUT_S,
            connect=_CONNECT_TIMEOUT_S,
        )
        headers = {**request.headers}
        if request.body is not None:
            headers['Content-Type'] = 'application/json'
        try:
            async with httpx.AsyncClient(
                transport=self._transport,
                timeout=timeout,
                trust_env=False,
            ) as client:
                http_response = await client.request(
                    request.method,
                    f'{entry}{request.path}',
                    headers=headers,
                    params=request.query or None,
                    content=request.body,
                )
        except httpx.RequestError as error:
            return Error(str(error) or type(error).__name__)
        return _parse_response(entry, http_response)


def _format_task(task: Any) -> str:
    if not isinstance(task, dict):
        return json.dumps(task)
    parts = [str(task.get('outcome', '')), str(task.get('reason') or '')]
    # A complete task may have a null result.
    if 'result' in task:
        parts.append(json.dumps(task.get('result')))
    return ' '.join(part for part in parts if part)


def _parse_response(
    entry: str,
    http_response: httpx.Response,
) -> Result[Response, str]:
    if http_response.status_code in _PROXY_ERRORS:
        return Error(f'HTTP status {http_response.status_code}')
    try:
        body = json.loads(http_response.content or b'{}')
    except ValueError:
        return Error(
            f'HTTP status {http_response.status_code} without a JSON body'
        )
    if isinstance(body, dict):
        retry_after = http_response.headers.get('Retry-After', '')
        return Ok(Response(entry, http_response.status_code, body, retry_after))
    return Error('the response is not a JSON object')
