"""Hold the state of the entry reducer."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias
from typing import TypedDict

from savoryrudder.entry.admission import Admission
from savoryrudder.entry.placement import Fleet
from savoryrudder.entry.retries import RetryBudget

if TYPE_CHECKING:
    from savoryrudder.entry.events import ConfigSubmitted
    from savoryrudder.entry.queueing import ServiceQueue
    from savoryrudder.policy.model import Policy
    from savoryrudder.protocol.messages import Answer
    from savoryrudder.protocol.messages import HandOver
    from savoryrudder.protocol.messages import Job
    from savoryrudder.protocol.messages import RosterAgent
    from savoryrudder.protocol.messages import TaskKey
    from savoryrudder.protocol.messages import TaskRecord

QUEUED = 'queued'
SENT = 'sent'


class EntryIdentity(NamedTuple):
    """Identify an entry process.

    `name` is unique for each run of an entry: its configured identifier, a
    hash sign and its incarnation. `address` is its join address, `http` the
    address for callers and operators.
    """

    name: str
    address: str
    http: str
    zone: str
    retention_s: float
    balancer_delay_s: float


class Waiter(NamedTuple):
    """Identify a request: at this entry, or at the peer that forwarded it."""

    peer: str
    request: int


@dataclasses.dataclass(slots=True)
class TaskState:
    """Track one task: queued, sent, complete, failed, not-run or unknown."""

    status: str
    agent: str = ''
    incarnation: str = ''
    result: bytes = b''
    reason: str = ''
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Submission:
    """Track one accepted job until its answer has been kept long enough."""

    identifier: bytes
    partition: int
    job: Job
    deadline: float
    tasks: list[TaskState]
    unsettled: int
    waiters: dict[Waiter, float]
    answer: Answer | None = None
    failing: bool = False
    withdrawn: bool = False
    held_bytes: int = 0
    work: float = 0


@dataclasses.dataclass(slots=True)
class ParkedRequest:
    """Hold a request until its partition is open or its time is up.

    `received` is the earliest time at which the first entry may have received
    it. The caller waits until `wait_until`, routing is tried until `give_up`.
    """

    waiter: Waiter
    kind: str
    client: str
    key: str
    job: Job | None
    received: float
    wait_until: float
    give_up: float
    forwarded_to: str = ''
    handed_over: bool = False


@dataclasses.dataclass(slots=True)
class OwnedPartition:
    """Track a partition that this entry owns.

    `awaited` holds the agents (name, incarnation) whose records are missing,
    as their rosters show them. `blind` means that further agents may be
    missing. `refusals_lost` is set after the loss of the former owner.
    """

    epoch: int
    gained_at: float
    gained_wall: float
    awaited: dict[tuple[str, str], RosterAgent]
    blind: bool = False
    refusals_lost: bool = False
    stale: bool = False


@dataclasses.dataclass(slots=True)
class AgentLink:
    """Track the session with an agent.

    `claimed` is set by its first answer to a claim, `usable` once the peers
    hold it in their rosters. `demand` and `prefetch` are what it was told last.
    """

    name: str
    incarnation: str
    service: str
    session: str
    operations: tuple[str, ...]
    roster_sequence: int
    revision: int = 0
    claimed: bool = False
    usable: bool = False
    demand: int = 0
    demand_at: float = 0
    prefetch: int = 0
    acknowledgements: list[TaskKey] = dataclasses.field(default_factory=list)


class LostAgent(NamedTuple):
    """Remember an agent whose session ended with tasks outstanding."""

    incarnation: str
    since: float


@dataclasses.dataclass(slots=True)
class PeerLink:
    """Track another entry, linked or not; `session` is empty without a link.

    `roster_held` is the sequence of this entry's roster that the peer has
    confirmed. `gone` means that it is not registered any more. The peer's
    promise not to take over holds until `promise_until`, the own one until
    `promised_until`; `echo_ms` is the time in the peer's last promise.
    """

    name: str
    address: str
    session: str = ''
    heard_at: float = 0
    revision: int = 0
    roster_held: int = 0
    links: int = 0
    gone: bool = False
    asked_at: float = 0
    promise_until: float = 0
    promised_until: float = 0
    echo_ms: int = 0


class PeerRoster(NamedTuple):
    """Keep the agents that a peer may have used and when it last spoke."""

    agents: tuple[RosterAgent, ...]
    heard_at: float
    blind_until: float


@dataclasses.dataclass(slots=True)
class StoreView:
    """Track the lease, the watch and what the store last showed."""

    lease: str = ''
    lease_deadline: float = 0
    renew_at: float = 0
    lease_sent_at: float = 0
    lease_pending: bool = False
    watch_pending: bool = False
    watch_at: float = 0
    watch_version: int = 0
    own_version: int = 0
    registered: bool = False
    registered_lease: str = ''
    register_pending: bool = False
    register_at: float = 0
    swap_pending: bool = False
    seen_at: float = 0
    available: bool = True
    restored_at: float = 0


class EntryDocument(TypedDict):
    """Hold what an entry registers: its addresses and its intent."""

    address: str
    http: str
    draining: bool


class PendingCall(NamedTuple):
    """Remember why a store call was made."""

    kind: str
    context: ConfigSubmitted | str | None


class PartitionOwner(NamedTuple):
    """Name the owner of a partition, its epoch and the owner before."""

    owner: str
    epoch: int
    former: str


class OpenClaim(NamedTuple):
    """Remember a claim that an agent has not answered."""

    agent: str
    session: str
    partitions: tuple[int, ...]


class FoundRecord(NamedTuple):
    """Keep an agent's record of a task whose job is not known here."""

    agent: str
    incarnation: str
    record: TaskRecord


class PastRefusal(NamedTuple):
    """Remember a refusal; copies received before `repeat_until` get it."""

    repeat_until: float
    client: str
    key: str
    answer: Answer


@dataclasses.dataclass(slots=True)
class ClientTerms:
    """Track the stored terms of one client; `expires` is UTC seconds.

    `token` marks a renewal whose outcome is not known yet.
    """

    step: int = 0
    expires: float = 0
    version: int = 0
    known: bool = False
    pending: str = ''
    token: str = ''
    proposed: str = ''
    read_at: float = 0
    renew_at: float = 0


FoundTasks: TypeAlias = dict[int, FoundRecord]


@dataclasses.dataclass
class EntryState:
    """Hold everything that the entry reducer knows.

    `roster` lists the agents (name, incarnation) that this entry may have
    used, `rosters` what peers sent of theirs. `parked` requests wait to be
    routed again, `forwards` wait for another entry's answer. `waiting` names
    the submission whose answer a request waits for. The lists `deadlines`,
    `retention`, `refusal_expiry`, `delayed` and `wait_limits` are heaps by
    monotonic seconds.
    """

    identity: EntryIdentity
    randomness: random.Random
    admission: Admission = dataclasses.field(default_factory=Admission)
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    policy: Policy | None = None
    revision: int = 0
    text: str = ''
    author: str = ''
    token: str = ''
    applied_at: str = ''
    store: StoreView = dataclasses.field(default_factory=StoreView)
    calls: dict[int, PendingCall] = dataclasses.field(default_factory=dict)
    next_call: int = 1
    next_request: int = 1
    map_version: int = 0
    candidates: tuple[str, ...] = ()
    preferred: dict[int, str] = dataclasses.field(default_factory=dict)
    owners: dict[int, PartitionOwner] = dataclasses.field(default_factory=dict)
    owned: dict[int, OwnedPartition] = dataclasses.field(default_factory=dict)
    absent_since: dict[str, float] = dataclasses.field(default_factory=dict)
    live: dict[str, EntryDocument] = dataclasses.field(default_factory=dict)
    peers: dict[str, PeerLink] = dataclasses.field(default_factory=dict)
    rosters: dict[str, PeerRoster] = dataclasses.field(default_factory=dict)
    roster: dict[tuple[str, str], RosterAgent] = dataclasses.field(
        default_factory=dict,
    )
    roster_sequence: int = 0
    roster_changed: bool = False
    agents: dict[str, AgentLink] = dataclasses.field(default_factory=dict)
    lost_agents: dict[str, LostAgent] = dataclasses.field(default_factory=dict)
    claims: dict[int, OpenClaim] = dataclasses.field(default_factory=dict)
    outstanding: dict[str, dict[TaskKey, None]] = dataclasses.field(
        default_factory=dict,
    )
    submissions: dict[bytes, Submission] = dataclasses.field(
        default_factory=dict,
    )
    recovered: dict[bytes, FoundTasks] = dataclasses.field(
        default_factory=dict,
    )
    refusals: dict[bytes, PastRefusal] = dataclasses.field(
        default_factory=dict,
    )
    refusal_expiry: list[tuple[float, bytes]] = dataclasses.field(
        default_factory=list,
    )
    deadlines: list[tuple[float, bytes]] = dataclasses.field(
        default_factory=list,
    )
    retention: list[tuple[float, bytes]] = dataclasses.field(
        default_factory=list,
    )
    payload_bytes: int = 0
    small_job_at: float = 0
    prefetching: bool = False
    retries: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    delayed: list[tuple[float, TaskKey]] = dataclasses.field(
        default_factory=list,
    )
    terms: dict[str, ClientTerms] = dataclasses.field(default_factory=dict)
    terms_revision: int = 0
    terms_call_at: float = 0
    queues: dict[str, ServiceQueue] = dataclasses.field(default_factory=dict)
    hand_overs: dict[int, HandOver] = dataclasses.field(default_factory=dict)
    parked: dict[Waiter, ParkedRequest] = dataclasses.field(
        default_factory=dict,
    )
    wait_limits: list[tuple[float, Waiter]] = dataclasses.field(
        default_factory=list,
    )
    forwards: dict[int, ParkedRequest] = dataclasses.field(default_factory=dict)
    waiting: dict[Waiter, bytes] = dataclasses.field(default_factory=dict)
    roster_sent_at: float = 0
    promised_at: float = 0
    acknowledged_at: float = 0
    drain_started: float | None = None
    drain_deadline: float = 0
    exited: bool = False
