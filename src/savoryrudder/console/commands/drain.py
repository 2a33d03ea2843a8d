"""Drain an agent or an entry."""

from __future__ import annotations

import msgspec
from pydantic import Field

from savoryrudder.console.client import Request
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.context import UsageError
from savoryrudder.console.options import EntryOptions


class DrainOptions(EntryOptions):
    """Define the arguments of `drain`."""

    agent: str = Field(default='', description='the agent to drain')
    itself: bool = Field(
        default=False,
        description='drain the entry named by --entry',
    )


async def drain(context: CommandContext, options: DrainOptions) -> ExitCode:
    """Make an agent, or the entry itself, finish its work and stop."""
    client = context.connect(options.entry)
    if bool(options.agent) == options.itself:
        raise UsageError('give either --agent or --itself')
    if options.itself and len(client.entries) > 1:
        # If the first entry did not respond, the next one would drain instead.
        raise UsageError('--itself needs exactly one entry')
    body = {'agent': options.agent} if options.agent else {}
    response = await client.call(
        Request('POST', '/v1/drain', body=msgspec.json.encode(body)),
    )
    if response.is_error():
        return context.report_unreachable(response.error)
    if not response.ok.succeeded:
        return context.report_refusal(response.ok)
    if options.as_json:
        context.write_json(response.ok.body)
    else:
        context.write_lines(f'draining {options.agent or response.ok.entry}')
    return ExitCode.done
