"""Compare two policies."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from savoryrudder.policy.findings import KeyPath
from savoryrudder.policy.findings import format_key_path
from savoryrudder.policy.model import Policy


class Change(NamedTuple):
    """Report a key whose value differs; None stands for an absent key."""

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        """Return one line that starts with +, - or ~."""
        if self.old is None:
            return f'+ {self.key} = {self.new!r}'
        if self.new is None:
            return f'- {self.key} = {self.old!r}'
        return f'~ {self.key}: {self.old!r} -> {self.new!r}'


def compare_policies(old: Policy, new: Policy) -> tuple[Change, ...]:
    """Return the changes between two policies, sorted by key.

    Values are compared after defaults are filled in, so that writing out a
    default is no change.
    """
    before = dict(_flatten(old, ()))
    after = dict(_flatten(new, ()))
    return tuple(
        Change(format_key_path(path), before.get(path), after.get(path))
        for path in sorted({*before, *after})
        if before.get(path) != after.get(path)
    )


def _flatten(value: Any, path: KeyPath) -> Iterator[tuple[KeyPath, Any]]:
    if hasattr(value, '_asdict'):
        value = value._asdict()
    if not isinstance(value, dict):
        yield path, value
        return
    for key, child in value.items():
        # A named table repeats its key in `name`.
        if key != 'name' or child != path[-1]:
            yield from _flatten(child, (*path, key))
