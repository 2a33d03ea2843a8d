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

from savoryrudder.console.client import EntryClient
from savoryrudder.console.client import Request
from savoryrudder.console.client import Response
from savoryrudder.policy.checks import parse_policy
from savoryrudder.policy.diff import compare_policies
from savoryrudder.policy.model import Limits
from savoryrudder.policy.model import Policy

_CONFIG_PATH: Final = '/v1/config'
# The delays add up to more than the 12 s within which a revision reaches every
# entry.
_RESOLVE_ATTEMPTS: Final = 5
_INITIAL_DELAY_S: Final = 0.5
_EMPTY_POLICY: Final = Policy({}, {}, {}, Limits(0, 0, 0))


class Configuration(msgspec.Struct, frozen=True):
    """Hold the configuration in force and the token of its write."""

    revision: int
    text: str
    author: str = ''
    applied_at: str = ''
    token: str = ''


class Applied(msgspec.Struct, frozen=True):
    """Report that the new text is in the store at a revision."""

    revision: int


class RaceLost(msgspec.Struct, frozen=True):
    """Report that another operator's configuration is in force.

    `certain` is false if the submitted text may have been in force before it.
    """

    revision: int
    author: str
    text: str
    certain: bool = True


class FindingRow(msgspec.Struct, frozen=True):
    """Hold a finding as an entry reports it."""

    line: int
    column: int
    key: str
    message: str


class FindingsReported(msgspec.Struct, frozen=True):
    """Report that the entry rejected the text because of findings."""

    findings: tuple[FindingRow, ...]


class Refused(NamedTuple):
    """Report a refusal for another reason; nothing was written."""

    detail: str


class Unresolved(NamedTuple):
    """Report that it is unknown whether the text was written.

    `conflict` is true once the store holds a revision other than the expected
    one: a repeated write would fail, and only a read settles the outcome.
    """

    detail: str
    conflict: bool


ApplyOutcome: TypeAlias = (
    Applied | RaceLost | FindingsReported | Refused | Unresolved
)


_OUTCOME_TYPES: Final = MappingProxyType[int, type[ApplyOutcome]](
    {
        HTTPStatus.OK: Applied,
        HTTPStatus.CONFLICT: RaceLost,
        HTTPStatus.UNPROCESSABLE_ENTITY: FindingsReported,
    },
)


class ConfigurationUpdate(NamedTuple):
    """Hold a text to write over a revision, with its unique write token."""

    text: str
    expected_revision: int
    author: str
    token: str


async def fetch_configuration(
    client: EntryClient,
) -> Result[Configuration, str]:
    """Return the configuration in force at the first entry that responds."""
    response = await client.call(Request('GET', _CONFIG_PATH))
    if response.is_error():
        return Error(response.error)
    if response.ok.status != HTTPStatus.OK:
        return Error(response.ok.problem)
    return response.ok.decode(Configuration)


async def apply_update(
    client: EntryClient, update: ConfigurationUpdate
) -> ApplyOutcome:
    """Write a text by compare-and-swap.

    If the response is lost, the configuration is read back. The write is
    repeated only after a read that shows the expected revision; if the lost
    write takes effect later, the repeated one fails.
    """
    outcome = await _write_once(client, 0, update)
    attempt = 0
    while isinstance(outcome, Unresolved) and attempt < _RESOLVE_ATTEMPTS:
        await anyio.sleep(_INITIAL_DELAY_S * 2**attempt)
        attempt += 1
        outcome = await _resolve_outcome(client, attempt, update, outcome)
    return outcome


def describe_difference(old: str, new: str) -> list[str]:
    """Return one line for each key that differs between two texts.

    `new` must be free of findings. If `old` has findings, because another
    version wrote it, the texts are compared line by line.
    """
    before = parse_policy(old).default_value(_EMPTY_POLICY)
    if old.strip() and before is _EMPTY_POLICY:
        return list(
            difflib.unified_diff(old.splitlines(), new.splitlines()),
        )
    after = parse_policy(new).default_value(_EMPTY_POLICY)
    return [str(change) for change in compare_policies(before, after)]


async def _resolve_outcome(
    client: EntryClient,
    attempt: int,
    update: ConfigurationUpdate,
    outcome: Unresolved,
) -> ApplyOutcome:
    fetched = await fetch_configuration(client)
    if fetched.is_error():
        return outcome._replace(detail=fetched.error)
    current = fetched.ok
    if current.token == update.token:
        return Applied(current.revision)
    if current.revision != update.expected_revision:
        return _classify_conflict(current, update)
    if outcome.conflict:
        # The entry that was read lags behind the store.
        return outcome
    repeated = await _write_once(client, attempt, update)
    if isinstance(repeated, RaceLost):
        # The conflict may be with an earlier attempt of this write.
        return Unresolved('the entries disagree on the revision', True)
    return repeated


def _classify_conflict(
    current: Configuration, update: ConfigurationUpdate
) -> ApplyOutcome:
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
        current.revision == update.expected_revision + 1,
    )


async def _write_once(
    client: EntryClient,
    attempt: int,
    update: ConfigurationUpdate,
) -> ApplyOutcome:
    entry = client.entries[attempt % len(client.entries)]
    body = msgspec.json.encode(update._asdict())
    response = await client.call_entry(
        entry,
        Request('POST', _CONFIG_PATH, body=body),
    )
    if response.is_error():
        return _unresolved(response.error)
    return _decode_outcome(response.ok)


def _decode_outcome(response: Response) -> ApplyOutcome:
    outcome_type = _OUTCOME_TYPES.get(response.status)
    if outcome_type is not None:
        # A malformed response is treated like a lost one.
        return response.decode(outcome_type).default_with(_unresolved)
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _unresolved(response.problem)
    return Refused(response.problem)


def _unresolved(detail: str) -> ApplyOutcome:
    return Unresolved(detail, conflict=False)
