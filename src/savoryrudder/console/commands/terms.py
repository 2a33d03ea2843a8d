"""Show the standing terms of a client."""

from __future__ import annotations

from pydantic import Field

from savoryrudder.console.client import Request
from savoryrudder.console.options import EntryOptions
from savoryrudder.console.session import ExitCode
from savoryrudder.console.session import Session


class TermsOptions(EntryOptions):
    """Arguments of `terms`."""

    client: str = Field(description='the client whose terms are shown')


async def terms(session: Session, options: TermsOptions) -> ExitCode:
    """Show the current standing terms of a client."""
    request = Request('GET', '/v1/terms', query={'client': options.client})
    response = await session.connect(options.entry).call(request)
    if response.is_error():
        return session.report_unreachable(response.error)
    if not response.ok.succeeded:
        return session.report_refusal(response.ok)
    if options.as_json:
        session.write_json(response.ok.body)
    else:
        session.write_lines(
            *(f'{name}: {term}' for name, term in response.ok.body.items()),
        )
    return ExitCode.done
