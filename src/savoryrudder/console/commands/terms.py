"""Show the standing terms of a client."""

from __future__ import annotations

from pydantic import Field

from savoryrudder.console.client import Request
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import EntryOptions


class TermsOptions(EntryOptions):
    """Define the arguments of `terms`."""

    client: str = Field(description='the client whose terms are shown')


async def terms(context: CommandContext, options: TermsOptions) -> ExitCode:
    """Show the current standing terms of a client."""
    request = Request('GET', '/v1/terms', query={'client': options.client})
    response = await context.connect(options.entry).call(request)
    if response.is_error():
        return context.report_unreachable(response.error)
    if not response.ok.succeeded:
        return context.report_refusal(response.ok)
    if options.as_json:
        context.write_json(response.ok.body)
    else:
        context.write_lines(
            *(f'{name}: {term}' for name, term in response.ok.body.items()),
        )
    return ExitCode.done
