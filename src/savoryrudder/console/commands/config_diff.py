"""Compare a configuration file with the configuration in force."""

from __future__ import annotations

from pydantic import Field

from savoryrudder.console.configuration import describe_difference
from savoryrudder.console.configuration import fetch_configuration
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import EntryOptions
from savoryrudder.policy.checks import parse_policy
from savoryrudder.settings.loading import read_file


class ConfigDiffOptions(EntryOptions):
    """Define the arguments of `config diff`."""

    file: str = Field(description='the configuration file')


async def config_diff(
    context: CommandContext, options: ConfigDiffOptions
) -> ExitCode:
    """Show what applying a configuration file would change."""
    text = read_file(options.file)
    checked = text.bind(parse_policy)
    if checked.is_error():
        return context.report_findings(
            options.file, checked.error, options.as_json
        )
    fetched = await fetch_configuration(context.connect(options.entry))
    if fetched.is_error():
        return context.report_unreachable(fetched.error)
    current = fetched.ok
    lines = describe_difference(current.text, text.ok)
    if options.as_json:
        context.write_json({'revision': current.revision, 'changes': lines})
        return ExitCode.done
    context.write_lines(
        f'against revision {current.revision} by {current.author}:'
    )
    context.write_lines(*(lines or ('no changes',)))
    return ExitCode.done
