"""Define what an entry knows of other entries and of the jobs they share."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from savoryrudder.dispatch.events import JobSubmitted
    from savoryrudder.protocol.delegation import EntryLoad


@dataclass(slots=True)
class PeerView:
    """Hold an entry's view of another entry and the jobs claimed by it.

    `delegated_cpu` counts the millicores of the jobs delegated to it that are
    not included in its `load`, which it told at `load_at`; `announced_load` is
    what it was told last, if it `hears_load` of this entry at all. It refused a
    delegated job last at `refused_at`. It was linked at `linked_at`. Once its
    list of claims is complete, it has told at `told_claims_at` all changes
    until then.
    """

    entry: str
    incarnation: str
    zone: str = ''
    jobs: set[str] = field(default_factory=set)
    load: EntryLoad | None = None
    load_at: float = float('-inf')
    refused_at: float = float('-inf')
    announced_load: EntryLoad | None = None
    delegated_cpu: int = 0
    hears_load: bool = False
    linked_at: float = float('-inf')
    claims_complete: bool = False
    told_claims_at: float = float('-inf')


@dataclass(slots=True)
class Delegation:
    """Hold the submissions of a job that another entry, by its link, runs.

    Its tasks need `cpu` millicores in all. `number` tells it from former
    delegations of the job.
    """

    link: str
    number: int
    cpu: int
    delegated_at: float
    submissions: list[JobSubmitted]


class ForeignRequest(NamedTuple):
    """Identify the request of another entry that delegated a job."""

    link: str
    job: str
    number: int


@dataclass(slots=True)
class ContestedJob:
    """Hold submissions of a job that may still be running at another entry.

    `holders` are the links to the entries that were asked for the job and have
    not answered yet, and `lost_holders` the incarnations of those that were
    lost meanwhile. The runs of these have ended by `settled_at`. A job that
    `awaits_search` came while another entry was looked for, and the
    incarnations in `cleared_by` have told that they do not have the job. One
    that another entry had told to have `may_have_started`.
    """

    submissions: list[JobSubmitted]
    holders: set[str]
    awaits_search: bool = False
    cleared_by: frozenset[str] = frozenset()
    may_have_started: bool = False
    lost_holders: set[str] = field(default_factory=set)
    settled_at: float = 0
    asked_at: float = 0

    def is_settled(self, now: float) -> bool:
        """Return whether no other entry has the job any more."""
        return not self.holders and self.settled_at <= now


@dataclass(slots=True)
class RelayedEntry:
    """Track an entry that was lost, and the agent that reaches it.

    `via` is the link to that agent, if one is known; `unanswered` are the
    links to those that have not told yet whether they reach the entry. The
    path was opened at `opened_at`. An entry that was not linked since the start
    is waited for until `expected_until`.
    """

    lost_at: float
    via: str = ''
    opened_at: float = float('-inf')
    expected_until: float = float('-inf')
    unanswered: set[str] = field(default_factory=set)

    def is_looked_for(self, now: float, search_s: float) -> bool:
        """Return whether it may soon be known if the entry lives."""
        if self.via:
            return False
        if now < self.expected_until:
            return True
        return bool(self.unanswered) and now < self.lost_at + search_s


class OrphanedJob(NamedTuple):
    """Tell by when the runs of a lost entry's job have ended.

    The entry ran as `incarnation`.
    """

    settled_at: float
    incarnation: str


@dataclass(slots=True)
class ClaimChanges:
    """Collect claimed, orphaned and released jobs to announce to entries.

    `announced_at` is the time of the last announcement of changes, and
    `interval_s` the time between two. After `max_interval_s` without changes an
    empty one is sent; the last one was at `refreshed_at`.
    """

    interval_s: float
    max_interval_s: float
    announced_at: float = 0
    refreshed_at: float = 0
    claimed: list[str] = field(default_factory=list)
    orphaned: list[str] = field(default_factory=list)
    released: list[str] = field(default_factory=list)

    @property
    def has_changes(self) -> bool:
        """Return whether there is anything to announce."""
        return bool(self.claimed or self.orphaned or self.released)

    @property
    def due_at(self) -> float:
        """Return when the next announcement is due."""
        if self.has_changes:
            return self.announced_at + self.interval_s
        return max(self.announced_at, self.refreshed_at) + self.max_interval_s
