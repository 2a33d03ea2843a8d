"""Define the state of the agent role."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from savoryrudder.agent.records import Record
from savoryrudder.agent.records import RecordBook
from savoryrudder.protocol.messages import Hello
from savoryrudder.protocol.messages import TaskKey

_RETENTION_S: Final = 600.0
_STOP_TIMEOUT_S: Final = 30.0
_MAX_RECORDS: Final = 100_000
_MAX_RESULT_BYTES: Final = 64 * 1024 * 1024
_PAGE_BYTES: Final = 2 * 1024 * 1024


class Identity(NamedTuple):
    """Describe the agent and the upstream beside it."""

    agent: str
    incarnation: str
    service: str
    zone: str
    slots: int
    memory_mb: int
    operations: tuple[str, ...]


class Limits(NamedTuple):
    """Bound what the agent accepts, keeps and sends.

    `prefetch` is the number of credits beyond the slots at all times,
    `max_prefetch` what entries may ask for besides. `page_bytes` bounds the
    results in one answer to a claim: all results kept exceed what a link takes
    at once.
    """

    prefetch: int = 0
    retention_s: float = _RETENTION_S
    stop_timeout_s: float = _STOP_TIMEOUT_S
    max_records: int = _MAX_RECORDS
    max_result_bytes: int = _MAX_RESULT_BYTES
    page_bytes: int = _PAGE_BYTES
    max_prefetch: int = 10


class Ownership(NamedTuple):
    """Name the entry that holds a partition, and its epoch."""

    epoch: int
    entry: str


@dataclass(slots=True)
class Link:
    """Hold the state of one open session with an entry.

    `credits` are granted and unused; `recalled` is the size of the open
    recall. `requested` is the highest revision asked for; it stays after the
    answer so that an entry that sends less than it announces is not asked in
    a loop. `withheld` are ended tasks that did not fit into the answer to a
    claim.
    """

    session: str
    ready: bool = False
    claimed: set[int] = field(default_factory=set)
    credits: int = 0
    demand: int = 0
    prefetch: int = 0
    granted_at: int = 0
    recalled: int = 0
    recall_after: float = 0
    fetching: bool = False
    requested: int = 0
    withheld: deque[Record] = field(default_factory=deque)


@dataclass(slots=True)
class AgentState:
    """Hold everything that the agent knows.

    `calls` are the upstream calls in progress, `waiting` the accepted tasks
    without a slot, `occupied` how many of both each entry has.
    """

    identity: Identity
    limits: Limits
    book: RecordBook
    links: dict[str, Link] = field(default_factory=dict)
    ownership: dict[int, Ownership] = field(default_factory=dict)
    calls: dict[TaskKey, Record] = field(default_factory=dict)
    waiting: dict[TaskKey, Record] = field(default_factory=dict)
    occupied: dict[str, int] = field(default_factory=dict)
    held: list[tuple[str, Record]] = field(default_factory=list)
    held_until: float = 0
    grants: int = 0
    limit_reached: bool = False
    revision: int = 0
    config_text: str = ''
    leaving: bool = False
    exit_at: float = 0
    exited: bool = False

    @property
    def hello(self) -> Hello:
        """Return the announcement that opens a session."""
        return Hello(*self.identity, leaving=self.leaving)

    @property
    def prefetched(self) -> int:
        """Return the credits beyond the usual ones that every entry wants.

        One entry alone may not ask: prefetching makes the others wait.
        """
        asked = [link.prefetch for link in self.links.values() if link.ready]
        return min(*asked, self.limits.max_prefetch) if asked else 0

    @property
    def capacity(self) -> int:
        """Return the number of tasks that all entries together may place."""
        usual = self.identity.slots + self.limits.prefetch
        return usual + self.prefetched

    @property
    def granted(self) -> int:
        """Return the number of granted and unused credits."""
        return sum([link.credits for link in self.links.values()])

    @property
    def at_limit(self) -> bool:
        """Return whether the bound on records or results is reached."""
        return (
            len(self.book) >= self.limits.max_records
            or self.book.result_bytes > self.limits.max_result_bytes
        )

    def owns(self, entry: str, partition: int) -> bool:
        """Return whether no other entry holds a partition."""
        owner = self.ownership.get(partition)
        return owner is None or owner.entry == entry

    def accept_epoch(self, entry: str, partition: int, epoch: int) -> bool:
        """Raise a partition's epoch unless a newer owner is known.

        Two owners never share an epoch, since each change of owner
        increments it; the second of two is refused like an older one.
        """
        owner = self.ownership.get(partition)
        if owner and owner.epoch >= epoch:
            return owner == (epoch, entry)
        self.ownership[partition] = Ownership(epoch, entry)
        return True

    def receiver(self, partition: int) -> str | None:
        """Return the owner if its session has claimed the partition."""
        owner = self.ownership.get(partition)
        link = self.links.get(owner.entry) if owner else None
        if owner and link and partition in link.claimed:
            return owner.entry
        return None

    def occupy(self, entry: str) -> None:
        """Count one more accepted task of an entry."""
        self.occupied[entry] = self.occupied.get(entry, 0) + 1

    def vacate(self, entry: str) -> None:
        """Count one task less of an entry."""
        left = self.occupied.pop(entry) - 1
        if left:
            self.occupied[entry] = left


def new_state(identity: Identity, limits: Limits) -> AgentState:
    """Create the state of an agent that has just started."""
    book = RecordBook(limits.retention_s, limits.max_result_bytes)
    return AgentState(identity, limits, book)
