"""Test that the log is bounded and never blocks."""

from __future__ import annotations

import os

import msgspec
import pytest

from savoryrudder.daemon.logs import STANDARD_OUTPUT
from savoryrudder.daemon.logs import BoundedLog
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.logs import log_to

PIPE_BYTES = 65_536


def test_stalled_reader_does_not_block_the_writer() -> None:
    """Guard against a process that blocks on a full log pipe."""
    read_fd, write_fd = os.pipe()
    log = BoundedLog(write_fd, lambda: float(0))
    text = 'x' * 1000
    for _ in range(200):
        log({'message_type': text})
    assert log.dropped > 0
    os.read(read_fd, PIPE_BYTES)
    log({'message_type': 'after'})
    assert log.dropped == 0
    last = os.read(read_fd, PIPE_BYTES).splitlines()[-1]
    assert msgspec.json.decode(last)['dropped'] > 0
    os.close(read_fd)
    log({'message_type': 'lost'})
    assert log.dropped == 1
    os.close(write_fd)


def test_lines_beyond_the_rate_limit_are_counted() -> None:
    """Guard against a flood of log lines under load."""
    read_fd, write_fd = os.pipe()
    now = [float(0)]
    log = BoundedLog(write_fd, lambda: now[0])
    for _ in range(2100):
        log({'a': 1})
        if log.dropped == 0:
            os.read(read_fd, PIPE_BYTES)
    assert log.dropped == 100
    now[0] = 1
    log({'a': 2})
    line = msgspec.json.decode(os.read(read_fd, PIPE_BYTES))
    assert line == {'a': 2, 'dropped': 100}
    os.close(read_fd)
    os.close(write_fd)


def test_standard_output_gets_a_json_line_for_each_event(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guard against events that are lost without a library for logs."""
    with log_to(STANDARD_OUTPUT):
        log_event('start', (('name', 'entry-1'),))
    line = msgspec.json.decode(capfd.readouterr().out)
    assert line.pop('timestamp') > 0
    assert line == {'message_type': 'start', 'name': 'entry-1'}
