"""Read and write the configuration through entries."""

from __future__ import annotations

import difflib
from http import HTTPStatus
from types import MappingProxyType
from typing import Final
from typing import NamedTuple
from typing import TypeAlias

import anyio
import msgspec
from expression import Error
from expression import Result

from savoryrudder.console.client import Answer
from savoryrudder.console.client import EntryClient
from savoryrudder.console.client import Request
from savoryrudder.policy.checks import parse_policy
from savoryrudder.policy.diff import compare_policies
from savoryrudder.policy.model import Limits
from savoryrudder.policy.model import Policy

_PATH: Final = '/v1/config'
# Together the delays exceed the 12 s in which a revision reaches every entry.
_RESOLVE_ATTEMPTS: Final = 5
_FIRST_DELAY_S: Final = 0.5
_EMPTY: Final = Policy({}, {}, {}, Limits(0, 0, 0))


class Configuration(msgspec.Struct, frozen=True):
    """Hold a configuration in force and the token of its write."""

    revision: int
    text: str
    author: str = ''
    applied_at: str = ''
    token: str = ''


class Applied(msgspec.Struct, frozen=True):
    """Report that the new text is in the store at a revision."""

    revision: int


class RaceLost(msgspec.Struct, frozen=True):
    """Report another operator's configuration.

    `certain` is false if the own text may have been in force before it.
    """

    revision: int
    author: str
    text: str
    certain: bool = True


class FindingRow(msgspec.Struct, frozen=True):
    """Hold a finding as an entry writes it."""

    line: int
    column: int
    key: str
    message: str


class FindingsReported(msgspec.Struct, frozen=True):
    """Report the findings of the entry."""

    findings: tuple[FindingRow, ...]


class Refused(NamedTuple):
    """Report another refusal of the entry; nothing was written."""

    detail: str


class Unresolved(NamedTuple):
    """Report that it is unknown whether the text was written.

    `conflict` is true once the store holds another revision than the expected
    one: a repeated write would fail, and only reading settles the outcome.
    """

    detail: str
    conflict: bool


ApplyOutcome: TypeAlias = (
    Applied | RaceLost | FindingsReported | Refused | Unresolved
)


_OUTCOMES: Final = MappingProxyType[int, type[ApplyOutcome]](
    {
        HTTPStatus.OK: Applied,
        HTTPStatus.CONFLICT: RaceLost,
        HTTPStatus.UNPROCESSABLE_ENTITY: FindingsReported,
    },
)


class NewText(NamedTuple):
    """Hold a text to apply against a revision, with its unique write token."""

    text: str
    expected_revision: int
    author: str
    token: str


async def fetch_configuration(
    client: EntryClient,
) -> Result[Configuration, str]:
    """Return the configuration in force at the first entry that answers."""
    answer = await client.call(Request('GET', _PATH))
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != HTTPStatus.OK:
        return Error(answer.ok.problem)
    return answer.ok.read(Configuration)


async def apply_text(client: EntryClient, change: NewText) -> ApplyOutcome:
    """Write a text by compare-and-swap.

    An answer that was lost is resolved by reading the configuration back. The
    write is repeated only after a reading that shows the expected revision; a
    lost write that takes effect later makes the repetition fail.
    """
    outcome = await _write_once(client, 0, change)
    attempt = 0
    while isinstance(outcome, Unresolved) and attempt < _RESOLVE_ATTEMPTS:
        await anyio.sleep(_FIRST_DELAY_S * 2**attempt)
        attempt += 1
        outcome = await _resolve(client, attempt, change, outcome)
    return outcome


def describe_difference(old: str, new: str) -> list[str]:
    """Return one line for each changed key of two texts.

    `new` is free of findings. An old text with findings, written by another
    version, is compared line by line.
    """
    before = parse_policy(old).default_value(_EMPTY)
    if old.strip() and before is _EMPTY:
        return list(
            difflib.unified_diff(old.splitlines(), new.splitlines()),
        )
    after = parse_policy(new).default_value(_EMPTY)
    return [str(change) for change in compare_policies(before, after)]


async def _resolve(
    client: EntryClient,
    attempt: int,
    change: NewText,
    outcome: Unresolved,
) -> ApplyOutcome:
    fetched = await fetch_configuration(client)
    if fetched.is_error():
        return outcome._replace(detail=fetched.error)
    current = fetched.ok
    if current.token == change.token:
        return Applied(current.revision)
    if current.revision != change.expected_revision:
        return _overtaken(current, change)
    if outcome.conflict:
        # The entry that was read is behind the store.
        return outcome
    repeated = await _write_once(client, attempt, change)
    if isinstance(repeated, RaceLost):
        # The conflict may be with the own earlier write.
        return Unresolved('the entries do not agree on the revision', True)
    return repeated


def _overtaken(current: Configuration, change: NewText) -> ApplyOutcome:
    if not current.token:
        return Unresolved(
            f'revision {current.revision} by {current.author} is in force '
            'and its write token is not reported',
            True,
        )
    return RaceLost(
        current.revision,
        current.author,
        current.text,
        current.revision == change.expected_revision + 1,
    )


async def _write_once(
    client: EntryClient,
    attempt: int,
    change: NewText,
) -> ApplyOutcome:
    entry = client.entries[attempt % len(client.entries)]
    body = msgspec.json.encode(change._asdict())
    answer = await client.call_one(entry, Request('POST', _PATH, body=body))
    if answer.is_error():
        return _lost(answer.error)
    return _read_outcome(answer.ok)


def _read_outcome(answer: Answer) -> ApplyOutcome:
    kind = _OUTCOMES.get(answer.status)
    if kind is not None:
        # An answer that cannot be read is a lost answer.
        return answer.read(kind).default_with(_lost)
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _lost(answer.problem)
    return Refused(answer.problem)


def _lost(detail: str) -> ApplyOutcome:
    return Unresolved(detail, conflict=False)
