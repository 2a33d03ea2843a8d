"""Measure CPU time, memory and message sizes of an entry.

Run with `python -m bench.entry_cost`. The times are those of the reducer,
without sockets, which `bench.links` and `bench.latency` include.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import msgspec

from savoryrudder.entry import documents
from savoryrudder.entry import effects as entry_effects
from savoryrudder.entry import events
from savoryrudder.entry.reducer import reduce
from savoryrudder.entry.state import EntryIdentity
from savoryrudder.entry.state import EntryState
from savoryrudder.entry.state import PartitionOwner
from savoryrudder.protocol import messages
from savoryrudder.protocol.codec import Frame
from savoryrudder.protocol.codec import encode_frame
from savoryrudder.store import interface
from savoryrudder.utils import effects
from savoryrudder.utils.identifiers import PARTITION_COUNT
from savoryrudder.utils.identifiers import digest_of

if TYPE_CHECKING:
    from collections.abc import Iterable

_AGENT_COUNTS: Final = (10, 100, 1000, 6300)
_JOB_SIZES: Final = (1, 10, 170)
_PEER_COUNTS: Final = (2, 20, 100)
_TASKS: Final = 3400
_TICKS: Final = 100
_US_PER_S: Final = 1_000_000
_SLOTS: Final = 10
# Below the rate limit of the client, so that no job is refused.
_RATE: Final = 100_000
_WALL_CLOCK: Final = 1_800_000_000.0
_NAME: Final = 'e1#a'
_RESULT: Final = bytes(200)
_PAYLOAD: Final = bytes(200)
_CONFIG: Final = """
[services.pane]
default_deadline_ms = 8000
slots = 1
memory_mb = 0
[services.pane.operations.cut]
idempotent = false
expected_ms = 100
[clients.shop]
rate = 1000000.0
burst = 1000000
concurrent = 1000000
highest_urgency = "critical"
lifetime_s = 3600
"""


class Sizes(NamedTuple):
    """Hold the number of agents and peers of an entry."""

    agents: int
    peers: int = 0


class Bench:
    """Simulate an entry whose agents answer without delay."""

    def __init__(self, sizes: Sizes) -> None:
        """Start an entry that owns all partitions."""
        self.now = 100.0
        self.started = 0
        self.sent = 0
        self._jobs = 0
        self._expected = 0
        self.state = EntryState(
            EntryIdentity(_NAME, 'a', 'h', 'zone', 600, 2),
            random.Random(1),
        )
        self._start_entry(sizes)

    def run_jobs(self, size: int, tasks: int) -> float:
        """Submit and finish jobs; return the CPU seconds of the reducer."""
        cpu_s = float(0)
        self._expected += tasks // size * size
        for _ in range(tasks // size):
            self._jobs += 1
            self.now += size / _RATE
            job = messages.Job(
                'shop',
                f'key-{self._jobs}',
                'pane',
                'normal',
                8000,
                (messages.TaskSpec('cut', _PAYLOAD),) * size,
                b'digest',
                '',
            )
            cpu_s += self._reduce(
                events.JobSubmitted(self.now, _WALL_CLOCK, self._jobs, job, 10),
            )
        if self.started < self._expected:
            raise RuntimeError('some jobs were refused')
        return cpu_s

    def run_ticks(self) -> float:
        """Return the CPU seconds of one tick."""
        started_at = time.process_time()
        for _ in range(_TICKS):
            self.now += 0.05
            self.state.store.lease_deadline = self.now + 6
            reduce(self.state, events.Tick(self.now, _WALL_CLOCK))
        return (time.process_time() - started_at) / _TICKS

    def _reduce(self, event: events.EntryEvent) -> float:
        """Reduce an event and the answers of the agents to its effects."""
        queue = [event]
        cpu_s = float(0)
        while queue:
            started_at = time.perf_counter()
            produced_effects = reduce(self.state, queue.pop())
            cpu_s += time.perf_counter() - started_at
            queue.extend(self._agent_answers(produced_effects))
        return cpu_s

    def _agent_answers(
        self,
        produced_effects: Iterable[entry_effects.EntryEffect],
    ) -> Iterable[events.EntryEvent]:
        for effect in produced_effects:
            if not isinstance(effect, effects.Send):
                continue
            self.sent += 1
            message = effect.message
            if isinstance(message, messages.Start):
                self.started += 1
                record = messages.TaskRecord(
                    message.submission,
                    message.task,
                    'complete',
                    _RESULT,
                    digest_of(_RESULT),
                    '',
                    100,
                )
                yield self._message(
                    effect.peer,
                    messages.Finished(record, 1),
                )
            elif isinstance(message, messages.Claim):
                yield self._message(
                    effect.peer,
                    messages.Records(message.request, (), ()),
                )

    def _start_entry(self, sizes: Sizes) -> None:
        reduce(self.state, events.Tick(self.now, _WALL_CLOCK))
        config = documents.encode(
            {'text': _CONFIG, 'author': '', 'applied_at': '', 'token': ''},
        )
        owners = documents.encode_owners(
            {
                number: PartitionOwner(_NAME, 1, '')
                for number in range(PARTITION_COUNT)
            },
        )
        entries = [_NAME, *(f'e{peer + 2}#a' for peer in range(sizes.peers))]
        snapshot = interface.Snapshot(
            9,
            (
                interface.KeyValue(documents.CONFIG_KEY, 1, config),
                interface.KeyValue(documents.PARTITIONS_KEY, 2, owners),
                *(
                    interface.KeyValue(
                        f'{documents.ENTRY_PREFIX}{name}',
                        3,
                        '{"address":"a","http":"h","draining":false}',
                    )
                    for name in entries
                ),
            ),
        )
        for call, pending in list(self.state.pending_calls.items()):
            outcome: interface.StoreOutcome = snapshot
            if pending.kind == 'lease':
                outcome = interface.LeaseHeld('lease', 1e9)
            reduce(
                self.state,
                events.StoreAnswered(self.now, _WALL_CLOCK, call, outcome),
            )
        for name in entries[1:]:
            self._reduce(self._message(name, messages.PeerHello(name, 'a')))
        for number in range(sizes.agents):
            self._link_agent(f'agent-{number}')
        for name in entries[1:]:
            confirmation = messages.RosterAcknowledged(
                self.state.roster_sequence,
            )
            self._reduce(self._message(name, confirmation))
        self.now += 1
        reduce(self.state, events.Tick(self.now, _WALL_CLOCK))

    def _link_agent(self, name: str) -> None:
        hello = messages.Hello(
            name,
            'i1',
            'pane',
            'zone',
            _SLOTS,
            1000,
            ('cut',),
            leaving=False,
        )
        self._reduce(self._message(name, hello))
        self._reduce(self._message(name, messages.GrantCredits(_SLOTS)))

    def _message(
        self,
        peer: str,
        message: messages.Message,
    ) -> events.MessageReceived:
        return events.MessageReceived(
            self.now,
            _WALL_CLOCK,
            peer,
            's1',
            1,
            message,
        )


def main() -> None:
    """Print all tables."""
    _print_cpu()
    _print_memory()
    _print_bytes()


def _print_cpu() -> None:
    _print_row('agents', 'tasks a job', 'us a task')
    for agents in _AGENT_COUNTS:
        bench = Bench(Sizes(agents))
        for size in _JOB_SIZES:
            bench.run_jobs(size, _TASKS)
            cpu_s = min(bench.run_jobs(size, _TASKS) for _ in range(3))
            _print_row(
                agents, size, cpu_s / (_TASKS // size * size) * _US_PER_S
            )
    _print_row()
    _print_row('agents', 'peers', 'us a tick', 'percent of a core')
    for agents in _AGENT_COUNTS:
        _print_tick(Sizes(agents))
    for peers in _PEER_COUNTS:
        _print_tick(Sizes(_AGENT_COUNTS[0], peers))


def _print_tick(sizes: Sizes) -> None:
    cpu_s = Bench(sizes).run_ticks()
    _print_row(sizes.agents, sizes.peers, cpu_s * _US_PER_S, cpu_s * 20 * 100)


def _print_memory() -> None:
    _print_row()
    _print_row('what', 'number', 'bytes each')
    for agents in _AGENT_COUNTS:
        tracemalloc.start()
        bench = Bench(Sizes(agents))
        _print_row('agent', agents, tracemalloc.get_traced_memory()[0] / agents)
        tracemalloc.stop()
        if agents == _AGENT_COUNTS[1]:
            for size in _JOB_SIZES:
                _print_job_memory(bench, size)


def _print_job_memory(bench: Bench, size: int) -> None:
    for jobs in (100, 300, 1000):
        tracemalloc.start()
        bench.run_jobs(size, jobs * size)
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        _print_row(f'answered job of {size}', jobs, used / jobs)


def _print_bytes() -> None:
    record = messages.TaskRecord(
        bytes(16),
        7,
        'complete',
        _RESULT,
        bytes(16),
        '',
        100,
    )
    start = messages.Start(
        bytes(16),
        7,
        3,
        9,
        'cutting-plan',
        _PAYLOAD,
        8000,
        idempotent=False,
        trace='',
    )
    agents = tuple(
        messages.RosterAgent(f'pane-{number}', 'abcdef12', 'pane', 0)
        for number in range(100)
    )
    _print_row()
    _print_row('message', 'bytes beyond payload and result')
    _print_row('frame with a heartbeat', _frame_bytes(messages.Heartbeat()))
    _print_row('start', _overhead_bytes(start, len(_PAYLOAD)))
    _print_row(
        'finished', _overhead_bytes(messages.Finished(record, 1), len(_RESULT))
    )
    keys = tuple((bytes(16), number) for number in range(100))
    _print_row(
        'acknowledged task',
        _overhead_bytes(messages.Acknowledge(keys), 0) / 100,
    )
    _print_row(
        'roster agent', _overhead_bytes(messages.Roster(1, 0, agents), 0) / 100
    )
    owners = {
        number: PartitionOwner('entry-12#abcdef12', 9, 'entry-13#abcdef12')
        for number in range(PARTITION_COUNT)
    }
    size = len(documents.encode_owners(owners))
    _print_row('partition in the map', size / PARTITION_COUNT)
    _print_row('grant', _overhead_bytes(messages.GrantCredits(1), 0))
    _print_row('job as MessagePack', len(msgspec.msgpack.encode(start)))


def _frame_bytes(*sent: messages.Message) -> int:
    return len(encode_frame(Frame('0123456789abcdef', 1000, 1000, sent)))


def _overhead_bytes(message: messages.Message, content_bytes: int) -> int:
    return _frame_bytes(message) - _frame_bytes() - content_bytes


def _print_row(*cells: object) -> None:
    texts = [
        f'{cell:.2f}' if isinstance(cell, float) else str(cell)
        for cell in cells
    ]
    sys.stdout.write(f'{" | ".join(texts)}\n')


if __name__ == '__main__':
    main()
