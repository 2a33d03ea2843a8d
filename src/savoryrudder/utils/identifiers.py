"""Derive identifiers from keys."""

from __future__ import annotations

import hashlib
from typing import Final

PARTITION_COUNT: Final = 64
_DIGEST_BYTES: Final = 16
# Separates the name of an entry from its incarnation. The settings allow this
# character in no name.
_INCARNATION_SEPARATOR: Final = '#'


def submission_id(client: str, key: str) -> bytes:
    """Return the 16-byte identifier of a client's idempotency key."""
    scoped_key = f'{client}\0{key}'.encode()
    return hashlib.blake2b(scoped_key, digest_size=_DIGEST_BYTES).digest()


def partition_of(submission: bytes) -> int:
    """Return the partition (0 to 63) that a submission belongs to."""
    return int.from_bytes(submission[:4], 'big') % PARTITION_COUNT


def is_entry_name(name: str) -> bool:
    """Return whether a name is that of an entry rather than an agent."""
    return _INCARNATION_SEPARATOR in name


def digest_of(content: bytes) -> bytes:
    """Return the 16-byte digest of a payload or result."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
