"""Test how the processors of an executor are shared among entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.protocol import work
from savoryrudder.worker import events
from savoryrudder.worker.shares import RecentWork
from savoryrudder.worker.shares import share_by_need

if TYPE_CHECKING:
    from collections.abc import Callable

    from worker_driver import WorkerDriver

CAPACITY_CPU = 8000
LINK = 'l1'
OTHER_LINK = 'l2'
# The least part of an equal share that an idle entry keeps.
FLOOR_SHARE = 0.2
# Shares are equal within this part of the capacity.
TOLERANCE = 0.1
works = st.dictionaries(
    st.text(min_size=1, max_size=3),
    st.floats(0, 1e9),
    min_size=1,
    max_size=6,
)


@given(works)
def test_the_shares_never_exceed_the_capacity(needs: dict[str, float]) -> None:
    """Guard against processors that are promised to two entries."""
    shares = share_by_need(CAPACITY_CPU, needs)
    assert sum(shares.values()) <= CAPACITY_CPU
    assert shares.keys() == needs.keys()


@given(works)
def test_each_entry_keeps_part_of_an_equal_share(
    needs: dict[str, float],
) -> None:
    """Guard against a burst at an idle entry that refuses all of it."""
    floor_cpu = FLOOR_SHARE * CAPACITY_CPU / len(needs)
    assert min(share_by_need(CAPACITY_CPU, needs).values()) >= floor_cpu


@given(works, st.floats(1, 1e6))
def test_more_need_gives_no_smaller_share(
    needs: dict[str, float],
    more: float,
) -> None:
    """Guard against a busy entry that loses room to the idle ones."""
    name = next(iter(needs))
    before = share_by_need(CAPACITY_CPU, needs)
    after = share_by_need(CAPACITY_CPU, needs | {name: needs[name] + more})
    # Shares are whole millicores.
    assert after[name] >= before[name] - 1
    for other in needs.keys() - {name}:
        assert after[other] <= before[other] + 1


def test_without_need_the_shares_are_equal() -> None:
    """Guard against shares of a need that has passed."""
    assert set(share_by_need(CAPACITY_CPU, {'a': 0, 'b': 0}).values()) == {4000}


def test_the_recent_work_decays_within_seconds() -> None:
    """Guard against an entry that holds room for a burst of long ago."""
    work_of_entry = RecentWork()
    work_of_entry.add(10, 4000)
    work_of_entry.add(10, 4000)
    assert work_of_entry.at(10) == pytest.approx(8000)
    assert work_of_entry.at(11) <= 0.3 * 8000
    assert work_of_entry.at(12) <= 0.1 * 8000


def _link_other(driver: WorkerDriver) -> None:
    driver.post(events.LinkUp(driver.now, OTHER_LINK))
    hello = work.EntryHello('e2', 'e2#1', 'address')
    driver.post(events.MessageReceived(driver.now, OTHER_LINK, hello))


def _start(driver: WorkerDriver, count: int) -> None:
    for number in range(count):
        name = f'j{number}.{driver.now}'
        driver.start(name)
        driver.answer_start(name, 'present')
        driver.state.remove_run(driver.state.runs[name])


def _told_shares(driver: WorkerDriver) -> dict[str, int]:
    return {
        name: link.last_report.share_cpu
        for name, link in driver.state.links.items()
        if link.last_report
    }


def test_an_entry_that_starts_more_is_told_a_larger_share(
    driver: WorkerDriver,
) -> None:
    """Guard against equal shares for entries that get unequal load."""
    _link_other(driver)
    _start(driver, 20)
    driver.tick(1)
    shares = _told_shares(driver)
    assert shares[LINK] > 2 * shares[OTHER_LINK]
    assert sum(shares.values()) <= CAPACITY_CPU


def _is_equal(shares: dict[str, int]) -> bool:
    equal_cpu = CAPACITY_CPU / len(shares)
    return all(
        abs(cpu - equal_cpu) <= TOLERANCE * CAPACITY_CPU
        for cpu in shares.values()
    )


def _silence(driver: WorkerDriver) -> None:
    """Let the busy entry start nothing, on a link that stays open."""


def _cut(driver: WorkerDriver) -> None:
    driver.post(events.LinkDown(driver.now, LINK, 'cut'))


def _retire(driver: WorkerDriver) -> None:
    driver.post(events.LinksRetired(driver.now, frozenset((LINK,))))


@pytest.mark.parametrize('lose', [_silence, _cut, _retire])
def test_the_shares_are_equal_soon_after_an_entry_falls_silent(
    driver: WorkerDriver,
    lose: Callable[[WorkerDriver], None],
) -> None:
    """Guard against room that is kept for an entry that is gone.

    With the entry cut off or retired, the other one has the whole executor.
    """
    _link_other(driver)
    _start(driver, 20)
    driver.tick(0.5)
    assert not _is_equal(_told_shares(driver))
    lose(driver)
    for _ in range(4):
        driver.tick(0.5)
    shares = _told_shares(driver)
    if lose is _silence:
        assert _is_equal(shares)
    else:
        assert shares[OTHER_LINK] == CAPACITY_CPU


def test_a_new_entry_begins_with_an_equal_share(driver: WorkerDriver) -> None:
    """Guard against a restarted entry that refuses its callers."""
    _start(driver, 10)
    _link_other(driver)
    driver.tick(1)
    assert _is_equal(_told_shares(driver))


def test_a_new_executor_is_shared_as_the_former_one(
    driver: WorkerDriver,
) -> None:
    """Guard against shares of an executor that has been replaced."""
    _link_other(driver)
    _start(driver, 20)
    driver.tick(0.5)
    driver.replace_executor(name='x2')
    driver.answer_renewal()
    shares = _told_shares(driver)
    assert shares[LINK] > shares[OTHER_LINK]
    assert sum(shares.values()) <= CAPACITY_CPU


def test_a_small_change_of_a_share_causes_no_report(
    driver: WorkerDriver,
) -> None:
    """Guard against reports to all entries at each start."""
    _link_other(driver)
    driver.tick(1)
    recent_work = driver.state.links[LINK].recent_work
    recent_work.add(driver.now, 0.1 * CAPACITY_CPU)
    driver.tick(1)
    assert not driver.messages_of(work.ExecutorReport)
