"""Apply a configuration file."""

from __future__ import annotations

import getpass
from typing import Any

import uuid6
from pydantic import Field

from savoryrudder.console import configuration
from savoryrudder.console.commands.config_wait import ConfigWaitOptions
from savoryrudder.console.commands.config_wait import wait_for_revision
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.options import EntryOptions
from savoryrudder.policy.checks import parse_policy
from savoryrudder.policy.findings import Finding
from savoryrudder.settings.loading import read_file


class ConfigApplyOptions(EntryOptions):
    """Define the arguments of `config apply`."""

    file: str = Field(description='the configuration file')
    revision: int | None = Field(
        default=None,
        description='revision of an earlier diff; the current one by default',
    )
    author: str = Field(
        default='',
        description='name shown to other operators; the user name by default',
    )
    wait: float = Field(
        default=0,
        ge=0,
        description='seconds to wait until the new text is in force everywhere',
    )


async def config_apply(
    context: CommandContext, options: ConfigApplyOptions
) -> ExitCode:
    """Apply a configuration file by compare-and-swap."""
    text = read_file(options.file)
    checked = text.bind(parse_policy)
    if checked.is_error():
        return context.report_findings(
            options.file, checked.error, options.as_json
        )
    client = context.connect(options.entry)
    fetched = await configuration.fetch_configuration(client)
    if fetched.is_error():
        return context.report_unreachable(fetched.error)
    report = _ApplyReport(context, options.file, fetched.ok, options.as_json)
    if options.revision not in {None, fetched.ok.revision}:
        return report.race_lost(_conflict_before_write(fetched.ok), text.ok)
    if fetched.ok.text == text.ok:
        report.applied(fetched.ok.revision)
        return await _wait_if_requested(context, options, fetched.ok.revision)
    report.changes(text.ok)
    update = configuration.ConfigurationUpdate(
        text.ok,
        fetched.ok.revision,
        options.author or getpass.getuser(),
        str(uuid6.uuid7()),
    )
    outcome = await configuration.apply_update(client, update)
    code = report.outcome(outcome)
    if not isinstance(outcome, configuration.Applied):
        return code
    return await _wait_if_requested(context, options, outcome.revision)


async def _wait_if_requested(
    context: CommandContext,
    options: ConfigApplyOptions,
    revision: int,
) -> ExitCode:
    if not options.wait:
        return ExitCode.done
    wait_options = ConfigWaitOptions(
        entry=options.entry,
        json=options.as_json,
        revision=revision,
        timeout=options.wait,
    )
    return await wait_for_revision(context, wait_options)


def _conflict_before_write(
    current: configuration.Configuration,
) -> configuration.RaceLost:
    return configuration.RaceLost(
        current.revision,
        current.author,
        current.text,
    )


class _ApplyReport:
    """Report the changes to a base configuration and how their write ended."""

    def __init__(
        self,
        context: CommandContext,
        file: str,
        base: configuration.Configuration,
        as_json: bool,
    ) -> None:
        self._context = context
        self._file = file
        self._base = base
        self._as_json = as_json

    def outcome(self, outcome: configuration.ApplyOutcome) -> ExitCode:
        """Report how the write ended."""
        if isinstance(outcome, configuration.Applied):
            return self.applied(outcome.revision)
        if isinstance(outcome, configuration.RaceLost):
            return self.race_lost(outcome, self._base.text)
        if isinstance(outcome, configuration.FindingsReported):
            findings = [
                Finding(row.line, row.column, row.key, row.message)
                for row in outcome.findings
            ]
            return self._context.report_findings(
                self._file, findings, self._as_json
            )
        if isinstance(outcome, configuration.Refused):
            self._write_fields({'outcome': 'refused', 'detail': outcome.detail})
            return ExitCode.refused
        self._write_fields({'outcome': 'unknown', 'detail': outcome.detail})
        self._context.warn(
            'the configuration may or may not be in force; '
            'check with "savoryrudder config show"',
        )
        return ExitCode.unreachable

    def changes(self, text: str) -> None:
        """Report what the new text changes."""
        lines = configuration.describe_difference(self._base.text, text)
        if not self._as_json:
            self._context.write_lines(*(lines or ['no changed values']))

    def applied(self, revision: int) -> ExitCode:
        """Report the revision at which the new text is in force."""
        self._write_fields({'outcome': 'applied', 'revision': revision})
        return ExitCode.done

    def race_lost(
        self,
        conflict: configuration.RaceLost,
        old_text: str,
    ) -> ExitCode:
        """Report the other operator's revision, author and changes."""
        self._write_fields(
            {
                'outcome': 'race-lost',
                'revision': conflict.revision,
                'author': conflict.author,
            },
        )
        if not conflict.certain:
            self._context.warn(
                'your configuration may have been in force before'
            )
        lines = configuration.describe_difference(old_text, conflict.text)
        if not self._as_json:
            self._context.write_lines('changed by the other operator:', *lines)
        return ExitCode.race_lost

    def _write_fields(self, fields: dict[str, Any]) -> None:
        if self._as_json:
            self._context.write_json(fields)
        else:
            self._context.write_lines(
                ', '.join(f'{key} {item}' for key, item in fields.items()),
            )
