"""Cancel a job."""

from __future__ import annotations

from urllib.parse import quote

from pydantic import Field

from savoryrudder.console.client import Request
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import EntryOptions
from savoryrudder.console.options import Key
from savoryrudder.settings.models import Name


class CancelOptions(EntryOptions):
    """Define the arguments of `cancel`."""

    key: Key = Field(description='the idempotency key of the job')
    client: Name = Field(description='the client that submitted the job')


async def cancel(context: CommandContext, options: CancelOptions) -> ExitCode:
    """Cancel a job; tasks that are not idempotent run to completion."""
    path = '/v1/jobs/{0}'.format(quote(options.key, safe=''))
    request = Request('DELETE', path, {'Client': options.client})
    response = await context.connect(options.entry).call(request)
    if response.is_error():
        return context.report_unreachable(response.error)
    if options.as_json:
        context.write_json({'key': options.key, 'answer': response.ok.body})
    cancelled = response.ok.body.get('reason') == 'cancelled'
    if not (response.ok.succeeded or cancelled):
        return context.report_refusal(response.ok)
    if not options.as_json:
        context.write_lines(f'key {options.key}', *response.ok.describe_job())
    return ExitCode.done
