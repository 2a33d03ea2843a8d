"""Define the state of the entry reducer."""

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
    """Hold the name, addresses and fixed settings of an entry process.

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
    """Identify a request that waits for an answer.

    `request_id` is its number at this entry or, if a peer forwarded it, at that
    `peer`; `peer` is empty for a request from a caller of this entry.
    """

    peer: str
    request_id: int


@dataclasses.dataclass(slots=True)
class TaskState:
    """Track a task: queued, sent, complete, failed, not-run or unknown."""

    status: str
    agent: str = ''
    incarnation: str = ''
    result: bytes = b''
    reason: str = ''
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Submission:
    """Track an accepted job, kept until the retention of its answer ends."""

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
    """Hold back a request until its partition is open or its time is up.

    `received` is the earliest time at which any entry may have received it.
    The caller waits until `wait_until`, routing is retried until `give_up_at`.
    """

    waiter: Waiter
    kind: str
    client: str
    key: str
    job: Job | None
    received: float
    wait_until: float
    give_up_at: float
    forwarded_to: str = ''
    handed_over: bool = False


@dataclasses.dataclass(slots=True)
class OwnedPartition:
    """Track a partition that this entry owns.

    `awaited_agents` maps the agents (name, incarnation) whose records are
    missing to their roster entries. `roster_incomplete` is set if that list may
    be incomplete. `refusals_lost` is set if the former owner failed, since it
    could not pass on its refusals.
    """

    epoch: int
    gained_at: float
    gained_wall: float
    awaited_agents: dict[tuple[str, str], RosterAgent]
    roster_incomplete: bool = False
    refusals_lost: bool = False
    stale: bool = False


@dataclasses.dataclass(slots=True)
class AgentLink:
    """Track the session with an agent.

    `claimed` is set by its first answer to a claim, `usable` once the peers
    have it in this entry's roster. `demand` and `prefetch` are the values that
    were last sent to it.
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
    """Record an agent whose session ended with tasks outstanding."""

    incarnation: str
    since: float


@dataclasses.dataclass(slots=True)
class PeerLink:
    """Track another entry, linked or not; `session` is empty without a link.

    `confirmed_sequence` is the sequence number of this entry's roster that the
    peer confirmed last. `unregistered` is set once the peer is not registered
    any more. The peer's promise not to take over is valid until
    `promise_received_until`, the promise given to it until
    `promise_given_until`. `echo_ms` is the time in its last promise.
    """

    name: str
    address: str
    session: str = ''
    heard_at: float = 0
    revision: int = 0
    confirmed_sequence: int = 0
    session_count: int = 0
    unregistered: bool = False
    registration_read_at: float = 0
    promise_received_until: float = 0
    promise_given_until: float = 0
    echo_ms: int = 0


class PeerRoster(NamedTuple):
    """Hold the agents that a peer may have used.

    `heard_at` is the time of the peer's last message. Until `incomplete_until`
    (UTC seconds) the list may be incomplete.
    """

    agents: tuple[RosterAgent, ...]
    heard_at: float
    incomplete_until: float


@dataclasses.dataclass(slots=True)
class StoreSession:
    """Track the lease, registration and watch of this entry at the store."""

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
    snapshot_at: float = 0
    available: bool = True
    restored_at: float = 0


class EntryDocument(TypedDict):
    """Hold an entry's registration: addresses and whether it is draining."""

    address: str
    http: str
    draining: bool


class PendingCall(NamedTuple):
    """Record the purpose of a store call whose outcome is pending."""

    kind: str
    context: ConfigSubmitted | str | None


class PartitionOwner(NamedTuple):
    """Hold the owner of a partition, its epoch and the former owner."""

    owner: str
    epoch: int
    former: str


class PendingClaim(NamedTuple):
    """Record a claim that an agent has not answered yet."""

    agent: str
    session: str
    partitions: tuple[int, ...]


class RecoveredRecord(NamedTuple):
    """Hold an agent's record of a task whose job this entry does not have."""

    agent: str
    incarnation: str
    record: TaskRecord


class PastRefusal(NamedTuple):
    """Hold a refusal to repeat to copies received before `repeat_until`."""

    repeat_until: float
    client: str
    key: str
    answer: Answer


@dataclasses.dataclass(slots=True)
class ClientTerms:
    """Track the stored terms of a client; `expires` is in UTC seconds.

    `token` identifies a renewal whose outcome is not known yet.
    """

    step: int = 0
    expires: float = 0
    version: int = 0
    loaded: bool = False
    pending_call: str = ''
    token: str = ''
    proposed_value: str = ''
    read_at: float = 0
    renew_at: float = 0


RecoveredTasks: TypeAlias = dict[int, RecoveredRecord]


@dataclasses.dataclass
class EntryState:
    """Hold the complete state of the entry reducer.

    `roster` lists the agents (name, incarnation) that this entry may have used,
    `rosters` holds the rosters of its peers. `parked_requests` wait to
    be routed again, `forwarded_requests` wait for another entry's answer.
    `waiting_requests` maps a request to the submission whose answer it waits
    for. The lists `deadlines`, `retention_expiry`, `refusal_expiry`,
    `delayed_tasks` and `wait_limits` are heaps ordered by monotonic seconds.
    """

    identity: EntryIdentity
    rng: random.Random
    admission: Admission = dataclasses.field(default_factory=Admission)
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    policy: Policy | None = None
    revision: int = 0
    config_text: str = ''
    config_author: str = ''
    config_token: str = ''
    config_applied_at: str = ''
    store: StoreSession = dataclasses.field(default_factory=StoreSession)
    pending_calls: dict[int, PendingCall] = dataclasses.field(
        default_factory=dict
    )
    next_call_id: int = 1
    next_request_id: int = 1
    map_version: int = 0
    owner_candidates: tuple[str, ...] = ()
    preferred_owners: dict[int, str] = dataclasses.field(default_factory=dict)
    owners: dict[int, PartitionOwner] = dataclasses.field(default_factory=dict)
    owned: dict[int, OwnedPartition] = dataclasses.field(default_factory=dict)
    absent_since: dict[str, float] = dataclasses.field(default_factory=dict)
    live_entries: dict[str, EntryDocument] = dataclasses.field(
        default_factory=dict
    )
    peers: dict[str, PeerLink] = dataclasses.field(default_factory=dict)
    rosters: dict[str, PeerRoster] = dataclasses.field(default_factory=dict)
    roster: dict[tuple[str, str], RosterAgent] = dataclasses.field(
        default_factory=dict,
    )
    roster_sequence: int = 0
    roster_changed: bool = False
    agents: dict[str, AgentLink] = dataclasses.field(default_factory=dict)
    lost_agents: dict[str, LostAgent] = dataclasses.field(default_factory=dict)
    claims: dict[int, PendingClaim] = dataclasses.field(default_factory=dict)
    outstanding: dict[str, dict[TaskKey, None]] = dataclasses.field(
        default_factory=dict,
    )
    submissions: dict[bytes, Submission] = dataclasses.field(
        default_factory=dict,
    )
    recovered: dict[bytes, RecoveredTasks] = dataclasses.field(
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
    retention_expiry: list[tuple[float, bytes]] = dataclasses.field(
        default_factory=list,
    )
    payload_bytes: int = 0
    last_small_job_at: float = 0
    prefetching: bool = False
    retries: RetryBudget = dataclasses.field(default_factory=RetryBudget)
    delayed_tasks: list[tuple[float, TaskKey]] = dataclasses.field(
        default_factory=list,
    )
    terms: dict[str, ClientTerms] = dataclasses.field(default_factory=dict)
    terms_revision: int = 0
    next_terms_call_at: float = 0
    queues: dict[str, ServiceQueue] = dataclasses.field(default_factory=dict)
    hand_overs: dict[int, HandOver] = dataclasses.field(default_factory=dict)
    parked_requests: dict[Waiter, ParkedRequest] = dataclasses.field(
        default_factory=dict,
    )
    wait_limits: list[tuple[float, Waiter]] = dataclasses.field(
        default_factory=list,
    )
    forwarded_requests: dict[int, ParkedRequest] = dataclasses.field(
        default_factory=dict
    )
    waiting_requests: dict[Waiter, bytes] = dataclasses.field(
        default_factory=dict
    )
    roster_sent_at: float = 0
    promised_at: float = 0
    acknowledged_at: float = 0
    drain_started: float | None = None
    drain_deadline: float = 0
    exited: bool = False
