"""Submit a job."""

from __future__ import annotations

import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
import uuid6
from pydantic import Field

from savoryrudder.console.client import Request
from savoryrudder.console.client import Response
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.context import UsageError
from savoryrudder.console.options import EntryOptions
from savoryrudder.console.options import Key
from savoryrudder.settings.models import Name


class _Task(msgspec.Struct, forbid_unknown_fields=True):
    """Hold a task of the file; its payload is sent byte for byte."""

    operation: str
    payload: msgspec.Raw


class SubmitOptions(EntryOptions):
    """Define the arguments of `submit`."""

    client: Name = Field(description='the client that submits the job')
    service: str = Field(description='the service that runs the tasks')
    tasks: str = Field(
        description='JSON list of {"operation", "payload"}: a file or "-"',
    )
    urgency: str = Field(
        default='normal',
        description='critical, urgent, normal or background',
    )
    deadline_ms: int | None = Field(
        default=None,
        description='milliseconds after which the result is useless',
    )
    wait: float = Field(
        default=10,
        ge=0,
        description='the time to wait for the result in seconds',
    )
    key: Key = Field(
        default='',
        description='the idempotency key; a new UUIDv7 by default',
    )


async def submit(context: CommandContext, options: SubmitOptions) -> ExitCode:
    """Submit a job and wait for its result.

    If an entry does not respond, the next one gets the job with the same key,
    so that no task starts twice.
    """
    body: dict[str, Any] = {
        'service': options.service,
        'urgency': options.urgency,
        'tasks': _read_tasks(options.tasks),
    }
    if options.deadline_ms is not None:
        body['deadline_ms'] = options.deadline_ms
    key = options.key or str(uuid6.uuid7())
    request = Request(
        'POST',
        '/v1/jobs',
        {'Idempotency-Key': key, 'Client': options.client},
        {'wait': f'{options.wait:g}'},
        msgspec.json.encode(body),
        options.wait,
    )
    response = await context.connect(options.entry).call(request)
    if response.is_error():
        context.warn(
            f'the job may have been accepted; submit it again with --key {key}',
        )
        return context.report_unreachable(response.error)
    if options.as_json:
        context.write_json({'key': key, 'answer': response.ok.body})
    else:
        context.write_lines(f'key {key}', *response.ok.describe_job())
    return _exit_code(response.ok)


def _read_tasks(file: str) -> list[_Task]:
    try:
        raw = _read_bytes(file)
    except OSError as error:
        raise UsageError(f'{file}: cannot read: {error.strerror}') from None
    try:
        return msgspec.json.decode(raw, type=list[_Task])
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise UsageError(f'{file}: {fault}') from None


def _read_bytes(file: str) -> bytes:
    if file == '-':
        return sys.stdin.buffer.read()
    return Path(file).read_bytes()


def _exit_code(response: Response) -> ExitCode:
    status = response.body.get('status')
    if response.status == HTTPStatus.ACCEPTED or status == 'running':
        return ExitCode.pending
    if response.succeeded and status == 'complete':
        return ExitCode.done
    return ExitCode.refused
