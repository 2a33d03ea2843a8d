"""Check which queues and sizes are spared."""

from __future__ import annotations

import pytest
from fakes.fleet import QUEUE

from savoryrudder.dispatch.refusal_shares import RefusalShares

NOW = 100.0
URGENT = QUEUE._replace(name='urgent', priority=0)
BACKGROUND = QUEUE._replace(name='background', priority=2)


@pytest.fixture
def shares() -> RefusalShares:
    """Count 100 jobs of two queues each, with sizes from 1 to 100."""
    shares = RefusalShares()
    for number in range(100):
        # All sizes once, in no order.
        size = number * 37 % 100 + 1
        shares.record_arrival(URGENT, size, NOW)
        shares.record_arrival(BACKGROUND, size, NOW)
    return shares


def _refuse(shares: RefusalShares, queue: object, sizes: range) -> None:
    for size in sizes:
        shares.record_refusal(queue, size, NOW)


def test_a_queue_that_is_turned_away_more_often_is_spared(
    shares: RefusalShares,
) -> None:
    """Guard against the least urgent queue paying for everything."""
    _refuse(shares, BACKGROUND, range(1, 10))
    assert not shares.is_guarded(BACKGROUND.name, 50, NOW)
    _refuse(shares, BACKGROUND, range(10, 60))
    assert shares.is_guarded(BACKGROUND.name, 50, NOW)
    assert not shares.is_guarded(URGENT.name, 50, NOW)


@pytest.mark.parametrize(
    ('sizes', 'spared', 'not_spared'),
    [(range(92, 101), 95, 80), (range(72, 90), 80, 95)],
)
def test_large_sizes_that_are_turned_away_more_often_are_spared(
    shares: RefusalShares,
    sizes: range,
    spared: int,
    not_spared: int,
) -> None:
    """Guard against refusals that pick the largest jobs of a queue."""
    _refuse(shares, URGENT, sizes)
    assert shares.is_guarded(URGENT.name, spared, NOW)
    assert not shares.is_guarded(URGENT.name, not_spared, NOW)


def test_old_refusals_are_forgotten(shares: RefusalShares) -> None:
    """Guard against a queue that is spared long after an overload."""
    _refuse(shares, BACKGROUND, range(1, 100))
    for size in range(1, 11):
        shares.record_arrival(BACKGROUND, size, NOW + 60)
        shares.record_arrival(URGENT, size, NOW + 60)
    assert not shares.is_guarded(BACKGROUND.name, 50, NOW + 60)


def test_less_urgent_jobs_give_way(shares: RefusalShares) -> None:
    """Guard against urgent jobs that are refused as they can wait less."""
    assert not shares.gives_way(BACKGROUND, NOW)
    _refuse(shares, URGENT, range(1, 50))
    assert shares.gives_way(BACKGROUND, NOW)
    assert not shares.gives_way(URGENT, NOW)
    assert not shares.gives_way(BACKGROUND, NOW + 10)


def test_only_queues_of_the_configuration_are_kept(
    shares: RefusalShares,
) -> None:
    """Guard against memory that grows with each renamed queue."""
    shares.forget_others({URGENT.name})
    assert shares.mean_size(URGENT.name) == pytest.approx(50.5)
    assert shares.mean_size(BACKGROUND.name) == 0


def test_the_mean_follows_the_latest_sizes(shares: RefusalShares) -> None:
    """Guard against costs by sizes that are long past."""
    for _ in range(150):
        shares.record_arrival(URGENT, 7, NOW)
    assert shares.mean_size(URGENT.name) == 7


def test_a_job_of_long_ago_does_not_end_the_entry() -> None:
    """Guards against a job that another entry held and that comes back."""
    shares = RefusalShares()
    shares.record_arrival(QUEUE, 100, 10_000)
    shares.record_arrival(QUEUE, 100, 9000)
    assert not shares.is_guarded(QUEUE.name, 100, 9000)


def test_a_queue_that_was_removed_does_not_come_back() -> None:
    """Guards against memory that grows with each queue there ever was."""
    shares = RefusalShares()
    shares.record_arrival(QUEUE, 100, 1)
    shares.forget_others(set())
    shares.record_refusal(QUEUE, 100, 2)
    assert not shares.mean_size(QUEUE.name)
    assert not shares.is_guarded(QUEUE.name, 100, 2)
