"""Test the limits that the platform's settings and configuration hold."""

from __future__ import annotations

import json

import pytest

from savoryrudder.daemon.request_limits import DEFAULT_LIMITS
from savoryrudder.platform.configuration import decode_request_limits
from savoryrudder.platform.settings import parse_settings

SETTINGS = """
node_name=edge-1
zone=shah-alam
ip=10.1.0.13
platform.address=10.200.1.7:8169
"""


def _decode(limits: object) -> object:
    content = json.dumps({'version': 1, 'routes': [], 'limits': limits})
    return decode_request_limits(content).default_value(None)


def test_limits_of_a_machine_are_parsed() -> None:
    """Guards against a process that outgrows its machine."""
    limits = 'limits.memory_mb=300\nlimits.max_fds=4100\n'
    settings = parse_settings(f'{SETTINGS}{limits}').ok
    assert settings.memory_mb == 300
    assert settings.max_sockets == 3900


def test_a_machine_may_name_no_limits() -> None:
    """Guards against a process that does not start without them."""
    settings = parse_settings(SETTINGS).ok
    assert settings.memory_mb == 0
    assert settings.max_sockets == 0


@pytest.mark.parametrize(
    'limits',
    [
        {},
        {
            'max_header_bytes': 16_384,
            'max_body_bytes': 262_144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    ],
)
def test_usual_limits_are_the_default_ones(limits: object) -> None:
    """Guards against a default that a client within the limits meets."""
    assert _decode(limits) == DEFAULT_LIMITS
    content = json.dumps({'version': 1, 'routes': []})
    assert decode_request_limits(content).ok == DEFAULT_LIMITS


def test_configured_limits_replace_the_default_ones() -> None:
    """Guards against refusing what a deployment allows."""
    limits = decode_request_limits(
        json.dumps(
            {
                'limits': {
                    'max_header_bytes': 65_536,
                    'max_body_bytes': 1_000_000,
                    'header_timeout_ms': 20_000,
                },
            },
        ),
    ).ok
    assert limits.max_head_bytes > 65_536
    assert limits.max_headers >= 65_536 // 4
    assert limits.max_body_bytes == 1_000_000
    assert limits.head_s > 20


@pytest.mark.parametrize('limits', [None, [], {'max_body_bytes': -1}])
def test_limits_that_cannot_be_decoded_are_refused(limits: object) -> None:
    """Guards against an odd limit that takes a process down."""
    content = json.dumps({'limits': limits})
    assert decode_request_limits(content).is_error()
