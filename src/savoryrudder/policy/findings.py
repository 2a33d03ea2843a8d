"""Describe what is wrong with a text, and where."""

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
    """Locate a character; lines and columns count from 1."""

    line: int
    column: int


class Finding(NamedTuple):
    """Report one fault; `key` is the dotted path, empty for the whole text."""

    line: int
    column: int
    key: str
    message: str


Locate: TypeAlias = Callable[[KeyPath], Position]


class StrictModel(BaseModel):
    """Refuse unknown keys, converted types, infinities and changes."""

    model_config = ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
        allow_inf_nan=False,
    )


class Fault(NamedTuple):
    """Report a fault at a key path whose position is not known yet."""

    path: KeyPath
    message: str


def validate(
    model: type[ModelT],
    raw: Any,
    prefix: KeyPath = (),
) -> tuple[ModelT | None, list[Fault]]:
    """Return the checked model, or None and every fault in the raw table."""
    try:
        return model.model_validate(raw), []
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
    return None, [
        Fault(
            (*prefix, *_without_key_marker(detail['loc'])),
            _MESSAGES.get(detail['type'], _normalize_message(detail['msg'])),
        )
        for detail in details
    ]


def locate_faults(
    faults: Iterable[Fault],
    locate: Locate,
) -> tuple[Finding, ...]:
    """Return the faults as findings in the order of the text."""
    findings = [
        Finding(*locate(fault.path), dotted(fault.path), fault.message)
        for fault in faults
    ]
    return tuple(sorted(findings))


def dotted(path: KeyPath) -> str:
    """Return a key path as text."""
    return '.'.join(str(part) for part in path)


def _without_key_marker(location: KeyPath) -> KeyPath:
    # pydantic marks a fault in a key, not in its value, by this last part.
    if location and location[-1] == '[key]':
        return location[:-1]
    return location


def _normalize_message(message: str) -> str:
    message = message.removeprefix('Value error, ')
    message = message.removeprefix('Input ')
    return message[:1].lower() + message[1:]
