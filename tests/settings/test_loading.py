"""Test the loading of the daemons' settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from savoryrudder.settings.loading import load_agent_settings
from savoryrudder.settings.loading import load_entry_settings

_ENTRY_TOML = """
entry = 'e1'
zone = 'Vič'
http_address = '127.0.0.1:0'
link_address = '[::1]:7000'
store_url = 'http://127.0.0.1:9000'
"""


@pytest.fixture(name='entry_file')
def _entry_file(tmp_path: Path) -> Path:
    path = tmp_path / 'entry.toml'
    path.write_text(_ENTRY_TOML, encoding='utf-8')
    return path


def test_environment_replaces_the_file(entry_file: Path) -> None:
    """Guard against overrides that stay strings, and lost defaults."""
    environment = {
        'SAVORYRUDDERD_PEERS': '127.0.0.1:1, 127.0.0.1:2',
        'SAVORYRUDDERD_SEED': '7',
        'SAVORYRUDDERD_TRACE_RATIO': '0.5',
        'SAVORYRUDDERD_LINK_PORTS': '7100-7102',
        'SAVORYRUDDERD_SLOTS': '3',
    }
    settings = load_entry_settings(str(entry_file), environment).ok
    assert settings.peers == ['127.0.0.1:1', '127.0.0.1:2']
    assert settings.seed == 7
    assert settings.trace_ratio == pytest.approx(0.5)
    assert settings.session_ports() == range(7100, 7103)
    assert settings.stop_timeout_s == pytest.approx(30)


def test_all_findings_name_line_or_variable(entry_file: Path) -> None:
    """Guard against findings from only the file or only the environment."""
    text = _ENTRY_TOML.replace('[::1]:7000', 'localhost:7000')
    text = f"{text}tls_key = 'k'\nlink_ports = '9-1'\npeers = ['1.1.1.1:0']"
    entry_file.write_text(text, encoding='utf-8')
    environment = {
        'SAVORYRUDDERD_SEED': 'x',
        'SAVORYRUDDERD_ENTRY': 'http://127.0.0.1:80',
        'SAVORYRUDDERD_SLOTZ': '1',
    }
    findings = load_entry_settings(str(entry_file), environment).error
    assert [(finding.line, finding.key) for finding in findings] == [
        (1, 'SAVORYRUDDERD_ENTRY'),
        (1, 'SAVORYRUDDERD_SEED'),
        (1, 'SAVORYRUDDERD_SLOTZ'),
        (5, 'link_address'),
        (7, 'tls_key'),
        (8, 'link_ports'),
        (9, 'peers.0'),
    ]


def test_agent_settings_report_missing_keys(tmp_path: Path) -> None:
    """Guard against an agent that starts without required settings."""
    path = tmp_path / 'agent.toml'
    path.write_text("agent = 'a1'\nentries = []", encoding='utf-8')
    keys = {finding.key for finding in load_agent_settings(str(path), {}).error}
    assert keys >= {'entries', 'upstream_url', 'operations', 'slots'}
    assert 'agent' not in keys


def test_unreadable_file_is_a_finding(tmp_path: Path) -> None:
    """Guard against a traceback for a missing or binary file."""
    path = tmp_path / 'binary.toml'
    path.write_bytes(b'a = 1\nb = "\xff"')
    missing = load_entry_settings(str(tmp_path / 'none.toml'), {}).error
    assert 'cannot read' in missing[0].message
    assert load_entry_settings(str(path), {}).error[0].line == 2
