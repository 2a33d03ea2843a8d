"""Provide commands with their environment, streams and connections."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable
from collections.abc import Mapping
from enum import IntEnum
from typing import Any
from typing import Final
from typing import TextIO

import msgspec
from httpx import AsyncBaseTransport

from savoryrudder.console.client import EntryClient
from savoryrudder.console.client import Response
from savoryrudder.policy.findings import Finding
from savoryrudder.settings.addresses import check_url

_ENTRY_VARIABLE: Final = 'SAVORYRUDDER_ENTRY'


class ExitCode(IntEnum):
    """Define the exit codes of the commands, for scripts to evaluate."""

    done = 0
    refused = 1
    usage = 2
    unreachable = 3
    race_lost = 4
    pending = 5


class UsageError(ValueError):
    """Report an argument that a command cannot use."""


class CommandContext:
    """Hold the environment, streams and connections of one command."""

    def __init__(
        self,
        environment: Mapping[str, str] | None = None,
        transport: AsyncBaseTransport | None = None,
        output: TextIO | None = None,
        errors: TextIO | None = None,
    ) -> None:
        """Use the environment and streams of the process by default."""
        self.environment = os.environ if environment is None else environment
        self._transport = transport
        self._output = output or sys.stdout
        self._errors = errors or sys.stderr

    def write_lines(self, *lines: str) -> None:
        """Write lines of the result to the output stream."""
        self._output.writelines(f'{line}\n' for line in lines)

    def warn(self, *lines: str) -> None:
        """Write lines that are not part of the result to the error stream."""
        self._errors.writelines(f'{line}\n' for line in lines)

    def write_json(self, value: Any) -> None:
        """Write a value to the output stream as indented JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.write_lines(encoded.decode())

    def report_findings(
        self,
        file: str,
        findings: Iterable[Finding],
        as_json: bool = False,
    ) -> ExitCode:
        """Write the findings of a file and return the exit code."""
        if as_json:
            rows = [row._asdict() for row in findings]
            self.write_json({'file': file, 'findings': rows})
            return ExitCode.refused
        self.write_lines(
            *(
                f'{file}:{finding.line}:{finding.column}: '
                f'{finding.key or "text"}: {finding.message}'
                for finding in findings
            ),
        )
        return ExitCode.refused

    def report_refusal(self, response: Response) -> ExitCode:
        """Report that an entry refused the request."""
        self.warn(f'{response.entry}: {response.problem}')
        return ExitCode.refused

    def report_unreachable(self, detail: str) -> ExitCode:
        """Report that no entry responded, or that its store did not."""
        self.warn(f'unreachable: {detail}')
        return ExitCode.unreachable

    def connect(self, entry: str) -> EntryClient:
        """Return a client of the entries in `--entry` or the environment.

        Raises UsageError when no entry is given or one is not an HTTP URL.
        """
        urls = entry or self.environment.get(_ENTRY_VARIABLE, '')
        entries = [url.strip().rstrip('/') for url in urls.split(',')]
        entries = [url for url in entries if url]
        if not entries:
            raise UsageError(
                f'no entry given; use --entry or set {_ENTRY_VARIABLE}'
            )
        for url in entries:
            _check_entry_url(url)
        return EntryClient(tuple(entries), self._transport)


def _check_entry_url(url: str) -> None:
    try:
        check_url(url)
    except ValueError as error:
        raise UsageError(f'entry "{url}" {error}') from None
