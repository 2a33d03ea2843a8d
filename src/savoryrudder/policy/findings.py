"""Validate tables and report errors with their position in the text."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TypeAlias
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

KeyPath: TypeAlias = tuple[str | int, ...]
ModelT = TypeVar('ModelT', bound=BaseModel)

_MESSAGES: Final = MappingProxyType(
    {
        'extra_forbidden': 'unknown key',
        'missing': 'required key is missing',
        'model_type': 'must be a table',
        'dict_type': 'must be a table',
    },
)


class Position(NamedTuple):
    """Identify a character; lines and columns count from 1."""

    line: int
    column: int


class Finding(NamedTuple):
    """Report an error at a position.

    `key` is the dotted path of the key, empty for the document as a whole.
    """

    line: int
    column: int
    key: str
    message: str


Locator: TypeAlias = Callable[[KeyPath], Position]


class StrictModel(BaseModel):
    """Forbid unknown keys, type coercion, non-finite numbers and changes."""

    model_config = ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
        allow_inf_nan=False,
    )


class Violation(NamedTuple):
    """Report an error at a key path whose position is not known yet."""

    path: KeyPath
    message: str


def validate(
    model: type[ModelT],
    raw: Any,
    prefix: KeyPath = (),
) -> tuple[ModelT | None, list[Violation]]:
    """Return the validated model, or None and all errors in the raw table.

    The paths of the errors start with `prefix`.
    """
    try:
        return model.model_validate(raw), []
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
    return None, [
        Violation(
            (*prefix, *_without_key_marker(detail['loc'])),
            _MESSAGES.get(detail['type'], _normalize_message(detail['msg'])),
        )
        for detail in details
    ]


def locate_violations(
    violations: Iterable[Violation],
    locate: Locator,
) -> tuple[Finding, ...]:
    """Return the errors as findings in the order of the document."""
    findings = [
        Finding(
            *locate(violation.path),
            format_key_path(violation.path),
            violation.message,
        )
        for violation in violations
    ]
    return tuple(sorted(findings))


def format_key_path(path: KeyPath) -> str:
    """Return a key path as a string of parts joined by dots."""
    return '.'.join(str(part) for part in path)


def _without_key_marker(location: KeyPath) -> KeyPath:
    # pydantic appends this part if the error is in a key and not in its value.
    if location and location[-1] == '[key]':
        return location[:-1]
    return location


def _normalize_message(message: str) -> str:
    """Remove the prefixes that pydantic adds, and the initial capital."""
    message = message.removeprefix('Value error, ')
    message = message.removeprefix('Input ')
    return message[:1].lower() + message[1:]
