"""Check the limits on retries."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.entry.retries import MAX_BACKOFF_S
from savoryrudder.entry.retries import RETRY_ALLOWANCE
from savoryrudder.entry.retries import RETRY_RATIO
from savoryrudder.entry.retries import RetryBudget
from savoryrudder.entry.retries import backoff_s


@given(st.integers(0, 500), st.integers(0, 200))
def test_retries_stay_within_the_budget(starts: int, requested: int) -> None:
    """Guard against retries that multiply the load of a failing fleet."""
    budget = RetryBudget()
    for _ in range(starts):
        budget.record_start(1)
    allowed = sum([budget.take(1) for _ in range(requested)])
    limit = int(RETRY_RATIO * starts + RETRY_ALLOWANCE + 1e-9)
    assert abs(allowed - min(requested, limit)) <= 1
    assert allowed <= limit


def test_backoff_grows_up_to_a_limit() -> None:
    """Guard against synchronized retries and unbounded pauses."""
    pauses = [backoff_s(attempts, 1) for attempts in range(1, 8)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_BACKOFF_S
    assert backoff_s(1, 0) < backoff_s(1, 0.5) < backoff_s(1, 1)
