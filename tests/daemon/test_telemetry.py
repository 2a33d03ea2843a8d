"""Test metrics, log lines and traces."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest

from savoryrudder.daemon import logs
from savoryrudder.daemon import metrics
from savoryrudder.daemon import tracing

if TYPE_CHECKING:
    from pathlib import Path

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
SAMPLED_FLAG = 1
UNSAMPLED = f'{PARENT[:-1]}0'


def test_counters_and_latencies_are_exported() -> None:
    """Guard against metrics that a scraper cannot parse."""
    counters = metrics.Counters()
    counters.count('starts', 3)
    counters.count('refused-key.expired')
    counters.observe('wait', 0.25)
    counters.observe('wait', -1)
    text = counters.export().decode()
    assert 'savoryrudder_starts_total 3.0' in text
    assert 'savoryrudder_refused_key_expired_total 1.0' in text
    assert 'savoryrudder_wait_seconds{quantile="0.999"} 0.25' in text
    assert 'savoryrudder_wait_seconds_count 2.0' in text


def test_log_event_writes_one_json_line(tmp_path: Path) -> None:
    """Guard against log lines that lose their fields."""
    path = tmp_path / 'log'
    with logs.log_to(os.devnull):
        # Drains the messages that eliot buffers until the first destination.
        logs.log_event('held-back', ())
    with logs.log_to(str(path)):
        logs.log_event('owner-changed', (('partition', '3'),))
    line = json.loads(path.read_text())
    assert (line['message_type'], line['partition']) == ('owner-changed', '3')


def test_spans_of_one_trace_are_linked(tmp_path: Path) -> None:
    """Guard against traces that break where a message crosses a link."""
    path = tmp_path / 'spans'
    tracer = tracing.Tracer(str(path), 1, {'service.name': 'entry'})
    job_span = tracer.start('job', PARENT)
    start_span = tracer.start('start', job_span.traceparent)
    start_span.set_attribute('task', 1)
    start_span.end()
    job_span.end()
    tracer.close()
    inner, outer = map(json.loads, path.read_text().splitlines())
    assert inner['parent_id'] == outer['span_id']
    assert outer['parent_id'] == PARENT.split('-')[2]
    assert inner['trace_id'] == PARENT.split('-')[1]
    assert inner['attributes'] == {'task': 1}


@pytest.mark.parametrize(('parent', 'ratio'), [(UNSAMPLED, 1), ('', 0)])
def test_unsampled_traces_are_not_written(
    tmp_path: Path,
    parent: str,
    ratio: int,
) -> None:
    """Guard against sampling a trace that the caller did not sample."""
    path = tmp_path / 'spans'
    tracer = tracing.Tracer(str(path), ratio, {})
    span = tracer.start('job', parent)
    span.end()
    tracer.close()
    flags = int(span.traceparent.split('-')[3], 16)
    assert not flags & SAMPLED_FLAG
    assert not path.read_text()
