"""Define the state of the agent role."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from savoryrudder.agent.records import Record
from savoryrudder.agent.records import RecordTable
from savoryrudder.protocol.messages import Hello
from savoryrudder.protocol.messages import TaskKey

_RETENTION_S: Final = 600.0
_STOP_TIMEOUT_S: Final = 30.0
_MAX_RECORDS: Final = 100_000
_MAX_RESULT_BYTES: Final = 64 * 1024 * 1024
_PAGE_BYTES: Final = 2 * 1024 * 1024


class Identity(NamedTuple):
    """Describe the agent and the upstream that it calls."""

    agent: str
    incarnation: str
    service: str
    zone: str
    slots: int
    memory_mb: int
    operations: tuple[str, ...]


class Limits(NamedTuple):
    """Bound what the agent accepts, keeps and sends.

    `prefetch` is the number of credits that are always granted beyond the
    slots, `max_prefetch` the most that entries can request in addition.
    `page_bytes` bounds the results in one answer to a claim, because all
    results together can exceed what a link accepts at once.
    """

    prefetch: int = 0
    retention_s: float = _RETENTION_S
    stop_timeout_s: float = _STOP_TIMEOUT_S
    max_records: int = _MAX_RECORDS
    max_result_bytes: int = _MAX_RESULT_BYTES
    page_bytes: int = _PAGE_BYTES
    max_prefetch: int = 10


class Ownership(NamedTuple):
    """Identify the owner of a partition and the epoch of its ownership."""

    epoch: int
    entry: str


@dataclass(slots=True)
class Link:
    """Hold the state of one open session with an entry.

    `credits` are granted and unused; `recalled` is the size of the open
    recall, 0 if there is none. `claimed` holds the partitions that the entry
    has claimed on this session. `requested_revision` is the highest
    configuration revision requested; it is kept after the answer so that an
    entry that announces a newer revision than it sends is not asked in a loop.
    `withheld` are ended tasks that did not fit into the answer to a claim.
    """

    session: str
    ready: bool = False
    claimed: set[int] = field(default_factory=set)
    credits: int = 0
    demand: int = 0
    prefetch: int = 0
    last_grant: int = 0
    recalled: int = 0
    next_recall_at: float = 0
    fetching_config: bool = False
    requested_revision: int = 0
    withheld: deque[Record] = field(default_factory=deque)


@dataclass(slots=True)
class AgentState:
    """Hold the state of an agent.

    `calls` are the tasks whose upstream call is in progress, `waiting` the
    accepted tasks without a slot; `active_tasks` counts both for each entry.
    `delayed_reports` are sent at `delayed_until` at the latest.
    """

    identity: Identity
    limits: Limits
    records: RecordTable
    links: dict[str, Link] = field(default_factory=dict)
    ownership: dict[int, Ownership] = field(default_factory=dict)
    calls: dict[TaskKey, Record] = field(default_factory=dict)
    waiting: dict[TaskKey, Record] = field(default_factory=dict)
    active_tasks: dict[str, int] = field(default_factory=dict)
    delayed_reports: list[tuple[str, Record]] = field(default_factory=list)
    delayed_until: float = 0
    grant_count: int = 0
    was_at_limit: bool = False
    revision: int = 0
    config_text: str = ''
    draining: bool = False
    exit_at: float = 0
    exited: bool = False

    @property
    def hello(self) -> Hello:
        """Return the message that opens a session."""
        return Hello(*self.identity, leaving=self.draining)

    @property
    def agreed_prefetch(self) -> int:
        """Return the number of extra credits that all entries agree on.

        A single entry cannot request prefetching, because it makes the tasks
        of the others wait.
        """
        requests = [link.prefetch for link in self.links.values() if link.ready]
        return min(*requests, self.limits.max_prefetch) if requests else 0

    @property
    def capacity(self) -> int:
        """Return how many tasks all entries together may place here."""
        base = self.identity.slots + self.limits.prefetch
        return base + self.agreed_prefetch

    @property
    def granted_credits(self) -> int:
        """Return the number of granted and unused credits."""
        return sum([link.credits for link in self.links.values()])

    @property
    def at_limit(self) -> bool:
        """Return whether the limit on records or results is reached."""
        return (
            len(self.records) >= self.limits.max_records
            or self.records.result_bytes > self.limits.max_result_bytes
        )

    def owns(self, entry: str, partition: int) -> bool:
        """Return whether no other entry is known to own a partition."""
        owner = self.ownership.get(partition)
        return owner is None or owner.entry == entry

    def accept_epoch(self, entry: str, partition: int, epoch: int) -> bool:
        """Record an entry as a partition's owner unless its epoch is stale.

        Return whether the entry is the owner. Each change of owner increments
        the epoch, so two owners never share one; a second entry with the same
        epoch is refused like one with an older epoch.
        """
        owner = self.ownership.get(partition)
        if owner and owner.epoch >= epoch:
            return owner == (epoch, entry)
        self.ownership[partition] = Ownership(epoch, entry)
        return True

    def linked_owner(self, partition: int) -> str | None:
        """Return the owner if its open session has claimed the partition."""
        owner = self.ownership.get(partition)
        link = self.links.get(owner.entry) if owner else None
        if owner and link and partition in link.claimed:
            return owner.entry
        return None

    def add_active_task(self, entry: str) -> None:
        """Count an accepted task of an entry."""
        self.active_tasks[entry] = self.active_tasks.get(entry, 0) + 1

    def remove_active_task(self, entry: str) -> None:
        """Count the end of an accepted task of an entry."""
        remaining = self.active_tasks.pop(entry) - 1
        if remaining:
            self.active_tasks[entry] = remaining


def new_state(identity: Identity, limits: Limits) -> AgentState:
    """Return the initial state of an agent."""
    records = RecordTable(limits.retention_s, limits.max_result_bytes)
    return AgentState(identity, limits, records)
