"""Show the configuration in force."""

from __future__ import annotations

from savoryrudder.console.configuration import fetch_configuration
from savoryrudder.console.options import EntryOptions
from savoryrudder.console.session import ExitCode
from savoryrudder.console.session import Session


async def config_show(session: Session, options: EntryOptions) -> ExitCode:
    """Show the configuration in force."""
    fetched = await fetch_configuration(session.connect(options.entry))
    if fetched.is_error():
        return session.report_unreachable(fetched.error)
    current = fetched.ok
    if options.as_json:
        session.write_json(current)
        return ExitCode.done
    session.warn(
        f'revision {current.revision} by {current.author}, '
        f'applied at {current.applied_at}',
    )
    session.write_lines(current.text.rstrip('\n'))
    return ExitCode.done
