"""Check the commands for the configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest

if TYPE_CHECKING:
    from tests.console.conftest import Console

_OLD = """
[services.pane]
operations.cut = { idempotent = false, expected_ms = 400 }
"""
_NEW = _OLD.replace('400', '500')
_OTHER = _OLD.replace('400', '900')


class _Store:
    """Stand in for an entry and its store; `script` fails the next writes."""

    def __init__(self, *script: str) -> None:
        self.revision = 4
        self.text = _OLD
        self.token = 'first'
        self.script = list(script)
        self.writes = 0

    def __call__(self, request: httpx.Request) -> httpx.Response:
        if request.method == 'GET':
            return httpx.Response(200, json=self._current())
        self.writes += 1
        body = json.loads(request.content)
        step = self.script.pop(0) if self.script else 'write'
        if step == 'race':
            self._write({'text': _OTHER, 'token': 'other'})
        if step == 'late write':
            self._write(body)
        if step == 'unavailable':
            return httpx.Response(503, json={'reason': 'store-unavailable'})
        answer = self._swap(body)
        if step == 'lose answer':
            raise httpx.ReadTimeout('timed out', request=request)
        return answer

    def _swap(self, body: dict[str, Any]) -> httpx.Response:
        if body['expected_revision'] != self.revision:
            return httpx.Response(409, json=self._current())
        self._write(body)
        return httpx.Response(200, json={'revision': self.revision})

    def _write(self, body: dict[str, Any]) -> None:
        self.revision += 1
        self.text = body['text']
        self.token = body['token']

    def _current(self) -> dict[str, Any]:
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
    console.handler = _Store()
    assert console.run('config', 'diff', file) == 0
    assert 'revision 4' in console.output
    assert 'expected_ms: 400 -> 500' in console.output


@pytest.mark.parametrize(
    ('script', 'writes'),
    [
        ((), 1),
        (('lose answer',), 1),
        (('unavailable', 'unavailable'), 3),
        (('unavailable', 'late write'), 2),
    ],
)
def test_apply_writes_once(
    console: Console,
    file: Path,
    script: tuple[str, ...],
    writes: int,
) -> None:
    """Guard against a blind retry and a lost write reported as done."""
    store = _Store(*script)
    console.handler = store
    assert console.run('config', 'apply', file) == 0
    assert (store.revision, store.text, store.writes) == (5, _NEW, writes)
    assert 'revision 5' in console.output


@pytest.mark.parametrize('script', [('race',), ('unavailable', 'race')])
def test_lost_race_shows_the_other_change(
    console: Console,
    file: Path,
    script: tuple[str, ...],
) -> None:
    """Guard against overwriting the change of another operator."""
    store = _Store(*script)
    console.handler = store
    assert console.run('config', 'apply', file) == 4
    assert store.text == _OTHER
    assert 'mira' in console.output
    assert 'expected_ms: 400 -> 900' in console.output


def test_apply_against_an_older_diff_writes_nothing(
    console: Console,
    file: Path,
) -> None:
    """Guard against applying a text whose diff was never seen."""
    store = _Store()
    console.handler = store
    assert console.run('config', 'apply', file, '--revision', 3) == 4
    assert store.writes == 0


def test_unresolved_write_is_not_reported_as_done(
    console: Console,
    file: Path,
) -> None:
    """Guard against a claim without a readable write token."""
    store = _Store('lose answer')
    console.handler = lambda request: _without_token(store(request))
    assert console.run('config', 'apply', file) == 3
    assert store.writes == 1


def test_wait_names_processes_that_are_behind(console: Console) -> None:
    """Guard against a rollout that counts as done while an agent lags."""
    console.handler = lambda request: _status(
        request.url.host,
        len(console.requests),
    )
    assert console.run('config', 'wait', 5, '--timeout', 2) == 5
    assert console.output == 'agent a1: revision 4, not 5\n'
    assert console.run('config', 'wait', 5, '--timeout', 60) == 0
    hosts = {request.url.host for request in console.requests}
    assert hosts == {'e1', 'e2', '10.0.0.3'}


def _without_token(answer: httpx.Response) -> httpx.Response:
    body = answer.json()
    body.pop('token', '')
    return httpx.Response(answer.status_code, json=body)


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
