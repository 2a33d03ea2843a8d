"""Check the difference between two policies."""

from __future__ import annotations

from savoryrudder.policy.checks import parse_policy
from savoryrudder.policy.diff import compare_policies

_OLD = """
[services.pane]
slots = 1
operations.cut = { idempotent = false, expected_ms = 400 }
[clients.shop]
rate = 10
burst = 20
concurrent = 30
"""


def test_changes_name_keys_and_values() -> None:
    """Guard against defaults shown as changes, and removals that are lost."""
    new = _OLD.replace('slots = 1\n', '').replace('rate = 10', 'rate = 12')
    new = new.replace('operations.cut', 'operations.trim')
    changes = compare_policies(parse_policy(_OLD).ok, parse_policy(new).ok)
    assert [str(change) for change in changes] == [
        '~ clients.shop.ceiling.rate: 10.0 -> 12.0',
        '~ clients.shop.terms.rate: 10.0 -> 12.0',
        '- services.pane.operations.cut.expected_ms = 400',
        '- services.pane.operations.cut.idempotent = False',
        '+ services.pane.operations.trim.expected_ms = 400',
        '+ services.pane.operations.trim.idempotent = False',
    ]
