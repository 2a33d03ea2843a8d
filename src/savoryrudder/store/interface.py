"""Define the operations and outcomes of the platform's key-value service."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol
from typing import TypeAlias


class ReadKey(NamedTuple):
    """Read one key."""

    key: str


class CompareAndSwap(NamedTuple):
    """Write a key if its version is still `expected_version` (0: absent).

    A `value` of None deletes the key. `lease` attaches the key to a lease;
    an empty string attaches it to none.
    """

    key: str
    expected_version: int
    value: str | None
    lease: str


class GrantLease(NamedTuple):
    """Request a lease with a time to live in seconds."""

    ttl_s: float


class RenewLease(NamedTuple):
    """Extend a lease by its time to live."""

    lease: str


class RevokeLease(NamedTuple):
    """End a lease and delete its keys."""

    lease: str


class WatchPrefix(NamedTuple):
    """Wait for a change of a key under a prefix after a store version.

    Returns all keys under the prefix; at once if `after_version` is 0.
    """

    prefix: str
    after_version: int
    wait_s: float


StoreOperation: TypeAlias = (
    ReadKey
    | CompareAndSwap
    | GrantLease
    | RenewLease
    | RevokeLease
    | WatchPrefix
)


class KeyValue(NamedTuple):
    """Hold a key with its version (0: absent)."""

    key: str
    version: int
    value: str | None


class Swapped(NamedTuple):
    """Report a successful write and the key's new version."""

    version: int


class SwapConflict(NamedTuple):
    """Report a write that was refused, with the key's current state."""

    current: KeyValue


class LeaseHeld(NamedTuple):
    """Report a granted or renewed lease."""

    lease: str
    ttl_s: float


class LeaseLost(NamedTuple):
    """Report that a lease no longer exists."""


class Snapshot(NamedTuple):
    """Report all keys under a watched prefix at a store version."""

    version: int
    entries: tuple[KeyValue, ...]


class StoreUnavailable(NamedTuple):
    """Report that no usable response arrived.

    A write may have taken effect.
    """

    reason: str


StoreOutcome: TypeAlias = (
    KeyValue
    | Swapped
    | SwapConflict
    | LeaseHeld
    | LeaseLost
    | Snapshot
    | StoreUnavailable
)


class KeyValueStore(Protocol):
    """Execute operations of the platform's key-value service."""

    async def call(self, operation: StoreOperation) -> StoreOutcome:
        """Execute an operation."""
