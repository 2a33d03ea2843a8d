"""Parse callers' jobs from HTTP requests and encode the answers."""

from __future__ import annotations

import base64
import binascii
import hashlib
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NotRequired
from typing import TypedDict

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.entry import reasons
from savoryrudder.policy.model import URGENCY_BANDS
from savoryrudder.protocol.messages import Answer
from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import TaskOutcome
from savoryrudder.protocol.messages import TaskSpec
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_TASKS: Final = 170
MAX_KEY_LENGTH: Final = 200
_DIGEST_BYTES: Final = 16
_FALLBACK_DEADLINE_MS: Final = 10_000

_STATUS_BY_REASON: Final = MappingProxyType(
    {
        reasons.INVALID_REQUEST: 400,
        reasons.KEY_CONFLICT: 409,
        reasons.KEY_EXPIRED: 410,
        reasons.NOT_FOUND: 404,
        reasons.RATE_LIMITED: 429,
        reasons.TOO_LARGE: 413,
        reasons.UNKNOWN_CLIENT: 403,
        reasons.UNKNOWN_OPERATION: 422,
        reasons.UNKNOWN_SERVICE: 422,
        reasons.URGENCY_NOT_ALLOWED: 403,
        reasons.CANCELLED: 409,
    }
)
_UNAVAILABLE: Final = 503


class TaskBody(TypedDict):
    """Define a task of a job; its payload is either JSON or base64 text."""

    operation: str
    payload: NotRequired[msgspec.Raw]
    payload_base64: NotRequired[str]


class JobBody(TypedDict):
    """Define the request body of a job."""

    service: str
    tasks: list[TaskBody]
    urgency: NotRequired[str]
    deadline_ms: NotRequired[int]


_decoder: Final = msgspec.json.Decoder(JobBody)


def parse_job(
    headers: Mapping[str, str],
    body: bytes,
    default_deadline_ms: Mapping[str, int],
) -> Result[Job, list[str]]:
    """Parse a job; the error lists everything that is wrong with it."""
    try:
        content = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error([f'body: {error}'])
    findings = _check_job(headers, content)
    tasks = []
    for index, task in enumerate(content['tasks']):
        payload = _read_payload(task)
        if payload.is_error():
            findings.append(f'body.tasks[{index}]: {payload.error}')
        else:
            tasks.append(TaskSpec(task['operation'], payload.ok))
    if findings:
        return Error(findings)
    service = content['service']
    urgency = content.get('urgency', 'normal')
    deadline_ms = content.get('deadline_ms')
    return Ok(
        Job(
            headers['client'],
            headers['idempotency-key'],
            service,
            urgency,
            deadline_ms
            or default_deadline_ms.get(service, _FALLBACK_DEADLINE_MS),
            tuple(tasks),
            _digest(service, urgency, tasks),
            headers.get('traceparent', ''),
        ),
    )


def check_identity(headers: Mapping[str, str]) -> list[str]:
    """Return what is wrong with the headers that identify a submission."""
    findings = []
    if not headers.get('client'):
        findings.append('header Client: is missing')
    key = headers.get('idempotency-key', '')
    if not key or len(key) > MAX_KEY_LENGTH:
        findings.append(
            'header Idempotency-Key: must have 1 to '
            f'{MAX_KEY_LENGTH} characters',
        )
    return findings


def http_status(answer: Answer) -> int:
    """Return the HTTP status of an answer."""
    if answer.status == reasons.RUNNING:
        return 202
    if answer.status == reasons.REFUSED:
        return _STATUS_BY_REASON.get(answer.reason, _UNAVAILABLE)
    return 200


def answer_body(answer: Answer) -> dict[str, Any]:
    """Return the JSON object of a job's answer."""
    if answer.status == reasons.REFUSED:
        return {
            'type': f'urn:savoryrudder:{answer.reason}',
            'title': 'request refused',
            'status': http_status(answer),
            'reason': answer.reason,
            'outcome': answer.outcome,
            'detail': answer.detail,
        }
    body: dict[str, Any] = {'status': answer.status}
    if answer.status == reasons.FAILED:
        body |= {
            'outcome': answer.outcome,
            'reason': answer.reason,
            'detail': answer.detail,
        }
    if answer.tasks:
        body['tasks'] = [_task_to_json(task) for task in answer.tasks]
    return body


def retry_after_s(answer: Answer) -> int:
    """Return the Retry-After header in whole seconds, 0 for none."""
    return -(-answer.retry_after_ms // MS_PER_S)


def _check_job(headers: Mapping[str, str], content: JobBody) -> list[str]:
    findings = check_identity(headers)
    if not 1 <= len(content['tasks']) <= MAX_TASKS:
        findings.append(f'body.tasks: must have 1 to {MAX_TASKS} tasks')
    if content.get('urgency', 'normal') not in URGENCY_BANDS:
        findings.append(
            f'body.urgency: must be one of {", ".join(URGENCY_BANDS)}',
        )
    if content.get('deadline_ms', 1) <= 0:
        findings.append('body.deadline_ms: must be at least 1')
    return findings


def _read_payload(task: TaskBody) -> Result[bytes, str]:
    if 'payload' in task and 'payload_base64' in task:
        return Error('give payload or payload_base64, not both')
    try:
        decoded = base64.b64decode(
            task.get('payload_base64', ''), validate=True
        )
    except binascii.Error as error:
        return Error(f'payload_base64: {error}')
    return Ok(bytes(task['payload']) if 'payload' in task else decoded)


def _digest(service: str, urgency: str, tasks: list[TaskSpec]) -> bytes:
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    hasher.update(msgspec.msgpack.encode((service, urgency, tasks)))
    return hasher.digest()


def _task_to_json(task: TaskOutcome) -> dict[str, Any]:
    body: dict[str, Any] = {'outcome': task.outcome}
    if task.outcome != reasons.COMPLETE:
        body['reason'] = task.reason
        return body
    try:
        msgspec.json.decode(task.result)
    except msgspec.DecodeError:
        body['result_base64'] = base64.b64encode(task.result).decode()
    else:
        body['result'] = msgspec.Raw(task.result)
    return body
