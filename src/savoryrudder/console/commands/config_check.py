"""Check a configuration file."""

from __future__ import annotations

from pydantic import Field

from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import Options
from savoryrudder.policy.checks import parse_policy
from savoryrudder.settings.loading import read_file


class ConfigCheckOptions(Options):
    """Define the arguments of `config check`."""

    file: str = Field(description='the configuration file')


async def config_check(
    context: CommandContext, options: ConfigCheckOptions
) -> ExitCode:
    """Check a configuration file without calling an entry."""
    checked = read_file(options.file).bind(parse_policy)
    if checked.is_error():
        return context.report_findings(
            options.file, checked.error, options.as_json
        )
    if options.as_json:
        context.write_json({'file': options.file, 'findings': []})
    else:
        context.write_lines(f'{options.file}: no findings')
    return ExitCode.done
