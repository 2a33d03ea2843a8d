"""Show the configuration in force."""

from __future__ import annotations

from savoryrudder.console.configuration import fetch_configuration
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import EntryOptions


async def config_show(
    context: CommandContext, options: EntryOptions
) -> ExitCode:
    """Show the configuration in force."""
    fetched = await fetch_configuration(context.connect(options.entry))
    if fetched.is_error():
        return context.report_unreachable(fetched.error)
    current = fetched.ok
    if options.as_json:
        context.write_json(current)
        return ExitCode.done
    context.warn(
        f'revision {current.revision} by {current.author}, '
        f'applied at {current.applied_at}',
    )
    context.write_lines(current.text.rstrip('\n'))
    return ExitCode.done
