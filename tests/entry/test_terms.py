"""Check how standing terms are read and renewed."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from savoryrudder.entry import terms
from savoryrudder.entry.effects import CallStore
from savoryrudder.entry.limits import Usage
from savoryrudder.entry.state import EntryIdentity
from savoryrudder.entry.state import EntryState
from savoryrudder.entry.state import OwnedPartition
from savoryrudder.entry.turn import Turn
from savoryrudder.policy.checks import parse_policy
from savoryrudder.store import interface

_WALL = 1_800_000_000
_LIFETIME_S = 100
_SERVICE = """
[services.pane.operations]
cut = { idempotent = false, expected_ms = 1000 }
"""
_CLIENT = """
[clients.{name}]
rate = 10
burst = 20
concurrent = 30
highest_urgency = 'normal'
lifetime_s = 100
ceiling = {{ rate = 1000, highest_urgency = 'critical' }}
"""


class FakeStore:
    """Keep keys in memory; can lose answers or be down."""

    def __init__(self) -> None:
        """Create an empty store that works."""
        self.stored: dict[str, interface.KeyValue] = {}
        self.down = False
        self.lose_answers = False
        self.calls = Counter[str]()

    def call(self, operation: interface.StoreOperation) -> object:
        """Carry out a read or a swap."""
        self.calls[type(operation).__name__] += 1
        unavailable = interface.StoreUnavailable('timeout')
        if self.down:
            return unavailable
        absent = interface.KeyValue(operation.key, 0, None)
        current = self.stored.get(operation.key, absent)
        if isinstance(operation, interface.ReadKey):
            return current
        if current.version != operation.expected_version:
            return interface.SwapConflict(current)
        version = current.version + 1
        entry = interface.KeyValue(operation.key, version, operation.value)
        self.stored[operation.key] = entry
        return unavailable if self.lose_answers else interface.Swapped(version)


class Entry:
    """Drive the terms of one entry that owns all partitions."""

    def __init__(
        self, store: FakeStore, name: str = 'e1', clients: int = 1
    ) -> None:
        """Create an entry with a policy for some clients."""
        identity = EntryIdentity(name, '', '', 'z', 600, 2)
        self.state = EntryState(identity, random.Random(name))
        text = _SERVICE + ''.join(
            _CLIENT.format(name=f'shop{number}') for number in range(clients)
        )
        self.state.policy = parse_policy(text).ok
        self.state.revision = 1
        for partition in range(64):
            self.state.owned[partition] = OwnedPartition(1, 0, 0, {})
        self.store = store
        self.now: float = 0
        self.pending_calls: list[CallStore] = []

    def record_usage(self, client: str = 'shop0', **counts: int) -> None:
        """Record the usage of a client's terms."""
        definition = self.state.policy.clients[client]
        limits = self.state.admission.limits
        account = limits.account(client, definition.terms, self.now)
        account.usage = Usage(**({'accepted': 100, 'jobs': 10} | counts))

    def advance(self, seconds: float, **counts: int) -> None:
        """Let time pass while all clients use their terms."""
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            for client in self.state.policy.clients:
                self.record_usage(client, **counts)
            self.tick()
            self.deliver()

    def tick(self) -> None:
        """Run a tick and collect its store calls."""
        turn = Turn(self.state, self.now, _WALL + self.now)
        terms.refresh_terms(turn)
        self.pending_calls += [
            effect for effect in turn.effects if isinstance(effect, CallStore)
        ]

    def deliver(self) -> None:
        """Let the store answer the pending calls."""
        for call in self.pending_calls:
            pending = self.state.pending_calls.pop(call.call)
            handler = {
                'read-terms': terms.handle_read_terms,
                'swap-terms': terms.handle_swapped_terms,
            }[pending.kind]
            turn = Turn(self.state, self.now, _WALL + self.now)
            handler(turn, pending.context, self.store.call(call.operation))
        self.pending_calls = []

    def report(self, client: str = 'shop0') -> dict[str, object]:
        """Return the operators' view."""
        turn = Turn(self.state, self.now, _WALL + self.now)
        return terms.report(turn, client)


@pytest.fixture
def store() -> FakeStore:
    """Create a store that works."""
    return FakeStore()


def test_earned_renewals_reach_the_ceiling(store: FakeStore) -> None:
    """Guard against terms that grow without a bound or not at all."""
    entry = Entry(store)
    entry.advance(5)
    assert entry.report() == {
        'client': 'shop0',
        'rate': 10,
        'burst': 20,
        'concurrent': 30,
        'highest_urgency': 'normal',
        'expires_in_s': pytest.approx(_LIFETIME_S, abs=5),
        'step': 0,
    }
    entry.advance(_LIFETIME_S)
    assert entry.report()['step'] == 1
    entry.advance(20 * _LIFETIME_S)
    assert entry.report()['step'] == terms.STEPS
    assert entry.report()['rate'] == pytest.approx(1000)
    assert entry.report()['highest_urgency'] == 'critical'
    account = entry.state.admission.limits.account('shop0', None, entry.now)
    assert account.terms.rate == pytest.approx(1000)


@pytest.mark.parametrize(
    ('counts', 'step'),
    [
        ({'accepted': 100, 'jobs': 10}, 6),
        ({'accepted': 100, 'jobs': 10, 'exceeded': 5}, 4),
        ({'accepted': 100, 'jobs': 10, 'faulty': 2}, 5),
        ({'jobs': 3}, 5),
    ],
)
def test_step_follows_usage(counts: dict[str, int], step: int) -> None:
    """Guard against higher terms after no, excessive or faulty use."""
    assert terms.next_step(5, Usage(**counts)) == step


def test_two_renewals_at_once_grant_one_step(store: FakeStore) -> None:
    """Guard against two entries that add up their steps."""
    entries = [Entry(store, 'e1'), Entry(store, 'e2')]
    for entry in entries:
        entry.advance(5)
    for renewing in entries:
        renewing.now += 0.95 * _LIFETIME_S
        renewing.record_usage()
        renewing.tick()
    for informed in entries:
        informed.deliver()
        assert informed.report()['step'] == 1


@pytest.mark.parametrize('took_effect', [True, False])
def test_lost_answer_is_settled_by_reading(
    store: FakeStore,
    took_effect: bool,
) -> None:
    """Guard against a blind retry that grants two steps."""
    entry = Entry(store)
    entry.advance(5)
    entry.now += 0.95 * _LIFETIME_S
    entry.record_usage()
    entry.tick()
    store.lose_answers = took_effect
    store.down = not took_effect
    entry.deliver()
    assert entry.report()['step'] == 0
    store.lose_answers = False
    store.down = False
    swaps = store.calls['CompareAndSwap']
    entry.advance(2 * terms.RETRY_S)
    assert entry.report()['step'] == 1
    assert store.calls['CompareAndSwap'] == swaps + (not took_effect)


def test_last_grant_stays_in_force_during_an_outage(store: FakeStore) -> None:
    """Guard against terms that lapse because the store is down."""
    entry = Entry(store)
    entry.advance(2.5 * _LIFETIME_S)
    step = entry.report()['step']
    store.down = True
    swaps = store.calls['CompareAndSwap']
    entry.advance(5 * _LIFETIME_S)
    assert step > 0
    assert entry.report()['step'] == step
    assert store.calls['CompareAndSwap'] <= swaps + 1
    store.down = False
    entry.advance(_LIFETIME_S)
    assert entry.report()['step'] >= 1


def test_store_calls_are_bounded(store: FakeStore) -> None:
    """Guard against calls that grow with the number of clients."""
    entry = Entry(store, clients=68)
    entry.advance(4 * _LIFETIME_S)
    assert sum(store.calls.values()) <= 4 * _LIFETIME_S + 1
    small_store = FakeStore()
    Entry(small_store).advance(10 * _LIFETIME_S)
    assert small_store.calls['CompareAndSwap'] <= 14
    assert small_store.calls['ReadKey'] <= 60
