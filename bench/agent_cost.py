"""Measure CPU time per task and bytes per record of the agent reducer."""

from __future__ import annotations

import sys
import time
import tracemalloc
from typing import Final

from savoryrudder.agent import events
from savoryrudder.agent.reducer import reduce
from savoryrudder.agent.state import AgentState
from savoryrudder.agent.state import Identity
from savoryrudder.agent.state import Limits
from savoryrudder.agent.state import new_state
from savoryrudder.protocol import messages
from savoryrudder.utils.identifiers import PARTITION_COUNT
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.identifiers import submission_id

_RECORD_COUNTS: Final = (1_000, 10_000, 100_000)
_TASKS_PER_SAMPLE: Final = 200
_SAMPLE_COUNT: Final = 5
_ENTRIES: Final = ('e1', 'e2', 'e3')
_SLOTS: Final = 10
_RESULT: Final = bytes(200)
_NOW: Final = 100.0
_US_PER_S: Final = 1_000_000


def main() -> None:
    """Print one line for each number of records."""
    sys.stdout.write('records   us/task  bytes/record\n')
    for count in _RECORD_COUNTS:
        cpu_us = _measure_cpu(count)
        memory = _measure_memory(count)
        sys.stdout.write(f'{count:>7}  {cpu_us:>8.1f}  {memory:>12.0f}\n')


def _measure_cpu(count: int) -> float:
    """Return CPU microseconds per task: start, end and acknowledgement."""
    state = _new_agent()
    _run_tasks(state, 0, count - _SAMPLE_COUNT * _TASKS_PER_SAMPLE)
    fastest = min(
        _run_tasks(state, first, first + _TASKS_PER_SAMPLE)
        for first in range(
            count - _SAMPLE_COUNT * _TASKS_PER_SAMPLE, count, _TASKS_PER_SAMPLE
        )
    )
    return fastest * _US_PER_S / _TASKS_PER_SAMPLE


def _measure_memory(count: int) -> float:
    """Return bytes per acknowledged record, without its result."""
    state = _new_agent()
    tracemalloc.start()
    _run_tasks(state, 0, count)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (used_bytes - state.records.result_bytes) / count


def _new_agent() -> AgentState:
    """Return the state of an agent that is linked to all entries."""
    identity = Identity('a1', 'i1', 'pane', 'z1', _SLOTS, 512, ('cut',))
    limits = Limits(max_records=2 * _RECORD_COUNTS[-1])
    state = new_state(identity, limits)
    for entry in _ENTRIES:
        reduce(state, events.LinkUp(_NOW, entry, entry))
    claims = tuple((number, 1) for number in range(PARTITION_COUNT))
    _receive(state, messages.Claim(1, claims))
    return state


def _run_tasks(state: AgentState, first: int, last: int) -> float:
    """Start, end and acknowledge tasks; return the CPU seconds used."""
    cpu_s = float()
    for number in range(first, last):
        submission = submission_id('bench', str(number))
        # The events are built before the clock starts, as the codec builds
        # them in the daemon.
        task_events = _task_events(
            submission, _RESULT + number.to_bytes(4, 'big')
        )
        began = time.process_time()
        for event in task_events:
            reduce(state, event)
        cpu_s += time.process_time() - began
    return cpu_s


def _task_events(
    submission: bytes, content: bytes
) -> tuple[events.AgentEvent, ...]:
    key = (submission, 0)
    start = messages.Start(
        submission,
        0,
        partition_of(submission),
        1,
        'cut',
        b'{}',
        1000,
        False,
        '',
    )
    return (
        _message(start),
        events.UpstreamFinished(_NOW, key, 'complete', content, ''),
        _message(messages.Acknowledge((key,))),
    )


def _message(message: messages.Message) -> events.MessageReceived:
    return events.MessageReceived(_NOW, 'e1', 'e1', 0, message)


def _receive(state: AgentState, message: messages.Message) -> None:
    reduce(state, _message(message))


if __name__ == '__main__':
    main()
