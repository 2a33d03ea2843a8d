"""Run the entry and agent reducers on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any
from typing import Final
from typing import TypeAlias

from bench.workload import AGENTS
from bench.workload import CLIENT_LATENCY_S
from bench.workload import SLOTS
from bench.workload import BenchJob
from savoryrudder.agent import events as agent_events
from savoryrudder.agent import reducer as agent_reducer
from savoryrudder.agent import state as agent_states
from savoryrudder.agent.effects import CallUpstream
from savoryrudder.agent.effects import StopUpstreamCall
from savoryrudder.entry import documents
from savoryrudder.entry import effects as entry_effects
from savoryrudder.entry import events as entry_events
from savoryrudder.entry import reducer as entry_reducer
from savoryrudder.entry.state import EntryIdentity
from savoryrudder.entry.state import EntryState
from savoryrudder.protocol import messages
from savoryrudder.store import interface
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Send
from savoryrudder.utils.identifiers import digest_of

_Action: TypeAlias = Callable[[], None]

TICK_S: Final = 0.05
SAME_ZONE_S: Final = 0.0002
EPOCH_S: Final = 1_800_000_000
WARM_UP_S: Final = 2
_ZONES: Final = 3
OPERATIONS: Final = ('quote', 'plan', 'sheet')


@dataclass
class Behaviour:
    """Describe an upstream: a factor on durations, and if all tasks fail."""

    slowness: float = 1
    failing: bool = False


@dataclass
class Outcome:
    """Hold the answer to a job and its response time for the caller."""

    answer: messages.Answer
    response_s: float


@dataclass
class Figures:
    """Hold the results of a run.

    `starts` lists (start, agent, job key, band, service seconds).
    """

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    frames: Counter[str] = field(default_factory=Counter)
    kinds: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    starts: list[tuple[float, int, str, str, float]] = field(
        default_factory=list,
    )
    late_starts: int = 0
    refusal_cpu_s: list[float] = field(default_factory=list)


class Store:
    """Answer store calls from memory."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.items: dict[str, interface.KeyValue] = {}
        self.version = 0

    def put(self, key: str, text: str) -> None:
        """Write a key."""
        self.version += 1
        self.items[key] = interface.KeyValue(key, self.version, text)

    def call(self, operation: Any) -> interface.StoreOutcome:
        """Carry out an operation other than a watch."""
        if isinstance(operation, interface.CompareAndSwap):
            return self._swap(operation)
        if isinstance(operation, interface.ReadKey):
            absent = interface.KeyValue(operation.key, 0, None)
            return self.items.get(operation.key, absent)
        return interface.LeaseHeld('lease', 6)

    def snapshot(self, prefix: str) -> interface.Snapshot:
        """Return all keys below a prefix."""
        matching = [
            item for key, item in self.items.items() if key.startswith(prefix)
        ]
        return interface.Snapshot(self.version, tuple(matching))

    def _swap(
        self, operation: interface.CompareAndSwap
    ) -> interface.StoreOutcome:
        absent = interface.KeyValue(operation.key, 0, None)
        current = self.items.get(operation.key, absent)
        if current.version != operation.expected_version:
            return interface.SwapConflict(current)
        self.put(operation.key, operation.value or '')
        return interface.Swapped(self.version)


class Simulation:
    """Run entries and agents without sockets."""

    def __init__(
        self,
        policy: str,
        entries: int = 1,
        latency_s: float = 0.0015,
        behaviours: dict[int, Behaviour] | None = None,
        prefetch: int = 0,
    ) -> None:
        """Start all processes and give them time to connect."""
        self.figures = Figures()
        self.now: float = 0
        self._latency_s = latency_s
        self._behaviours = behaviours or {}
        self._queue: list[tuple[float, int, _Action]] = []
        self._sequence = itertools.count()
        self._store = Store()
        self._store.put(
            documents.CONFIG_KEY,
            documents.encode(
                {
                    'text': policy,
                    'author': 'bench',
                    'applied_at': '',
                    'token': '',
                },
            ),
        )
        self._watches: list[tuple[str, int, int]] = []
        self._last_frames: dict[tuple[str, str], float] = {}
        self._last_arrivals: dict[tuple[str, str], float] = {}
        self._jobs: dict[int, BenchJob] = {}
        self._running: set[messages.TaskKey] = set()
        self.entries = {
            f'entry{number}#1': EntryState(
                EntryIdentity(
                    f'entry{number}#1',
                    f'entry{number}',
                    '',
                    f'zone{number % _ZONES}',
                    600,
                    2,
                ),
                random.Random(number),
            )
            for number in range(entries)
        }
        self.agents = {
            f'agent{number}': agent_states.new_state(
                agent_states.Identity(
                    f'agent{number}',
                    'i1',
                    'pane',
                    f'zone{number % _ZONES}',
                    SLOTS,
                    130_000,
                    OPERATIONS,
                ),
                agent_states.Limits(prefetch=prefetch),
            )
            for number in range(AGENTS)
        }
        self._start_processes()

    def schedule_jobs(self, jobs: list[BenchJob]) -> None:
        """Schedule the arrival of jobs."""
        for job in jobs:
            number = len(self._jobs) + 1
            self._jobs[number] = job
            names = list(self.entries)
            name = names[number % len(names)]
            self._schedule(
                job.arrival + CLIENT_LATENCY_S,
                partial(self._submit, name, number),
            )

    def run(self, until: float) -> Figures:
        """Run all actions due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            event = heapq.heappop(self._queue)
            self.now = event[0]
            event[2]()
        return self.figures

    def _schedule(self, due_at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_at, next(self._sequence), action))

    def _start_processes(self) -> None:
        for name in self.entries:
            self._tick_entry(name)
        for name in self.agents:
            self._tick_agent(name)
            for entry in self.entries:
                self._post_to_agent(
                    name, agent_events.LinkUp(self.now, entry, 'session')
                )
        self.run(WARM_UP_S)
        self.figures.frames.clear()
        self.figures.kinds.clear()
        self.figures.counts.clear()

    def _tick_entry(self, name: str) -> None:
        self._post_to_entry(
            name, entry_events.Tick(self.now, EPOCH_S + self.now)
        )
        self._schedule(self.now + TICK_S, lambda: self._tick_entry(name))

    def _tick_agent(self, name: str) -> None:
        self._post_to_agent(name, agent_events.Tick(self.now))
        self._schedule(self.now + 2 * TICK_S, lambda: self._tick_agent(name))

    def _submit(self, entry: str, number: int) -> None:
        job = self._jobs[number]
        specs = tuple(
            messages.TaskSpec(task.operation, f'{number} {index}'.encode())
            for index, task in enumerate(job.tasks)
        )
        started = time.perf_counter()
        self._post_to_entry(
            entry,
            entry_events.JobSubmitted(
                self.now,
                EPOCH_S + self.now,
                number,
                messages.Job(
                    job.client,
                    job.key,
                    'pane',
                    job.urgency,
                    int(job.deadline_s * 1000),
                    specs,
                    digest_of(job.key.encode()),
                    '',
                ),
                600,
            ),
        )
        outcome = self.figures.outcomes.get(job.key)
        if outcome and outcome.answer.status == 'refused':
            self.figures.refusal_cpu_s.append(time.perf_counter() - started)

    def _post_to_entry(self, name: str, event: Any) -> None:
        for effect in entry_reducer.reduce(self.entries[name], event):
            self._execute_entry_effect(name, effect)

    def _post_to_agent(self, name: str, event: Any) -> None:
        for effect in agent_reducer.reduce(self.agents[name], event):
            if isinstance(effect, Send):
                self._send(name, effect)
            elif isinstance(effect, CallUpstream):
                self._call_upstream(name, effect)
            elif isinstance(effect, StopUpstreamCall):
                self._finish(name, effect.task, 'failed', b'')
            else:
                self._count(effect)

    def _count(self, effect: Any) -> None:
        if isinstance(effect, Count):
            self.figures.counts[effect.name] += effect.amount

    def _execute_entry_effect(
        self, name: str, effect: entry_effects.EntryEffect
    ) -> None:
        if isinstance(effect, Send):
            self._send(name, effect)
        elif isinstance(effect, entry_effects.Reply):
            job = self._jobs[effect.request_id]
            end = self.now + CLIENT_LATENCY_S
            self.figures.outcomes[job.key] = Outcome(
                effect.answer,
                end - job.arrival,
            )
        elif isinstance(effect, entry_effects.CallStore):
            self._call_store(name, effect)
        elif isinstance(effect, entry_effects.ConnectPeer):
            self._link_peers(name, f'{effect.address}#1')
        else:
            self._count(effect)

    def _link_peers(self, first: str, second: str) -> None:
        for name, peer in ((first, second), (second, first)):
            address = self.entries[peer].identity.address
            hello = messages.PeerHello(peer, address)
            self._schedule(
                self.now + TICK_S,
                partial(self._receive, name, peer, hello),
            )

    def _call_store(
        self,
        name: str,
        effect: entry_effects.CallStore,
    ) -> None:
        operation = effect.operation
        if isinstance(operation, interface.WatchPrefix):
            self._watches.append((name, effect.call, operation.after_version))
        else:
            outcome = self._store.call(operation)
            self._answer_store(name, effect.call, outcome)
        for watch in tuple(self._watches):
            if watch[2] < self._store.version:
                self._watches.remove(watch)
                snapshot = self._store.snapshot(documents.CLUSTER_PREFIX)
                self._answer_store(watch[0], watch[1], snapshot)

    def _answer_store(
        self,
        name: str,
        call: int,
        outcome: interface.StoreOutcome,
    ) -> None:
        self._schedule(
            self.now + 0.004,
            lambda: self._post_to_entry(
                name,
                entry_events.StoreAnswered(
                    self.now,
                    EPOCH_S + self.now,
                    call,
                    outcome,
                ),
            ),
        )

    def _send(self, sender: str, effect: Send) -> None:
        """Deliver a message; messages sent at the same time share a frame."""
        pair = (sender, effect.peer)
        if self._last_frames.get(pair) != self.now:
            self._last_frames[pair] = self.now
            self.figures.frames[type(effect.message).__name__] += 1
        self.figures.kinds[type(effect.message).__name__] += 1
        delay = self._latency_s
        if sender[-1] == effect.peer[-1]:
            delay = SAME_ZONE_S
        self._last_arrivals[pair] = max(
            self.now + delay,
            self._last_arrivals.get(pair, 0),
        )
        self._schedule(
            self._last_arrivals[pair],
            lambda: self._receive(effect.peer, sender, effect.message),
        )

    def _receive(
        self,
        receiver: str,
        sender: str,
        message: messages.Message,
    ) -> None:
        if receiver in self.agents:
            self._post_to_agent(
                receiver,
                agent_events.MessageReceived(
                    self.now,
                    sender,
                    'session',
                    0,
                    message,
                ),
            )
            return
        self._post_to_entry(
            receiver,
            entry_events.MessageReceived(
                self.now,
                EPOCH_S + self.now,
                sender,
                'session',
                0,
                message,
            ),
        )

    def _call_upstream(self, name: str, effect: CallUpstream) -> None:
        number, index = map(int, effect.payload.split())
        job = self._jobs[number]
        agent = int(name.removeprefix('agent'))
        behaviour = self._behaviours.get(agent, Behaviour())
        service_s = job.tasks[index].service_s * behaviour.slowness
        self.figures.starts.append(
            (self.now, agent, job.key, job.urgency, service_s),
        )
        if self.now > job.arrival + job.deadline_s:
            self.figures.late_starts += 1
        outcome = 'complete'
        if behaviour.failing:
            outcome = 'failed'
            service_s = 0.02
        self._running.add(effect.task)
        self._schedule(
            self.now + service_s,
            lambda: self._finish(name, effect.task, outcome, b'x'),
        )

    def _finish(
        self,
        name: str,
        task: messages.TaskKey,
        outcome: str,
        body: bytes,
    ) -> None:
        if task not in self._running:
            return
        self._running.remove(task)
        self._post_to_agent(
            name,
            agent_events.UpstreamFinished(self.now, task, outcome, body, ''),
        )
