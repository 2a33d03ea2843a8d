"""Call the executor beside an agent."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from typing import Final

import msgspec
import trio

from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import PlatformClient
from savoryrudder.platform.http_client import Response
from savoryrudder.utils.checked import DECODE_ERRORS
from savoryrudder.utils.checked import MAX_INTEGER
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

_TIMEOUT_S: Final = 0.3
# The tasks of a job arrive together; a few connections that stay in use start
# them sooner than a new connection for each.
_MAX_CONCURRENT_STARTS: Final = 4
_encoder: Final = msgspec.json.Encoder()
_VERDICT_BY_REASON: Final = MappingProxyType(
    {
        'fence': verdicts.FENCED,
        'old': verdicts.OUTDATED,
        'late': verdicts.REFUSED,
        'room': verdicts.REFUSED,
        'ticket': verdicts.REFUSED,
    }
)
_OUTCOME_BY_END_REASON: Final = MappingProxyType(
    {
        'done': outcomes.DONE,
        'failed': outcomes.FAILED,
        'stopped': outcomes.STOPPED,
        'lapsed': outcomes.LOST,
        'broken': outcomes.LOST,
        'alone': outcomes.LOST,
    }
)
_REFUSAL_STATUSES: Final = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)

# The executor lists the oldest ends, and the others once it may forget these.
_MAX_LISTED_ENDS: Final = 500
# A row of a list may be too short, or its parts of other types.
_ROW_ERRORS: Final = (*DECODE_ERRORS, LookupError, TypeError, OverflowError)


class _StartBody(msgspec.Struct):
    clock_ms: Natural = 0
    reason: str = ''


class _RenewalBody(msgspec.Struct):
    clock_ms: Natural
    # UTC time at which the executor started, in milliseconds.
    born: Natural = 0
    # Rows of task, run, saved state, progress in percent, load.
    running: list[list[Any]] = msgspec.field(default_factory=list)
    # Rows of number, task, run, end reason, saved state.
    ended: list[list[Any]] = msgspec.field(default_factory=list)


_start_decoder: Final = msgspec.json.Decoder(_StartBody)
_renewal_decoder: Final = msgspec.json.Decoder(_RenewalBody)


class ExecutorClient:
    """Call the executor at the address that it reported last."""

    def __init__(self) -> None:
        """Create a client; each call carries the executor's address."""
        self._client = PlatformClient('')
        self._starts = trio.CapacityLimiter(_MAX_CONCURRENT_STARTS)

    async def start(self, call: effects.StartRun) -> tuple[str, int]:
        """Return the verdict and the executor's clock (ms; 0: unknown)."""
        body = {
            'task': call.task,
            'run': call.run,
            'spec': call.spec,
            'deadline_ms': call.lease_until_ms,
            'fence': call.fence,
        }
        try:
            self._starts.acquire_nowait()
        except trio.WouldBlock:
            await self._starts.acquire()
        try:
            response = await self._send(
                call.executor,
                '/api/run-start',
                body,
                _TIMEOUT_S,
            )
        finally:
            self._starts.release()
        if isinstance(response, NoResponse):
            verdict = verdicts.UNKNOWN if response.sent else verdicts.REFUSED
            return verdict, 0
        return _decode_verdict(response)

    async def stop(self, call: effects.StopRun) -> bool:
        """Return whether the executor confirmed the stop."""
        body = {'task': call.task, 'run': call.run, 'fence': call.fence}
        response = await self._send(
            call.executor,
            '/api/run-stop',
            body,
            _TIMEOUT_S,
        )
        return (
            isinstance(response, Response) and response.status == HTTPStatus.OK
        )

    async def probe(
        self,
        call: effects.ProbeInstance,
    ) -> events.InstanceProbed:
        """Ask an instance by its name and address whether it is there."""
        # Neither extends the lease nor lets the executor forget an end.
        body = {'fence': call.fence, 'acked_upto': 0}
        response = await _post(
            self._client_of(call.executor),
            call.executor,
            '/api/hold',
            body,
            _TIMEOUT_S,
        )
        verdict, started_ms = _decode_presence(response)
        return events.InstanceProbed(
            trio.current_time(),
            call.executor,
            verdict,
            started_ms,
        )

    async def renew(
        self,
        call: effects.RenewLease,
        sent_at: float,
    ) -> events.RenewalAnswered | events.RenewalFailed:
        """Renew the lease and return the running and ended runs."""
        body = {
            'fence': call.fence,
            'acked_upto': call.acknowledged_upto,
        }
        if call.lease_until_ms:
            body['deadline_ms'] = call.lease_until_ms
        if call.wait_ms:
            body['wait_ms'] = call.wait_ms
        response = await self._send(
            call.executor,
            '/api/hold',
            body,
            _TIMEOUT_S + call.wait_ms / MS_PER_S,
        )
        now = trio.current_time()
        if isinstance(response, NoResponse):
            return events.RenewalFailed(now, response.reason, call.fence)
        if response.status != HTTPStatus.OK:
            reason = f'the executor responded with status {response.status}'
            verdict, _ = _decode_verdict(response)
            is_fenced = verdict == verdicts.FENCED
            return events.RenewalFailed(now, reason, call.fence, is_fenced)
        try:
            return _decode_renewal(response.content, now, sent_at, call.fence)
        except _ROW_ERRORS as error:
            reason = f'unusable response: {error}'
            return events.RenewalFailed(now, reason, call.fence)

    async def _send(
        self,
        executor: effects.ExecutorInstance,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> Response | NoResponse:
        self._client = self._client_of(executor)
        return await _post(self._client, executor, path, body, timeout_s)

    def _client_of(self, executor: effects.ExecutorInstance) -> PlatformClient:
        if self._client.address == executor.address:
            return self._client
        return PlatformClient(executor.address)


async def _post(
    client: PlatformClient,
    executor: effects.ExecutorInstance,
    path: str,
    body: dict[str, Any],
    timeout_s: float,
) -> Response | NoResponse:
    return await client.request(
        'POST',
        path,
        _encoder.encode(body),
        timeout_s,
        (('expect-instance', executor.name),),
    )


def _decode_presence(response: Response | NoResponse) -> tuple[str, int]:
    if isinstance(response, NoResponse):
        return verdicts.UNKNOWN, 0
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return verdicts.ABSENT, 0
    if response.status == HTTPStatus.CONFLICT:
        return _decode_verdict(response)[0], 0
    decoded = decode(_renewal_decoder, response.content)
    if response.status != HTTPStatus.OK or decoded.is_error():
        return verdicts.UNKNOWN, 0
    return verdicts.PRESENT, decoded.ok.born


def _decode_verdict(response: Response) -> tuple[str, int]:
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return verdicts.OTHER_INSTANCE, 0
    if response.status in _REFUSAL_STATUSES:
        return verdicts.REFUSED, 0
    decoded = decode(_start_decoder, response.content)
    if decoded.is_error():
        return verdicts.UNKNOWN, 0
    body = decoded.ok
    if response.status == HTTPStatus.OK:
        return verdicts.STARTED, body.clock_ms
    if response.status == HTTPStatus.CONFLICT:
        verdict = _VERDICT_BY_REASON.get(body.reason, verdicts.REFUSED)
        return verdict, body.clock_ms
    return verdicts.UNKNOWN, 0


def _decode_renewal(
    content: bytes,
    now: float,
    sent_at: float,
    fence: int,
) -> events.RenewalAnswered:
    body = _renewal_decoder.decode(content)
    running = tuple(
        events.RunProgress(str(row[0]), _number(row[1]), _number(row[3]))
        for row in body.running
    )
    ended = tuple(
        events.RunEnd(
            _number(row[0]),
            str(row[1]),
            _number(row[2]),
            _OUTCOME_BY_END_REASON.get(row[3], outcomes.LOST),
        )
        for row in body.ended
    )
    return events.RenewalAnswered(
        now,
        sent_at,
        body.clock_ms,
        running,
        ended,
        fence,
        body.born,
        more_ends=len(ended) >= _MAX_LISTED_ENDS,
    )


def _number(part: Any) -> int:
    number = int(part)
    if 0 <= number <= MAX_INTEGER:
        return number
    raise ValueError(f'{number} is out of range')
