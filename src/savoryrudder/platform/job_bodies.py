"""Decode submitted jobs and encode the answers to callers."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Final
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.dispatch import answers
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Resources
from savoryrudder.jobs.model import Step
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode

# A job of the target size has 170 tasks, and at most one step for each.
_MAX_TASKS: Final = 1000
_MAX_PREDECESSORS: Final = 20_000
_JOB_NAME: Final = re.compile('[0-9a-fA-F]{16}')
JOB_NAME_LENGTH: Final = 16
# 410 (Gone) means that no such job exists.
_STATUS_BY_VERDICT: Final = MappingProxyType(
    {
        answers.UNKNOWN_QUEUE: 404,
        answers.UNKNOWN_JOB: 410,
        answers.OVERLOADED: 429,
        answers.UNAVAILABLE: 503,
        answers.UNSUPPORTED: 503,
        answers.CONFLICT: 409,
        answers.SUPERSEDED: 502,
        answers.INTERRUPTED: 502,
    }
)
_OK: Final = 200


class _StepBody(msgspec.Struct):
    count: Natural
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Natural = 0
    after: list[Natural] = msgspec.field(default_factory=list)
    required_label: str = ''
    data_rack: str = ''
    # Maximum number of the step's tasks on one executor, despite the name.
    max_per_server: Natural = 0
    gang: bool = False
    long_running: bool = False
    fills: bool = False


class _JobBody(msgspec.Struct):
    spec: str
    steps: list[_StepBody]
    # The job need not be stored; it is answered when it has ended.
    best_effort: bool = False
    # Number of times that the steps run.
    repeats: Natural = 0
    long_running: bool = False


class DecodedJob(NamedTuple):
    """Hold a decoded job.

    `unsupported` names a requested feature that is not supported, if any.
    """

    request: JobRequest
    unsupported: str


class EncodedAnswer(NamedTuple):
    """Hold the parts of an HTTP response."""

    status: int
    body: bytes
    retry_after_s: float


_decoder: Final = msgspec.json.Decoder(_JobBody)


def decode_job(name: str, content: bytes) -> Result[DecodedJob, str]:
    """Decode a submitted job; an error says what is invalid."""
    if not _JOB_NAME.fullmatch(name):
        return Error('the name of a job has 16 hexadecimal digits')
    decoded = decode(_decoder, content)
    if decoded.is_error():
        return Error(decoded.error)
    body = decoded.ok
    reason = _validate(body)
    if reason:
        return Error(reason)
    steps = tuple(_convert_step(step) for step in body.steps)
    request = JobRequest(name, body.spec, steps)
    return Ok(DecodedJob(request, _find_unsupported(body)))


def encode_answer(
    answer: answers.Answer | answers.QueueLength,
) -> EncodedAnswer:
    """Encode an answer as an HTTP response."""
    if isinstance(answer, answers.QueueLength):
        waiting = msgspec.json.encode({'waiting': answer.waiting})
        return EncodedAnswer(_OK, waiting, 0)
    status = _STATUS_BY_VERDICT.get(answer.verdict, _OK)
    content = (
        {'state': answer.verdict}
        if status == _OK
        else {'error': answer.reason or answer.verdict}
    )
    return EncodedAnswer(
        status,
        msgspec.json.encode(content),
        answer.retry_after_s,
    )


def _validate(body: _JobBody) -> str:
    if not body.steps:
        return 'steps: a job needs at least one step'
    if len(body.steps) > _MAX_TASKS:
        return f'steps: a job has at most {_MAX_TASKS} steps'
    if sum(len(step.after) for step in body.steps) > _MAX_PREDECESSORS:
        return f'steps: after names at most {_MAX_PREDECESSORS} steps in all'
    for index, step in enumerate(body.steps):
        if not 1 <= step.count <= _MAX_TASKS:
            return f'steps[{index}].count: must be 1 to {_MAX_TASKS}'
        if any(earlier >= index for earlier in step.after):
            return f'steps[{index}].after: must name earlier steps'
    if sum(added.count for added in body.steps) > _MAX_TASKS:
        return f'steps: a job has at most {_MAX_TASKS} tasks'
    return ''


def _convert_step(body: _StepBody) -> Step:
    return Step(
        body.count,
        Resources(body.cpu, body.mem_mb, body.gpu),
        body.estimate_ms,
        tuple(body.after),
        body.required_label,
        body.data_rack,
        body.max_per_server,
    )


def _find_unsupported(body: _JobBody) -> str:
    if not body.best_effort:
        return 'jobs that must be stored'
    if body.repeats:
        return 'jobs that repeat'
    if body.long_running or any(step.long_running for step in body.steps):
        return 'tasks without an end'
    if any(step.gang for step in body.steps):
        return 'gangs'
    if any(step.fills for step in body.steps):
        return 'tasks that fill unused capacity'
    return ''
