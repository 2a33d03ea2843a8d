"""Test the commands for the configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest

if TYPE_CHECKING:
    from tests.console.conftest import Console

_BASE = """
[services.pane]
operations.cut = { idempotent = false, expected_ms = 400 }
"""
_NEW = _BASE.replace('400', '500')
_OTHER = _BASE.replace('400', '900')


class _FakeEntry:
    """Simulate an entry and its store; each write takes the next fault."""

    def __init__(self, *faults: str) -> None:
        self.revision = 4
        self.text = _BASE
        self.token = 'first'
        self.faults = list(faults)
        self.writes = 0

    def __call__(self, request: httpx.Request) -> httpx.Response:
        if request.method == 'GET':
            return httpx.Response(200, json=self._current_configuration())
        self.writes += 1
        body = json.loads(request.content)
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault == 'race':
            self._write({'text': _OTHER, 'token': 'other'})
        if fault == 'late write':
            self._write(body)
        if fault == 'unavailable':
            return httpx.Response(503, json={'reason': 'store-unavailable'})
        response = self._compare_and_swap(body)
        if fault == 'lose response':
            raise httpx.ReadTimeout('timed out', request=request)
        return response

    def _compare_and_swap(self, body: dict[str, Any]) -> httpx.Response:
        if body['expected_revision'] != self.revision:
            return httpx.Response(409, json=self._current_configuration())
        self._write(body)
        return httpx.Response(200, json={'revision': self.revision})

    def _write(self, body: dict[str, Any]) -> None:
        self.revision += 1
        self.text = body['text']
        self.token = body['token']

    def _current_configuration(self) -> dict[str, Any]:
        return {
            'revision': self.revision,
            'author': 'mira',
            'text': self.text,
            'token': self.token,
        }


@pytest.fixture(name='file')
def _file(tmp_path: Path) -> Path:
    path = tmp_path / 'config.toml'
    path.write_text(_NEW, encoding='utf-8')
    return path


def test_findings_name_file_line_and_key(console: Console, file: Path) -> None:
    """Guard against findings that an editor cannot jump to."""
    assert console.run('config', 'check', '--json', file) == 0
    file.write_text(_NEW.replace('500', '0'), encoding='utf-8')
    assert console.run('config', 'check', file) == 1
    assert console.output.startswith(
        f'{file}:3:40: services.pane.operations.cut.expected_ms: ',
    )


def test_diff_shows_base_revision_and_values(
    console: Console,
    file: Path,
) -> None:
    """Guard against a diff without the revision that apply needs."""
    console.handler = _FakeEntry()
    assert console.run('config', 'diff', file) == 0
    assert 'revision 4' in console.output
    assert 'expected_ms: 400 -> 500' in console.output


@pytest.mark.parametrize(
    ('faults', 'writes'),
    [
        ((), 1),
        (('lose response',), 1),
        (('unavailable', 'unavailable'), 3),
        (('unavailable', 'late write'), 2),
    ],
)
def test_apply_writes_once(
    console: Console,
    file: Path,
    faults: tuple[str, ...],
    writes: int,
) -> None:
    """Guard against writing twice and against reporting a lost write as done.

    After a lost response or a 503 the write may have taken effect, may take
    effect later, or not at all.
    """
    entry = _FakeEntry(*faults)
    console.handler = entry
    assert console.run('config', 'apply', file) == 0
    assert (entry.revision, entry.text, entry.writes) == (5, _NEW, writes)
    assert 'revision 5' in console.output


@pytest.mark.parametrize('faults', [('race',), ('unavailable', 'race')])
def test_lost_race_shows_the_other_change(
    console: Console,
    file: Path,
    faults: tuple[str, ...],
) -> None:
    """Guard against overwriting the change of another operator."""
    entry = _FakeEntry(*faults)
    console.handler = entry
    assert console.run('config', 'apply', file) == 4
    assert entry.text == _OTHER
    assert 'mira' in console.output
    assert 'expected_ms: 400 -> 900' in console.output


def test_apply_against_an_older_diff_writes_nothing(
    console: Console,
    file: Path,
) -> None:
    """Guard against a write over a revision newer than the diffed one."""
    entry = _FakeEntry()
    console.handler = entry
    assert console.run('config', 'apply', file, '--revision', 3) == 4
    assert entry.writes == 0


def test_unresolved_write_is_not_reported_as_done(
    console: Console,
    file: Path,
) -> None:
    """Guard against reporting success when no write token is read back."""
    entry = _FakeEntry('lose response')
    console.handler = lambda request: _without_token(entry(request))
    assert console.run('config', 'apply', file) == 3
    assert entry.writes == 1


def test_wait_names_processes_that_are_behind(console: Console) -> None:
    """Guard against a wait that ends while an agent lags behind."""
    console.handler = lambda request: _status(
        request.url.host,
        len(console.requests),
    )
    assert console.run('config', 'wait', 5, '--timeout', 2) == 5
    assert console.output == 'agent a1: revision 4, not 5\n'
    assert console.run('config', 'wait', 5, '--timeout', 60) == 0
    hosts = {request.url.host for request in console.requests}
    assert hosts == {'e1', 'e2', '10.0.0.3'}


def _without_token(response: httpx.Response) -> httpx.Response:
    body = response.json()
    body.pop('token', '')
    return httpx.Response(response.status_code, json=body)


def _status(host: str, poll: int) -> httpx.Response:
    body = {
        'entry': host,
        'revision': 5,
        'live_entries': [
            {'entry': 'e3', 'address': '10.0.0.3:80', 'revision': 5},
        ],
        'agents': [{'agent': 'a1', 'revision': 5 if poll > 40 else 4}],
    }
    if host == '10.0.0.3':
        return httpx.Response(404, json={})
    return httpx.Response(200, json=body)
