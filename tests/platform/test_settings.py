"""Test the parsing of the platform's settings file."""

from __future__ import annotations

from savoryrudder.platform.settings import parse_settings

SETTINGS = """
node_name=edge-1
zone=shah-alam
ip=10.1.0.13
listen.front=10.1.0.13:8161
listen.ready=10.1.0.13:8167
port_range=7720,7735
bounds.hold_max_ms=1000
bounds.grace_s=6
bounds.contact_ms=4000
platform.address=10.200.1.7:8169
a.field.to.come=1
"""


def test_settings_of_an_edge_machine_are_parsed() -> None:
    """Guards against reading a setting from the wrong field."""
    settings = parse_settings(SETTINGS).ok
    assert settings.link_address == '10.1.0.13:7720'
    assert settings.callers == '10.1.0.13:8161'
    assert settings.readiness == '10.1.0.13:8167'
    assert settings.heartbeats == ''
    assert settings.lease_s == 1
    assert settings.news_limit_s == 4


def test_all_missing_settings_are_reported() -> None:
    """Guards against starting with incomplete settings."""
    error = parse_settings('zone=a\n').error
    assert 'node_name' in error
    assert 'platform.address' in error


def test_a_bound_that_is_not_a_number_is_an_error() -> None:
    """Guards against a crash on a malformed bound."""
    malformed = SETTINGS.replace('grace_s=6', 'grace_s=soon')
    assert 'not a number' in parse_settings(malformed).error
