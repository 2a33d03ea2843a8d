"""Load the settings of a daemon from a file and the environment."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.policy.document import Document
from savoryrudder.policy.document import parse_toml
from savoryrudder.policy.findings import Finding
from savoryrudder.policy.findings import ModelT
from savoryrudder.policy.findings import Violation
from savoryrudder.policy.findings import locate_violations
from savoryrudder.policy.findings import validate
from savoryrudder.settings.models import AgentSettings
from savoryrudder.settings.models import EntrySettings

_ENV_PREFIX: Final = 'SAVORYRUDDERD_'
# Entries and agents may share an environment, so a variable is unknown only if
# neither of them has such a setting.
_SETTING_KEYS: Final = frozenset(
    (*EntrySettings.model_fields, *AgentSettings.model_fields),
)


class _Overrides(NamedTuple):
    """Hold the values of variables and the keys of unknown variables."""

    values: dict[str, Any]
    unknown_keys: list[str]


def load_entry_settings(
    path: str,
    environment: Mapping[str, str],
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Return the settings of an entry, or all findings.

    An environment variable `SAVORYRUDDERD_<KEY>` overrides the key in the file;
    a finding about it carries the name of the variable and line 1. The items
    of a list are separated by commas.
    """
    return _load(EntrySettings, path, environment)


def load_agent_settings(
    path: str,
    environment: Mapping[str, str],
) -> Result[AgentSettings, tuple[Finding, ...]]:
    """Return the settings of an agent; see `load_entry_settings`."""
    return _load(AgentSettings, path, environment)


def read_file(path: str) -> Result[str, tuple[Finding, ...]]:
    """Return the text of a UTF-8 file, or one finding."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        return Error((Finding(1, 1, '', f'cannot read: {error.strerror}'),))
    try:
        return Ok(raw.decode())
    except UnicodeDecodeError as fault:
        line = raw.count(b'\n', 0, fault.start) + 1
        return Error((Finding(line, 1, '', 'the text is not valid UTF-8'),))


def _load(
    model: type[ModelT],
    path: str,
    environment: Mapping[str, str],
) -> Result[ModelT, tuple[Finding, ...]]:
    parsed = read_file(path).bind(parse_toml)
    if parsed.is_error():
        return Error(parsed.error)
    document = parsed.ok
    overrides = _read_overrides(model, environment)
    merged = {**document.values, **overrides.values}
    settings, violations = validate(model, merged)
    violations.extend(_check_tls_pair(model, merged))
    findings = (
        *_environment_findings(violations, overrides),
        *_file_findings(violations, overrides, document),
    )
    if settings is None or findings:
        return Error(findings)
    return Ok(settings)


def _read_overrides(
    model: type[ModelT],
    environment: Mapping[str, str],
) -> _Overrides:
    values: dict[str, Any] = {}
    unknown_keys: list[str] = []
    for variable, raw in environment.items():
        if not variable.startswith(_ENV_PREFIX):
            continue
        key = variable.removeprefix(_ENV_PREFIX).lower()
        field = model.model_fields.get(key)
        if field is not None:
            values[key] = _convert_variable(field.annotation, raw)
        elif key not in _SETTING_KEYS:
            unknown_keys.append(key)
    return _Overrides(values, unknown_keys)


def _convert_variable(annotation: Any, raw: str) -> Any:
    """Return the value as a TOML file would hold it.

    A malformed number stays text, which validation then reports.
    """
    if getattr(annotation, '__origin__', None) is list:
        return [part.strip() for part in raw.split(',') if part.strip()]
    for number_type in (int, float):
        if annotation in {number_type, number_type | None}:
            return _parse_number(number_type, raw)
    return raw


def _parse_number(
    number_type: type[int] | type[float],
    raw: str,
) -> float | str:
    try:
        return number_type(raw)
    except ValueError:
        return raw


def _check_tls_pair(
    model: type[ModelT],
    values: dict[str, Any],
) -> Iterator[Violation]:
    pair = ('tls_certificate', 'tls_key')
    present = [key for key in pair if key in values]
    if pair[0] in model.model_fields and len(present) == 1:
        yield Violation(
            (present[0],),
            'tls_certificate and tls_key must be given together',
        )


def _environment_findings(
    violations: list[Violation],
    overrides: _Overrides,
) -> tuple[Finding, ...]:
    unknown = [
        Violation((key,), 'unknown variable') for key in overrides.unknown_keys
    ]
    findings = [
        Finding(
            1,
            1,
            _ENV_PREFIX + str(violation.path[0]).upper(),
            violation.message,
        )
        for violation in (*violations, *unknown)
        if violation in unknown or violation.path[0] in overrides.values
    ]
    return tuple(sorted(findings))


def _file_findings(
    violations: list[Violation],
    overrides: _Overrides,
    document: Document,
) -> tuple[Finding, ...]:
    return locate_violations(
        (
            violation
            for violation in violations
            if violation.path[0] not in overrides.values
        ),
        document.locate,
    )
