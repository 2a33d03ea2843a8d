"""Derive identifiers from keys."""

from __future__ import annotations

import hashlib
from typing import Final

PARTITION_COUNT: Final = 64
_IDENTIFIER_BYTES: Final = 16
# Separates an entry's identifier from its incarnation; settings allow it in
# no name.
_INCARNATION_MARK: Final = '#'


def submission_id(client: str, key: str) -> bytes:
    """Return the 16-byte identifier of a client's idempotency key."""
    text = f'{client}\0{key}'.encode()
    return hashlib.blake2b(text, digest_size=_IDENTIFIER_BYTES).digest()


def partition_of(submission: bytes) -> int:
    """Return the partition (0 to 63) that a submission belongs to."""
    return int.from_bytes(submission[:4], 'big') % PARTITION_COUNT


def is_entry_name(name: str) -> bool:
    """Tell the names of entries from those of agents."""
    return _INCARNATION_MARK in name


def digest_of(content: bytes) -> bytes:
    """Return the 16-byte digest of a payload or result."""
    return hashlib.blake2b(content, digest_size=_IDENTIFIER_BYTES).digest()
