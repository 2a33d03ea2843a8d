"""Test the decoding of jobs and configurations, and encoded answers."""

from __future__ import annotations

from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.dispatch import answers
from savoryrudder.platform.configuration import decode_configuration
from savoryrudder.platform.job_bodies import decode_job
from savoryrudder.platform.job_bodies import encode_answer

JOB = MappingProxyType(
    {
        'spec': 'text',
        'best_effort': True,
        'steps': [
            {'count': 2, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 900},
            {'count': 1, 'cpu': 700, 'after': [0], 'data_rack': 'r1'},
        ],
    }
)
CONFIGURATION = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'a.example',
                'prefix': '/p/',
                'service': 's',
                'priority': 1,
                'attempts': 4,
                'stretch': 1.6,
                'target_duration_ms': 60,
            },
            {
                'name': 'r-2',
                'host': 'a.example',
                'prefix': '/p/q/',
                'service': 's',
            },
        ],
        'services': [{'name': 's'}],
    }
)


def _encode_job(**fields: object) -> bytes:
    return msgspec.json.encode({**JOB, **fields})


def test_a_job_is_decoded_into_steps() -> None:
    """Guards against reading a step's settings from the wrong field."""
    decoded = decode_job('0123456789abcdef', msgspec.json.encode(dict(JOB))).ok
    first, second = decoded.request.steps
    assert first.tasks == 2
    assert first.demand.memory == 256
    assert second.after == (0,)
    assert second.data_rack == 'r1'
    assert not decoded.unsupported


@pytest.mark.parametrize(
    ('fields', 'detail'),
    [
        ({'steps': []}, 'steps'),
        ({'steps': [{'count': 0}]}, 'count'),
        ({'steps': [{'count': 1, 'after': [0]}]}, 'after'),
        ({'steps': [{'count': 1, 'cpu': -1}]}, '$.steps[0].cpu'),
        ({'spec': 7}, 'spec'),
    ],
)
def test_the_error_of_a_malformed_job_names_the_field(
    fields: dict[str, object],
    detail: str,
) -> None:
    """Guards against accepting a job that can never run."""
    assert detail in decode_job('0123456789abcdef', _encode_job(**fields)).error


@pytest.mark.parametrize(
    'fields',
    [
        {'best_effort': False},
        {'repeats': 2},
        {'long_running': True},
        {'steps': [{'count': 1, 'gang': True}]},
        {'steps': [{'count': 1, 'fills': True}]},
    ],
)
def test_unsupported_features_are_reported(fields: dict[str, object]) -> None:
    """Guards against running a job without a feature that it requests."""
    assert decode_job('0123456789abcdef', _encode_job(**fields)).ok.unsupported


@given(st.binary(max_size=300))
def test_malformed_bytes_are_decoding_errors(content: bytes) -> None:
    """Guards against a crash on bytes that are not JSON."""
    assert decode_job('0123456789abcdef', content).is_error()
    text = content.decode('latin-1')
    assert decode_configuration(text).is_error()


def test_the_longest_prefix_selects_the_queue() -> None:
    """Guards against selecting the queue of a shorter prefix."""
    text = msgspec.json.encode(dict(CONFIGURATION)).decode()
    configuration = decode_configuration(text).ok
    queue = configuration.find_queue('a.example', '/p/q/id')
    assert queue is not None
    assert queue.name == 'r-2'
    assert configuration.find_queue('b.example', '/p/id') is None


@pytest.mark.parametrize(
    ('verdict', 'status'),
    [
        (answers.COMPLETED, 200),
        (answers.FAILED, 200),
        (answers.OVERLOADED, 429),
        (answers.UNAVAILABLE, 503),
        (answers.UNKNOWN_QUEUE, 404),
        (answers.UNKNOWN_JOB, 410),
        (answers.SUPERSEDED, 502),
        (answers.INTERRUPTED, 502),
    ],
)
def test_verdicts_map_to_http_statuses(
    verdict: str,
    status: int,
) -> None:
    """Guards against the status of a refusal for a job that has started."""
    assert encode_answer(answers.Answer(verdict)).status == status
