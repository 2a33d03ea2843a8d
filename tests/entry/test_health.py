"""Test which upstreams are ejected and restored."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.entry.health import MAX_PROBE_INTERVAL_S
from savoryrudder.entry.health import MIN_PROBE_INTERVAL_S
from savoryrudder.entry.health import UPSTREAMS_PER_EJECTION
from savoryrudder.entry.health import ServiceHealth

_NAMES = tuple('abcdefghij')


def _service_health(names: tuple[str, ...] = _NAMES) -> ServiceHealth:
    health = ServiceHealth()
    for name in names:
        health.add(name)
    return health


def _fail(health: ServiceHealth, name: str, count: int, **flags: bool) -> None:
    for _ in range(count):
        health.record_outcome(name, 'cut', 0, failed=True, **flags)


def test_failing_upstream_is_ejected_soon() -> None:
    """Guard against an upstream that fails fast and so attracts tasks."""
    health = _service_health()
    _fail(health, 'a', 5)
    assert health.ejected == {'a'}


def test_rejecting_upstream_is_ejected() -> None:
    """Guard against an endless loop of starts that one agent rejects."""
    health = _service_health()
    for name in _NAMES:
        _fail(health, name, 8)
    health = _service_health()
    _fail(health, 'a', 5, not_run=True)
    assert health.ejected == {'a'}


def test_failing_operation_is_not_blamed_on_upstreams() -> None:
    """Guard against ejections caused by an operation that always fails."""
    health = _service_health()
    for _ in range(20):
        for name in _NAMES:
            health.record_outcome(name, 'broken', 0, failed=True)
            health.record_outcome(name, 'cut', 0, failed=False)
            health.record_outcome(name, 'cut', 0, failed=False)
    assert not health.ejected


def test_probe_interval_grows_until_restored() -> None:
    """Guard against probing dead upstreams often or recovered ones never."""
    health = _service_health()
    _fail(health, 'a', 5)
    now: float = 0
    intervals = []
    for _ in range(10):
        intervals.append(health.status('a').probe_at - now)
        now = health.status('a').probe_at
        health.record_probe('a', now)
        health.record_outcome('a', 'cut', now, failed=True)
    assert intervals[:3] == [
        MIN_PROBE_INTERVAL_S,
        2 * MIN_PROBE_INTERVAL_S,
        4 * MIN_PROBE_INTERVAL_S,
    ]
    assert intervals[-1] == MAX_PROBE_INTERVAL_S
    for _ in range(2):
        now = health.status('a').probe_at
        health.record_probe('a', now)
        health.record_outcome('a', 'cut', now, failed=False)
    assert not health.ejected


def test_slow_upstream_is_detected_and_recovers() -> None:
    """Guard against using slow upstreams or avoiding recovered ones."""
    health = _service_health()
    for _ in range(6):
        health.record_service_time('a', 10, 0)
        health.record_service_time('b', 1, 0)
    assert health.status('a').slow
    for _ in range(20):
        health.record_service_time('a', 1, 0)
    assert not health.status('a').slow


@given(
    st.integers(1, 10),
    st.lists(
        st.tuples(
            st.sampled_from(('fail', 'pass', 'drop', 'add')),
            st.integers(0, 9),
        ),
        max_size=200,
    ),
)
def test_at_most_a_third_is_ejected(
    count: int,
    steps: list[tuple[str, int]],
) -> None:
    """Guard against ejecting the capacity that an overload needs."""
    health = _service_health(_NAMES[:count])
    linked = set(_NAMES[:count])
    for action, number in steps:
        name = _NAMES[number]
        if action == 'add':
            health.add(name)
            linked.add(name)
        elif action == 'drop':
            health.remove(name)
            linked.discard(name)
        elif name in linked:
            _fail(health, name, 4 if action == 'fail' else 0)
            health.record_outcome(name, 'cut', 0, failed=action == 'fail')
        assert len(health.ejected) * UPSTREAMS_PER_EJECTION <= len(linked)
        assert health.ejected <= linked
