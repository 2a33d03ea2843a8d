"""Test the commands for jobs, drains, terms and traces."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import pytest

if TYPE_CHECKING:
    from tests.console.conftest import Console

_TASKS = '[{"operation": "cut", "payload": {"w": 1.50, "w": 12e400}}]'


@pytest.fixture(name='submit')
def _submit(tmp_path: Path) -> tuple[str, ...]:
    path = tmp_path / 'tasks.json'
    path.write_text(_TASKS, encoding='utf-8')
    return ('submit', '--client=shop', '--service=pane', f'--tasks={path}')


def test_next_entry_gets_the_same_request(
    console: Console,
    submit: tuple[str, ...],
) -> None:
    """Guard against a second key, which would start the tasks twice."""
    console.handler = _time_out_first_entry
    assert console.run(*submit, '--deadline-ms', 900, '--wait=2') == 0
    first, second = console.requests
    assert first.content == second.content
    assert first.headers['Idempotency-Key'] == second.headers['idempotency-key']
    assert first.url.params['wait'] == '2'
    assert b'{"w": 1.50, "w": 12e400}' in first.content
    assert json.loads(first.content)['deadline_ms'] == 900


@pytest.mark.parametrize(
    ('status', 'body', 'code'),
    [
        (200, {'status': 'failed', 'outcome': 'unknown'}, 1),
        (202, {'status': 'running'}, 5),
        (429, {'reason': 'rate-limited', 'outcome': 'not-run'}, 1),
    ],
)
def test_exit_code_reports_the_outcome(
    console: Console,
    submit: tuple[str, ...],
    status: int,
    body: dict[str, str],
    code: int,
) -> None:
    """Guard against exit code 0 for a job without a complete result."""
    console.handler = lambda _: httpx.Response(status, json=body)
    assert console.run(*submit, '--key=1_000', '--json') == code
    assert json.loads(console.output) == {'key': '1_000', 'answer': body}


def test_lost_submission_reports_the_key(
    console: Console,
    submit: tuple[str, ...],
) -> None:
    """Guard against a lost submission whose key is not shown.

    Without the key the operator cannot repeat the submission safely.
    """
    assert console.run(*submit, '--key=k7') == 3
    assert '--key k7' in console.errors
    assert 'Traceback' not in console.errors


@pytest.mark.parametrize(
    'arguments',
    [
        ('submit', '--client=shop', '--service=pane', '--tasks=missing'),
        ('cancel', 'k1', '--client=shop', 'surplus'),
        ('cancel', 'k1', '--client=shop\n'),
        ('drain', '--itself'),
        ('drain',),
        ('terms', 'shop', '--entry=e1'),
        ('config', 'wait', 'soon'),
        ('config',),
        ('nothing',),
    ],
)
def test_usage_errors_call_no_entry(
    console: Console,
    arguments: tuple[str, ...],
) -> None:
    """Guard against mistyped commands that send requests or raise."""
    assert console.run(*arguments) == 2
    assert not console.requests


def test_requests_name_their_target(console: Console) -> None:
    """Guard against draining or cancelling the wrong target."""
    console.handler = lambda _: httpx.Response(200, json={'rate': 4})
    assert console.run('drain', '--agent', 'a1') == 0
    assert console.run('drain', '--itself', '--entry=http://e1:80') == 0
    assert console.run('cancel', 'a/b', '--client', 'shop') == 0
    assert console.run('terms', 'shop') == 0
    assert console.output == 'rate: 4\n'
    assert [_target(request) for request in console.requests] == [
        ('POST', b'/v1/drain', b'{"agent":"a1"}'),
        ('POST', b'/v1/drain', b'{}'),
        ('DELETE', b'/v1/jobs/a%2Fb', b''),
        ('GET', b'/v1/terms?client=shop', b''),
    ]


@pytest.mark.parametrize('body', [b'<html>', b'[]', b'{"entry": 3}'])
def test_status_handles_malformed_responses(
    console: Console,
    body: bytes,
) -> None:
    """Guard against a traceback when another program responds."""
    console.handler = lambda _: httpx.Response(200, content=body)
    assert console.run('status') == 3
    assert console.errors.startswith('unreachable: http://e1:80: ')


def test_trace_is_shown_as_a_tree(console: Console, tmp_path: Path) -> None:
    """Guard against missing spans and failing on an incomplete line."""
    spans = [
        ('t1', 's2', 's1', 'place', 2_000_000, 3_500_000),
        ('t1', 's1', 'absent', 'job', 1_000_000, 5_000_000),
        ('t2', 's3', None, 'other', 0, 1),
    ]
    names = ('trace_id', 'span_id', 'parent_id', 'name', 'start_ns', 'end_ns')
    rows = [json.dumps(dict(zip(names, span, strict=True))) for span in spans]
    path = tmp_path / 'spans.jsonl'
    path.write_text('\n'.join((*rows, '{"trace_')), encoding='utf-8')
    assert console.run('traces', f'--files={path}', '--trace=t1') == 0
    assert console.output.splitlines() == [
        't1  job  2 spans  4.000 ms',
        '  job  +0.000 ms  4.000 ms  []',
        '    place  +1.000 ms  1.500 ms  []',
    ]
    assert f'{path}:4: ' in console.errors
    assert console.run('traces', path, '--trace=t9') == 1


def _time_out_first_entry(request: httpx.Request) -> httpx.Response:
    if request.url.host == 'e1':
        raise httpx.ReadTimeout('timed out', request=request)
    return httpx.Response(200, json={'status': 'complete'})


def _target(request: httpx.Request) -> tuple[str, bytes, bytes]:
    return request.method, request.url.raw_path, request.content
