"""Check that all errors of a configuration are reported in place."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.policy.checks import parse_policy
from savoryrudder.policy.document import MAX_TEXT_BYTES

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_VALID_TEXT = """
[services.pane]
depends_on = ['stock']
[services.pane.operations]
cutting-plan = { idempotent = false, expected_ms = 400 }
[services.stock.operations]
look-up = { idempotent = true, expected_ms = 60 }
[clients.shop]
rate = 10
burst = 20
concurrent = 30
ceiling = { rate = 40.0, highest_urgency = 'urgent' }
[urgency.urgent]
share = 0.7
"""
_FRAGMENTS = st.lists(
    st.sampled_from(
        (
            '[services.a]\n',
            '[clients."b"]\n',
            '[[urgency]]\n',
            'depends_on = ["a", 1]\n',
            'rate = inf\n',
            '"é" . x = {y = [{z = 1}, # c\n',
            'share = 2\r\n',
            '9' * 4301,
            '[limits.' * 2,
            'a = ',
            ']',
            '}',
        ),
    ),
).map(''.join)


def test_valid_text_becomes_a_policy() -> None:
    """Guard against lost values and ceilings that lack their defaults."""
    policy = parse_policy(_VALID_TEXT).ok
    client = policy.clients['shop']
    assert policy.services['pane'].depends_on == ('stock',)
    assert not policy.services['pane'].operations['cutting-plan'].idempotent
    assert client.terms == (10.0, 20, 30, 'normal', 600)
    assert client.ceiling == (40.0, 20, 30, 'urgent', 600)
    assert policy.shares['urgent'] == pytest.approx(0.7)
    assert policy.shares['background'] == 0


def test_all_findings_are_reported_in_place() -> None:
    """Guard against a type error that hides errors across tables."""
    text = r"""
[services.pane]
slots = 'many'
operations.cut = { idempotent = 1, expected_ms = 0 }
[services.a]
depends_on = ['b', 'nowhere']
operations.x = { idempotent = true, expected_ms = 1 }
[services.b]
depends_on = ['a']
default_deadline_ms = 900000
operations.x = { idempotent = true, expected_ms = 1 }
[clients.'shop 1']
rate = 5
burst = 1
concurrent = 1
highest_urgency = 'critical'
"\u0063eiling" = { rate = 4.0, highest_urgency = 'urgent' }
[urgency]
urgent.share = 0.6
hasty.share = 0.6
[surplus]
"""
    findings = parse_policy(text).error
    assert [(finding.line, finding.key) for finding in findings] == [
        (3, 'services.pane.slots'),
        (4, 'services.pane.operations.cut.idempotent'),
        (4, 'services.pane.operations.cut.expected_ms'),
        (6, 'services.a.depends_on'),
        (6, 'services.a.depends_on.1'),
        (10, 'services.b.default_deadline_ms'),
        (12, 'clients.shop 1'),
        (13, 'clients.shop 1.rate'),
        (16, 'clients.shop 1.highest_urgency'),
        (18, 'urgency'),
        (20, 'urgency.hasty'),
        (21, 'surplus'),
    ]
    assert 'a -> b -> a' in findings[3].message
    assert findings[4].column == 20


@pytest.mark.parametrize(
    ('text', 'line', 'message'),
    [
        ('a = 1\nb = [\n', 3, 'syntax error'),
        ('a = 1\nb = ?', 2, 'syntax error'),
        ('', 1, 'no service'),
        ('#' * (MAX_TEXT_BYTES + 1), 1, 'at most 1000000'),
        ('a = {0}'.format('[' * 9999), 1, 'nested too deeply'),
        ('\na{0} = 1'.format('.a' * 200_000), 2, 'joined by dots'),
        ('\na = "\ud800"', 2, 'not valid Unicode'),
    ],
)
def test_unreadable_text_is_one_finding(
    text: str,
    line: int,
    message: str,
) -> None:
    """Guard against exceptions and missing positions for unreadable text."""
    findings = parse_policy(text).error
    assert [finding.line for finding in findings] == [line]
    assert message in findings[0].message


@given(st.one_of(st.text(), _FRAGMENTS))
@example(r'"\u0000" = 1')
def test_findings_of_any_text_have_positions_in_it(text: str) -> None:
    """Guard against exceptions and positions outside the text."""
    checked = parse_policy(text)
    findings = checked.error if checked.is_error() else ()
    lines = text.count('\n') + 1
    assert all(1 <= finding.line <= lines for finding in findings)
    assert all(finding.column >= 1 for finding in findings)


@pytest.mark.parametrize('name', ['kaca-potong.toml', 'cvetna-pot.toml'])
def test_examples_have_no_findings(name: str) -> None:
    """Guard against examples that an entry would refuse."""
    text = (_EXAMPLES / name).read_text(encoding='utf-8')
    assert parse_policy(text).is_ok()


@pytest.mark.parametrize(
    ('name', 'client'),
    [('kaca-potong.toml', 'head-office'), ('cvetna-pot.toml', 'florist-vic')],
)
def test_examples_admit_the_largest_job(name: str, client: str) -> None:
    """Guard against a demo whose job of 170 tasks is refused by its terms."""
    text = (_EXAMPLES / name).read_text(encoding='utf-8')
    terms = parse_policy(text).ok.clients[client].terms
    assert min(terms.burst, terms.concurrent) >= 170
