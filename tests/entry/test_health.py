"""Check which upstreams are ejected and restored."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.entry.health import FIRST_PROBE_S
from savoryrudder.entry.health import LONGEST_PROBE_S
from savoryrudder.entry.health import MAX_EJECTED
from savoryrudder.entry.health import ServiceHealth

_NAMES = tuple('abcdefghij')


def _health(names: tuple[str, ...] = _NAMES) -> ServiceHealth:
    health = ServiceHealth()
    for name in names:
        health.add(name)
    return health


def _fail(health: ServiceHealth, name: str, count: int, **how: bool) -> None:
    for _ in range(count):
        health.note_end(name, 'cut', 0, failed=True, **how)


def test_failing_upstream_is_ejected_soon() -> None:
    """Guard against an upstream that fails fast and so attracts work."""
    health = _health()
    _fail(health, 'a', 5)
    assert health.ejected == {'a'}


def test_rejecting_upstream_is_ejected() -> None:
    """Guard against starts that bounce for ever off one agent."""
    health = _health()
    for name in _NAMES:
        _fail(health, name, 8)
    health = _health()
    _fail(health, 'a', 5, not_run=True)
    assert health.ejected == {'a'}


def test_failing_operation_is_not_blamed_on_upstreams() -> None:
    """Guard against an outage caused by one faulty operation."""
    health = _health()
    for _ in range(20):
        for name in _NAMES:
            health.note_end(name, 'broken', 0, failed=True)
            health.note_end(name, 'cut', 0, failed=False)
            health.note_end(name, 'cut', 0, failed=False)
    assert not health.ejected


def test_probes_grow_apart_and_restore() -> None:
    """Guard against probing a dead upstream often and a healed one never."""
    health = _health()
    _fail(health, 'a', 5)
    now: float = 0
    gaps = []
    for _ in range(10):
        gaps.append(health.verdict('a').probe_at - now)
        now = health.verdict('a').probe_at
        health.note_probe('a', now)
        health.note_end('a', 'cut', now, failed=True)
    assert gaps[:3] == [FIRST_PROBE_S, 2 * FIRST_PROBE_S, 4 * FIRST_PROBE_S]
    assert gaps[-1] == LONGEST_PROBE_S
    for _ in range(2):
        now = health.verdict('a').probe_at
        health.note_probe('a', now)
        health.note_end('a', 'cut', now, failed=False)
    assert not health.ejected


def test_slow_upstream_is_found_and_forgiven() -> None:
    """Guard against stragglers and against a verdict that never changes."""
    health = _health()
    for _ in range(6):
        health.note_time('a', 10, 0)
        health.note_time('b', 1, 0)
    assert health.verdict('a').slow
    for _ in range(20):
        health.note_time('a', 1, 0)
    assert not health.verdict('a').slow


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
    health = _health(_NAMES[:count])
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
            health.note_end(name, 'cut', 0, failed=action == 'fail')
        assert len(health.ejected) * MAX_EJECTED <= len(linked)
        assert health.ejected <= linked
