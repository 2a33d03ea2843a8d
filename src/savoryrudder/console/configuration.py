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
# The delays add up to more than the 12 s within which a revision reaches every
# entry.
_RESOLVE_ATTEMPTS: Final = 5
_FIRST_DELAY_S: Final = 0.5
_EMPTY: Final = Policy({}, {}, {}, Limits(0, 0, 0))


class Configuration(msgspec.Struct, frozen=True):
    """The configuration in force and the token of the write that set it."""

    revision: int
    text: str
    author: str = ''
    applied_at: str = ''
    token: str = ''


class Applied(msgspec.Struct, frozen=True):
    """The new text is in the store at a revision."""

    revision: int


class RaceLost(msgspec.Struct, frozen=True):
    """Another operator's configuration is in force.

    `certain` is false if the submitted text may have been in force before it.
    """

    revision: int
    author: str
    text: str
    certain: bool = True


class FindingRow(msgspec.Struct, frozen=True):
    """A finding as an entry reports it."""

    line: int
    column: int
    key: str
    message: str


class FindingsReported(msgspec.Struct, frozen=True):
    """The entry rejected the text because of findings."""

    findings: tuple[FindingRow, ...]


class Refused(NamedTuple):
    """The entry refused the write for another reason; nothing was written."""

    detail: str


class Unresolved(NamedTuple):
    """It is unknown whether the text was written.

    `conflict` is true once the store holds a revision other than the expected
    one: a repeated write would fail, and only a read settles the outcome.
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
    """A text to write over a revision, with the unique token of the write."""

    text: str
    expected_revision: int
    author: str
    token: str


async def fetch_configuration(
    client: EntryClient,
) -> Result[Configuration, str]:
    """Return the configuration in force at the first entry that responds."""
    answer = await client.call(Request('GET', _PATH))
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != HTTPStatus.OK:
        return Error(answer.ok.problem)
    return answer.ok.read(Configuration)


async def apply_text(client: EntryClient, change: NewText) -> ApplyOutcome:
    """Write a text by compare-and-swap.

    If the response is lost, the configuration is read back. The write is
    repeated only after a read that shows the expected revision; if the lost
    write takes effect later, the repeated one fails.
    """
    outcome = await _write_once(client, 0, change)
    attempt = 0
    while isinstance(outcome, Unresolved) and attempt < _RESOLVE_ATTEMPTS:
        await anyio.sleep(_FIRST_DELAY_S * 2**attempt)
        attempt += 1
        outcome = await _resolve(client, attempt, change, outcome)
    return outcome


def describe_difference(old: str, new: str) -> list[str]:
    """Return one line for each key that differs between two texts.

    `new` must be free of findings. If `old` has findings, because another
    version wrote it, the texts are compared line by line.
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
        # The entry that was read lags behind the store.
        return outcome
    repeated = await _write_once(client, attempt, change)
    if isinstance(repeated, RaceLost):
        # The conflict may be with an earlier attempt of this write.
        return Unresolved('the entries disagree on the revision', True)
    return repeated


def _overtaken(current: Configuration, change: NewText) -> ApplyOutcome:
    if not current.token:
        return Unresolved(
            f'revision {current.revision} by {current.author} is in force '
            'but its write token is not reported',
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
        # A malformed response is treated like a lost one.
        return answer.read(kind).default_with(_lost)
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _lost(answer.problem)
    return Refused(answer.problem)


def _lost(detail: str) -> ApplyOutcome:
    return Unresolved(detail, conflict=False)
