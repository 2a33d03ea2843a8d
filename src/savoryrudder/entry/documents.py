"""Encode and decode the values that entries keep in the store."""

from __future__ import annotations

from typing import Final
from typing import TypedDict

import msgspec

from savoryrudder.entry.state import EntryDocument
from savoryrudder.entry.state import PartitionOwner
from savoryrudder.store.interface import KeyValue
from savoryrudder.utils.identifiers import PARTITION_COUNT

CLUSTER_PREFIX: Final = 'cluster/'
CONFIG_KEY: Final = 'cluster/config'
PARTITIONS_KEY: Final = 'cluster/partitions'
ENTRY_PREFIX: Final = 'cluster/entries/'
TERMS_PREFIX: Final = 'terms/'


class ConfigDocument(TypedDict):
    """Hold the configuration; `applied_at` is a UTC time in ISO 8601 format."""

    text: str
    author: str
    applied_at: str
    token: str


class PartitionsDocument(TypedDict):
    """Hold the owner, epoch and former owner of each partition."""

    partitions: list[tuple[str, int, str]]


class TermsDocument(TypedDict):
    """Hold a client's step of its standing terms; `expires` is UTC seconds."""

    step: int
    expires: float
    token: str


def encode(
    document: ConfigDocument | PartitionsDocument | EntryDocument,
) -> str:
    """Encode a document as JSON."""
    return msgspec.json.encode(document).decode()


def encode_terms(document: TermsDocument) -> str:
    """Encode standing terms as JSON."""
    return msgspec.json.encode(document).decode()


def decode_terms(value: str) -> TermsDocument:
    """Decode standing terms."""
    return msgspec.json.decode(value, type=TermsDocument)


def decode_config(value: str) -> ConfigDocument:
    """Decode a configuration."""
    return msgspec.json.decode(value, type=ConfigDocument)


def decode_entry(item: KeyValue) -> EntryDocument:
    """Decode an entry's registration."""
    return msgspec.json.decode(item.value or '', type=EntryDocument)


def decode_owners(value: str | None) -> dict[int, PartitionOwner]:
    """Decode the partition map.

    Without a map, every partition is at epoch 0 and has no owner.
    """
    if value is None:
        return {
            partition: PartitionOwner('', 0, '')
            for partition in range(PARTITION_COUNT)
        }
    document = msgspec.json.decode(value, type=PartitionsDocument)
    return {
        partition: PartitionOwner(*parts)
        for partition, parts in enumerate(document['partitions'])
    }


def encode_owners(owners: dict[int, PartitionOwner]) -> str:
    """Encode the partition map."""
    return encode(
        {'partitions': [owners[number] for number in sorted(owners)]},
    )
