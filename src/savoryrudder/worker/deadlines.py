"""Tell when an agent has something to do without another event.

Ticks without work cost a process more than its messages while it is idle, so
the next tick comes when something is due.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.utils.ticks import IDLE_TICK_S
from savoryrudder.utils.ticks import TICK_S
from savoryrudder.utils.ticks import align_tick
from savoryrudder.worker import departures
from savoryrudder.worker import instances
from savoryrudder.worker import orphans
from savoryrudder.worker import renewal
from savoryrudder.worker import reports

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.worker.state import WorkerState

# Starts that were sent before the entry heard of the retirement arrive within
# this time.
RETIREMENT_GRACE_S: Final = 0.5


def next_tick_at(state: WorkerState, now: float) -> float:
    """Return the time of the next tick, unless an event changes the state.

    Renewals of the lease are sent on time, anything else within `TICK_S`.
    """
    tick_at = align_tick(min(_due_times(state, now)), now)
    return min(tick_at, max(renewal.next_renewal_at(state), now))


def _due_times(state: WorkerState, now: float) -> Iterator[float]:
    yield now + IDLE_TICK_S
    if state.draining:
        yield now + TICK_S
    yield instances.next_probe_at(state)
    yield state.stop_calls.next_retry_at
    if state.health.suspended:
        yield state.health.suspended_until
    if state.lease.silent_since is not None and state.runs:
        yield state.lease.expires_at
    yield from chain(
        _link_times(state),
        departures.due_times(state),
        orphans.due_times(state),
        reports.due_times(state),
    )


def _link_times(state: WorkerState) -> Iterator[float]:
    for link in state.links.values():
        if link.retired_at is not None:
            yield link.retired_at + RETIREMENT_GRACE_S
