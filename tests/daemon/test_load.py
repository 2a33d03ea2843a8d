"""Test the log lines about the load of a process."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import anyio
import trio
from trio.testing import MockClock

from savoryrudder.daemon.load import BusyShare
from savoryrudder.daemon.load import LoadReporter
from savoryrudder.daemon.metrics import Counters

_Line: TypeAlias = dict[str, str]
_Replay: TypeAlias = Callable[[Counters, LoadReporter], Awaitable[_Line]]


def _run(replay: _Replay) -> _Line:
    counters = Counters()
    return anyio.run(
        replay,
        counters,
        LoadReporter(counters),
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


async def _replay_messages(
    counters: Counters,
    reporter: LoadReporter,
) -> _Line:
    counters.count('sent_StartTask', 7)
    reporter.begin()
    await anyio.sleep(4)
    reporter.record_delay(0.25)
    counters.count('received_ExecutorReport', 100)
    counters.count('sent_StartTask', 8)
    return dict(reporter.report())


async def _replay_a_stall(
    counters: Counters,
    reporter: LoadReporter,
) -> _Line:
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    reporter.begin()
    reporter.waiting.before_io_wait(3)
    clock.jump(3)
    reporter.waiting.after_io_wait(3)
    # Time that passes while the event loop does not wait is work.
    clock.jump(1)
    return dict(reporter.report())


async def _replay_a_past_peak(
    counters: Counters,
    reporter: LoadReporter,
) -> _Line:
    reporter.begin()
    counters.count('event_Tick', 40)
    reporter.record_delay(2)
    await anyio.sleep(1)
    reporter.report()
    await anyio.sleep(1)
    return dict(reporter.report())


def test_load_lines_tell_the_rate_of_each_kind_of_message() -> None:
    """Guard against an overload whose messages no log line names."""
    fields = _run(_replay_messages)
    assert fields['received_ExecutorReport_per_s'] == '25.0'
    assert fields['sent_StartTask_per_s'] == '2.0'
    assert fields['loop_delay_ms'] == '250'
    assert 'cpu_share' in fields


def test_each_load_line_covers_its_own_interval() -> None:
    """Guard against a peak that is reported again after it has passed."""
    fields = _run(_replay_a_past_peak)
    assert 'event_Tick_per_s' not in fields
    assert fields['loop_delay_ms'] == '0'


def test_load_lines_tell_work_from_waiting() -> None:
    """Guard against an overloaded process that looks like an idle one."""
    assert _run(_replay_a_stall)['busy_share'] == '0.250'


async def _replay_half_busy(
    counters: Counters,
    reporter: LoadReporter,
) -> _Line:
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    busy = BusyShare(reporter.waiting)
    assert busy.measure_if_due(anyio.current_time()) is None
    reporter.waiting.before_io_wait(1)
    clock.jump(1)
    reporter.waiting.after_io_wait(1)
    clock.jump(1)
    measured = busy.measure_if_due(anyio.current_time())
    clock.jump(1)
    later = busy.measure_if_due(anyio.current_time())
    return {'measured': str(measured), 'later': str(later)}


def test_the_busy_share_covers_its_own_interval() -> None:
    """Guard against jobs that are handed on for a load that has passed."""
    shares = _run(_replay_half_busy)
    assert shares['measured'] == '0.5'
    assert shares['later'] == '1.0'
