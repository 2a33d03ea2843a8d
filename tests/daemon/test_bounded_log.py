"""Check that log lines are bounded and never block."""

from __future__ import annotations

import os

import msgspec

from savoryrudder.daemon.logs import BoundedLog

PIPE_BYTES = 65_536


def test_a_reader_that_stopped_does_not_block_the_process() -> None:
    """Guards against a process that stands still with its log."""
    reading, writing = os.pipe()
    log = BoundedLog(writing, lambda: float(0))
    text = 'x' * 1000
    for _ in range(200):
        log({'message_type': text})
    assert log.dropped > 0
    os.read(reading, PIPE_BYTES)
    log({'message_type': 'after'})
    assert log.dropped == 0
    last = os.read(reading, PIPE_BYTES).splitlines()[-1]
    assert msgspec.json.decode(last)['dropped'] > 0
    os.close(reading)
    log({'message_type': 'lost'})
    assert log.dropped == 1
    os.close(writing)


def test_lines_beyond_the_bound_are_counted() -> None:
    """Guards against a flood of lines under load."""
    reading, writing = os.pipe()
    now = [float(0)]
    log = BoundedLog(writing, lambda: now[0])
    for _ in range(2100):
        log({'a': 1})
        if log.dropped == 0:
            os.read(reading, PIPE_BYTES)
    assert log.dropped == 100
    now[0] = 1
    log({'a': 2})
    line = msgspec.json.decode(os.read(reading, PIPE_BYTES))
    assert line == {'a': 2, 'dropped': 100}
    os.close(reading)
    os.close(writing)
