"""Run real reducers with fakes of everything around them."""

from __future__ import annotations

import random
from typing import Any

from fakes.callers import CLIENT
from fakes.callers import Callers
from fakes.clock import Clock
from fakes.links import SILENCE_TIMEOUT_S
from fakes.links import Links
from fakes.processes import Process
from fakes.store import FakeStore
from fakes.upstream import Upstreams

from savoryrudder.agent import state as agent_state
from savoryrudder.entry import documents
from savoryrudder.entry import state as entry_state
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.identifiers import submission_id

OPERATIONS = ('cutting-plan', 'sheet-quote')
POLICY = """
[services.pane.operations]
cutting-plan = { idempotent = false, expected_ms = 400 }
sheet-quote = { idempotent = true, expected_ms = 100 }
[clients.shop]
rate = 100000
burst = 100000
concurrent = 100000
"""


def config_value(text: str, token: str) -> str:
    """Return the value that the store holds for a configuration."""
    fields = {'text': text, 'author': 'op', 'applied_at': '', 'token': token}
    return documents.encode(fields)


class World:
    """Run processes on hosts: entries on `e1`, ..., agents on `a1`, ...

    A process that is restarted on its host gets a new incarnation; the name
    of an entry contains it, the name of an agent does not.
    """

    policy = POLICY
    service = 'pane'
    operations = OPERATIONS

    def __init__(self, oracle: Any, seed: int, **sizes: int) -> None:
        """Start all processes and give them time to connect."""
        self.oracle = oracle
        self.clock = Clock(seed)
        self.links = Links(self.clock)
        self.store = FakeStore(self.clock)
        self.upstreams = Upstreams(self)
        self.callers = Callers(self)
        self.observers: list[Any] = []
        self.processes: dict[str, Process] = {}
        self.operator_answers: dict[int, Any] = {}
        self._incarnations = 0
        self.store.write(
            documents.CONFIG_KEY, config_value(self.policy, 'first')
        )
        for number in range(sizes.get('entries', 3)):
            self.start(f'e{number + 1}')
        for number in range(sizes.get('agents', 3)):
            self.start(f'a{number + 1}')
        self._connect()
        self.clock.run(sizes.get('settle_s', 3))

    def start(self, host: str) -> None:
        """Start a process on a host, with an empty state."""
        self._incarnations += 1
        name = host
        if host.startswith('e'):
            name = f'{host}#{self._incarnations}'
            addresses = (f'tcp://{host}', f'http://{host}')
            entry = (name, *addresses, 'zale', 600, 2)
            state: Any = entry_state.EntryState(
                entry_state.EntryIdentity(*entry),
                random.Random(self._incarnations),
            )
        else:
            agent = (host, f'i{self._incarnations}', self.service, 'zale')
            state = agent_state.new_state(
                agent_state.Identity(*agent, 4, 512, self.operations),
                agent_state.Limits(),
            )
        self.processes[host] = Process(self, name, state)

    def pick_entry(self) -> Process | None:
        """Return a random entry that a load balancer would choose."""
        entries = [
            process
            for process in self.processes.values()
            if process.is_entry and process.alive and not process.frozen
        ]
        return self.clock.randomness.choice(entries) if entries else None

    def owner_of(self, key: str) -> str:
        """Return the host of the owner of a key, by the map in the store."""
        stored = self.store.read(documents.PARTITIONS_KEY)
        partition = partition_of(submission_id(CLIENT, key))
        owner = documents.decode_owners(stored.value)[partition].owner
        return owner.partition('#')[0]

    def config_revision(self) -> int:
        """Return the revision of the configuration in the store."""
        return self.store.read(documents.CONFIG_KEY).version

    def drain(self, host: str, timeout_s: float = 30) -> None:
        """Request a graceful stop of a process."""
        self.processes[host].post('DrainRequested', timeout_s)

    def kill(self, host: str, back_after: float | None = None) -> None:
        """Kill a process and restart it after a delay, if one is given."""
        self.processes[host].kill()
        if back_after is not None:
            self.clock.after(back_after, self.ensure_started, host)

    def ensure_started(self, host: str) -> None:
        """Start a process unless it is alive."""
        if not self.processes[host].alive:
            self.start(host)

    def freeze(self, host: str, seconds: float) -> None:
        """Freeze a process for a time; its peers notice after 3 s."""
        process = self.processes[host]
        if process.alive and not process.frozen:
            process.frozen = True
            self.clock.after(SILENCE_TIMEOUT_S, self._notice_frozen, process)
            self.clock.after(seconds, process.thaw)

    def end_faults(self) -> None:
        """End all faults; thaw and restart all processes."""
        self.store.down = False
        self.store.cut_off.clear()
        self.store.delay_s = 0.005
        self.store.lose_answers.clear()
        self.links.blocked.clear()
        self.links.delay_s = 0.002
        self.links.corrupt_results = False
        self.upstreams.modes.clear()
        for host in list(self.processes):
            if self.processes[host].frozen:
                self.processes[host].thaw()
            self.ensure_started(host)

    def notify_observers(
        self, process: Process, event: Any, effects: Any
    ) -> None:
        """Pass an event and its effects to the observers."""
        for observer in self.observers:
            observer(process, event, effects)

    def _notice_frozen(self, process: Process) -> None:
        if process.frozen:
            self.links.drop(process.name)

    def _connect(self) -> None:
        processes = self.processes.values()
        self.links.connect(
            [
                process
                for process in processes
                if process.alive and not process.frozen
            ]
        )
        self.clock.after(0.5, self._connect)
