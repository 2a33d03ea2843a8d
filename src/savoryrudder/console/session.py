"""Hold what a command needs from the process it runs in."""

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

from savoryrudder.console.client import Answer
from savoryrudder.console.client import EntryClient
from savoryrudder.policy.findings import Finding
from savoryrudder.settings.addresses import check_url

_ENTRY_VARIABLE: Final = 'SAVORYRUDDER_ENTRY'


class ExitCode(IntEnum):
    """Tell a script how a command ended."""

    done = 0
    refused = 1
    usage = 2
    unreachable = 3
    race_lost = 4
    pending = 5


class UsageError(ValueError):
    """Report an argument that a command cannot work with."""


class Session:
    """Give commands their environment, streams and connection."""

    def __init__(
        self,
        environment: Mapping[str, str] | None = None,
        transport: AsyncBaseTransport | None = None,
        output: TextIO | None = None,
        errors: TextIO | None = None,
    ) -> None:
        """Take the parts of the current process unless others are given."""
        self.environment = os.environ if environment is None else environment
        self._transport = transport
        self._output = output or sys.stdout
        self._errors = errors or sys.stderr

    def say(self, *lines: str) -> None:
        """Write lines of the answer."""
        self._output.writelines(f'{line}\n' for line in lines)

    def warn(self, *lines: str) -> None:
        """Write lines that are not part of the answer."""
        self._errors.writelines(f'{line}\n' for line in lines)

    def dump(self, value: Any) -> None:
        """Write a value as JSON."""
        raw = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.say(raw.decode())

    def report(
        self,
        file: str,
        findings: Iterable[Finding],
        as_json: bool = False,
    ) -> ExitCode:
        """Write the findings of a file."""
        if as_json:
            rows = [finding._asdict() for finding in findings]
            self.dump({'file': file, 'findings': rows})
            return ExitCode.refused
        self.say(
            *(
                f'{file}:{found.line}:{found.column}: '
                f'{found.key or "text"}: {found.message}'
                for found in findings
            ),
        )
        return ExitCode.refused

    def refused(self, answer: Answer) -> ExitCode:
        """Report the refusal of an entry."""
        self.warn(f'{answer.entry}: {answer.problem}')
        return ExitCode.refused

    def unreachable(self, detail: str) -> ExitCode:
        """Report that no entry, or not its store, answered."""
        self.warn(f'unreachable: {detail}')
        return ExitCode.unreachable

    def connect(self, entry: str) -> EntryClient:
        """Return a client of the entries named by `--entry` or the variable.

        Raises UsageError when neither names an HTTP URL.
        """
        urls = entry or self.environment.get(_ENTRY_VARIABLE, '')
        entries = [url.strip().rstrip('/') for url in urls.split(',')]
        entries = [url for url in entries if url]
        if not entries:
            raise UsageError(f'give --entry or set {_ENTRY_VARIABLE}')
        for url in entries:
            _check_entry(url)
        return EntryClient(tuple(entries), self._transport)


def _check_entry(url: str) -> None:
    try:
        check_url(url)
    except ValueError as error:
        raise UsageError(f'entry "{url}" {error}') from None
