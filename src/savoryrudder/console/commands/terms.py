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
    answer = await session.connect(options.entry).call(request)
    if answer.is_error():
        return session.unreachable(answer.error)
    if not answer.ok.succeeded:
        return session.refused(answer.ok)
    if options.as_json:
        session.dump(answer.ok.body)
    else:
        session.say(
            *(f'{name}: {term}' for name, term in answer.ok.body.items()),
        )
    return ExitCode.done
