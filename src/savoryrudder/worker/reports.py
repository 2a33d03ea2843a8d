"""Report the executor's free capacity to entries.

Each start and each end of a run changes the free capacity. The owner of the
run knows of both without a report, so the changes are batched: the reports of
an agent must not multiply its starts by the number of its entries. Only an
executor that becomes nearly full is reported at once, as other entries would
send it tasks that do not fit; while it is, entries wait for what becomes free.
A report joins a message that is sent anyway, as messages of one turn share a
frame. The shares of the entries change with each start, and go with reports
that are due for another reason, unless they have changed a lot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.jobs.model import NO_RESOURCES
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker import shares
from savoryrudder.worker import speed
from savoryrudder.worker.state import SentReport

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.jobs.model import Resources
    from savoryrudder.worker.events import ExecutorHeartbeat
    from savoryrudder.worker.state import EntryLink
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn

# An executor is nearly full below this share of free processors.
_NEARLY_FULL_SHARE: Final = 0.25
_BATCHING_DELAY_S: Final = 0.5
_NEARLY_FULL_DELAY_S: Final = 0.2
# An entry without runs here chooses among others first, most of the time.
_UNUSED_LINK_DELAY_S: Final = 1
_JOINING_DELAY_S: Final = 0.1
# A share that has changed by this part of the capacity is told by itself.
_MIN_SHARE_CHANGE: Final = 0.25
# A change of the speed joins reports of free capacity. One of this factor is
# told without, so that entries try an idle executor that was slow.
_SLOWNESS_CHANGE: Final = 1.25


def is_nearly_full(state: WorkerState) -> bool:
    """Return whether the executor is nearly full."""
    if state.heartbeat is None:
        return False
    return state.free.cpu < _nearly_full_cpu(state.heartbeat)


def due_times(state: WorkerState) -> Iterator[float]:
    """Yield when each report that waits to be batched is due."""
    if state.heartbeat is None:
        return
    free = _free_for_tasks(state)
    nearly_full_cpu = _nearly_full_cpu(state.heartbeat)
    for link in state.links.values():
        previous = link.last_report
        if link.incarnation and previous and previous.free != free:
            yield previous.sent_at + _batching_delay_s(
                link,
                previous,
                nearly_full_cpu,
            )


def send_reports(state: WorkerState, turn: Turn) -> None:
    """Send a report to each linked entry for which one is due."""
    heartbeat = state.heartbeat
    if heartbeat is None:
        return
    current = SentReport(
        _free_for_tasks(state),
        state.accepting,
        state.health.on_trial,
        heartbeat.executor,
        sum(1 for link in state.links.values() if link.incarnation),
        heartbeat.cold,
        state.evacuated,
        state.evacuation.revision,
        share_cpu=0,
        slowness=speed.current_slowness(state, turn.now),
        sent_at=turn.now,
    )
    capacity_cpu = heartbeat.capacity.cpu
    share_by_link = _shares(state, turn.now, capacity_cpu)
    addressed = {
        effect.peer for effect in turn.effects if isinstance(effect, Send)
    }
    for name, link in state.links.items():
        if not link.incarnation:
            continue
        sent = current._replace(share_cpu=share_by_link.get(name, 0))
        if link.retired_at is not None:
            sent = sent._replace(accepting=False)
        is_joining = name in addressed
        if not _is_due(link, sent, capacity_cpu, is_joining=is_joining):
            continue
        link.last_report = sent
        turn.send(name, _describe(heartbeat, sent, link.starts_seen))


def _free_for_tasks(state: WorkerState) -> Resources:
    # An executor on trial takes one task at a time.
    if state.health.on_trial and state.runs:
        return NO_RESOURCES
    return state.free


def _shares(
    state: WorkerState,
    now: float,
    capacity_cpu: int,
) -> dict[str, int]:
    return shares.share_by_need(
        capacity_cpu,
        {
            name: link.recent_work.at(now)
            for name, link in state.links.items()
            if link.shares_executor
        },
    )


def _describe(
    heartbeat: ExecutorHeartbeat,
    sent: SentReport,
    starts_seen: int,
) -> work.ExecutorReport:
    return work.ExecutorReport(
        heartbeat.executor,
        heartbeat.service,
        heartbeat.labels,
        heartbeat.capacity,
        sent.free,
        sent.accepting,
        starts_seen,
        sent.on_trial,
        sent.entries,
        sent.cold,
        sent.evacuated,
        sent.zones_revision,
        sent.share_cpu,
        sent.slowness,
    )


def report_departure(state: WorkerState, turn: Turn) -> None:
    """Tell the entries that the executor takes no tasks any more.

    Without this report they would send it tasks until the next one reports.
    """
    heartbeat = state.heartbeat
    if heartbeat is None:
        return
    for name, link in state.links.items():
        if not link.last_report:
            continue
        departure = link.last_report._replace(
            free=NO_RESOURCES,
            accepting=False,
        )
        link.last_report = None
        turn.send(name, _describe(heartbeat, departure, link.starts_seen))


def _is_due(
    link: EntryLink,
    current: SentReport,
    capacity_cpu: int,
    *,
    is_joining: bool,
) -> bool:
    previous = link.last_report
    if previous is None or previous.executor != current.executor:
        return True
    if _conditions_of(previous) != _conditions_of(current):
        return True
    elapsed_s = current.sent_at - previous.sent_at
    if (previous.free, previous.entries) == (current.free, current.entries):
        return _has_other_speed(previous, current) or (
            _has_other_share(previous, current, capacity_cpu)
            and elapsed_s >= _BATCHING_DELAY_S
        )
    nearly_full_cpu = capacity_cpu * _NEARLY_FULL_SHARE
    if current.free.cpu < nearly_full_cpu <= previous.free.cpu:
        return True
    delay_s = (
        _JOINING_DELAY_S
        if is_joining
        else _batching_delay_s(link, previous, nearly_full_cpu)
    )
    return elapsed_s >= delay_s


def _conditions_of(report: SentReport) -> tuple[bool, ...]:
    # Entries are told a change of these at once.
    return report.accepting, report.on_trial, report.cold, report.evacuated


def _has_other_share(
    previous: SentReport,
    current: SentReport,
    capacity_cpu: int,
) -> bool:
    change = abs(current.share_cpu - previous.share_cpu)
    return change > _MIN_SHARE_CHANGE * capacity_cpu


def _has_other_speed(previous: SentReport, current: SentReport) -> bool:
    lower, upper = sorted((previous.slowness, current.slowness))
    return upper >= lower * _SLOWNESS_CHANGE


def _nearly_full_cpu(heartbeat: ExecutorHeartbeat) -> float:
    return heartbeat.capacity.cpu * _NEARLY_FULL_SHARE


def _batching_delay_s(
    link: EntryLink,
    previous: SentReport,
    nearly_full_cpu: float,
) -> float:
    if previous.free.cpu < nearly_full_cpu:
        return _NEARLY_FULL_DELAY_S
    return _BATCHING_DELAY_S if link.carries_work else _UNUSED_LINK_DELAY_S
