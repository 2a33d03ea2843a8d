"""Simulate the key-value store of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.store import interface as store

if TYPE_CHECKING:
    from fakes.clock import Clock

_UNAVAILABLE = store.StoreUnavailable('no answer')


class FakeStore:
    """Keep versioned keys, leases and watches, with faults.

    Operations whose type name is in `lose_answers` take effect, but their
    answers are lost.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys: dict[str, tuple[int, str | None, str]] = {}
        self._leases: dict[str, float] = {}
        self._watches: list[Any] = []
        self.version = 0
        self.down = False
        self.delay_s = 0.005
        self.cut_off: set[str] = set()
        self.lose_answers: list[str] = []

    def call(self, caller: str, operation: Any, answer: Any) -> None:
        """Carry out an operation unless the caller is cut off."""
        if caller in self.cut_off:
            self._clock.after(1, answer, _UNAVAILABLE)
            return
        self._clock.within(self.delay_s, self._execute, operation, answer)

    def read(self, key: str) -> store.KeyValue:
        """Read a key without delay."""
        version, text, _ = self._keys.get(key, (0, None, ''))
        return store.KeyValue(key, version, text)

    def write(self, key: str, text: str | None, lease: str = '') -> None:
        """Write a key without delay, or delete it if the text is None."""
        self.version += 1
        self._keys[key] = (self.version, text, lease)
        if text is None:
            self._keys.pop(key)
        self._clock.after(0, self._notify)

    def _execute(self, operation: Any, answer: Any) -> None:
        self._expire()
        kind = type(operation).__name__
        if self.down:
            self._clock.after(1, answer, _UNAVAILABLE)
        elif kind == 'WatchPrefix':
            self._watches.append((operation, answer))
            self._notify()
        else:
            result = getattr(self, f'_{kind}')(operation)
            if kind in self.lose_answers:
                self.lose_answers.remove(kind)
                self._clock.after(1, answer, _UNAVAILABLE)
                return
            self._clock.within(self.delay_s, answer, result)

    def _expire(self) -> None:
        for lease in list(self._leases):
            if self._leases[lease] <= self._clock.now:
                self._RevokeLease(store.RevokeLease(lease))

    def _ReadKey(self, operation: store.ReadKey) -> Any:
        return self.read(operation.key)

    def _CompareAndSwap(self, operation: store.CompareAndSwap) -> Any:
        if operation.lease and operation.lease not in self._leases:
            return store.LeaseLost()
        current = self.read(operation.key)
        if current.version != operation.expected_version:
            return store.SwapConflict(current)
        self.write(operation.key, operation.value, operation.lease)
        return store.Swapped(self.version)

    def _GrantLease(self, operation: store.GrantLease) -> Any:
        self.version += 1
        return self._extend(f'lease-{self.version}', operation.ttl_s)

    def _RenewLease(self, operation: store.RenewLease) -> Any:
        if operation.lease not in self._leases:
            return store.LeaseLost()
        return self._extend(operation.lease, 6)

    def _RevokeLease(self, operation: store.RevokeLease) -> Any:
        self._leases.pop(operation.lease, None)
        for key in list(self._keys):
            if self._keys[key][2] == operation.lease:
                self.write(key, None)
        return store.LeaseLost()

    def _extend(self, lease: str, ttl_s: float) -> Any:
        self._leases[lease] = self._clock.now + ttl_s
        self._clock.after(ttl_s + 0.001, self._expire)
        return store.LeaseHeld(lease, ttl_s)

    def _notify(self) -> None:
        watches = self._watches
        self._watches = []
        for watch, answer in watches:
            if self.down:
                self._clock.after(1, answer, _UNAVAILABLE)
                continue
            if self.version <= watch.after_version:
                self._watches.append((watch, answer))
                continue
            entries = (self.read(key) for key in self._keys)
            matching = [
                entry for entry in entries if entry.key.startswith(watch.prefix)
            ]
            snapshot = store.Snapshot(self.version, tuple(matching))
            self._clock.within(self.delay_s, answer, snapshot)
