"""Log how much work a process does, and of which kind.

A line every few seconds tells an overloaded process from an idle one, and
which messages its processor time goes to.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import anyio
import trio

from savoryrudder.daemon.logs import log_event
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savoryrudder.daemon.metrics import Counters

RECEIVED_PREFIX: Final = 'received_'
SENT_PREFIX: Final = 'sent_'
EVENT_PREFIX: Final = 'event_'
CALL_PREFIX: Final = 'call_'

_INTERVAL_S: Final = 2
_BUSY_INTERVAL_S: Final = 0.45
_REPORTED_PREFIXES: Final = (
    RECEIVED_PREFIX,
    SENT_PREFIX,
    EVENT_PREFIX,
    CALL_PREFIX,
)
_MAX_NAMES: Final = 10


class _Sample(NamedTuple):
    """Hold the clocks (seconds) and counters of a process at one moment."""

    at: float
    cpu_s: float
    waited_s: float
    counts: Mapping[str, int]


class WaitingTime(trio.abc.Instrument):
    """Measure how long the event loop has waited for something to do."""

    def __init__(self) -> None:
        self.total_s = float(0)
        self._since: float | None = None
        self._read_clock = trio.current_time

    def read_clock(self, clock: trio.abc.Clock) -> None:
        """Read a clock directly, as the event loop waits very often."""
        self._read_clock = clock.current_time

    def before_io_wait(self, timeout: float) -> None:
        """Note when the event loop begins to wait."""
        self._since = self._read_clock()

    def after_io_wait(self, timeout: float) -> None:
        """Add the time since the event loop began to wait."""
        if self._since is not None:
            self.total_s += self._read_clock() - self._since
        self._since = None


class BusyShare:
    """Measure at intervals how busy the event loop is."""

    def __init__(self, waiting: WaitingTime) -> None:
        """Measure by the time that the event loop has waited."""
        self._waiting = waiting
        self._measured_at = anyio.current_time()
        self._waited_s = waiting.total_s

    def measure_if_due(self, now: float) -> float | None:
        """Return the share of time without waiting since the last time.

        None is returned until the interval has passed.
        """
        elapsed_s = now - self._measured_at
        if elapsed_s < _BUSY_INTERVAL_S:
            return None
        waited_s = self._waiting.total_s - self._waited_s
        self._measured_at = now
        self._waited_s = self._waiting.total_s
        return min(max(1 - waited_s / elapsed_s, 0), 1)


class LoadReporter:
    """Log the load of a process at regular intervals."""

    def __init__(self, counters: Counters) -> None:
        """Report the counters of one process."""
        self._counters = counters
        self._max_delay_s = float(0)
        self.waiting = WaitingTime()
        self._last = _Sample(0, 0, 0, {})

    def record_delay(self, delay_s: float) -> None:
        """Record by how much the event loop was late for a tick."""
        self._max_delay_s = max(self._max_delay_s, delay_s)

    async def run(self) -> None:
        """Log until cancelled."""
        self.begin()
        while True:
            await anyio.sleep(_INTERVAL_S)
            log_event('load', self.report())

    def begin(self) -> None:
        """Start the first interval, in the event loop to be observed."""
        self.waiting.read_clock(trio.lowlevel.current_clock())
        trio.lowlevel.add_instrument(self.waiting)
        self._last = self._sample()

    def report(self) -> tuple[tuple[str, str], ...]:
        """Return the fields of the next line and start a new interval."""
        previous = self._last
        current = self._sample()
        elapsed_s = max(current.at - previous.at, 1 / MS_PER_S)
        cpu_share = (current.cpu_s - previous.cpu_s) / elapsed_s
        waiting_share = (current.waited_s - previous.waited_s) / elapsed_s
        max_delay_ms = int(self._max_delay_s * MS_PER_S)
        self._last = current
        self._max_delay_s = 0
        return (
            ('interval_s', f'{elapsed_s:.2f}'),
            ('cpu_share', f'{cpu_share:.3f}'),
            ('busy_share', f'{1 - waiting_share:.3f}'),
            ('loop_delay_ms', str(max_delay_ms)),
            *_rates(previous, current, elapsed_s),
        )

    def _sample(self) -> _Sample:
        counts = {
            name: count
            for name, count in self._counters.counts.items()
            if name.startswith(_REPORTED_PREFIXES)
        }
        return _Sample(
            anyio.current_time(),
            time.process_time(),
            self.waiting.total_s,
            counts,
        )


def _rates(
    previous: _Sample,
    current: _Sample,
    elapsed_s: float,
) -> list[tuple[str, str]]:
    increases = {
        name: count - previous.counts.get(name, 0)
        for name, count in current.counts.items()
    }
    most_frequent = sorted(
        (name for name, increase in increases.items() if increase),
        key=lambda name: (-increases[name], name),
    )
    return [
        (f'{name}_per_s', f'{increases[name] / elapsed_s:.1f}')
        for name in most_frequent[:_MAX_NAMES]
    ]
