"""Run the reducers of entries and agents on fake links and executors."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Any

from fakes.clock import Clock
from fakes.executor import FakeExecutor
from fakes.executor_calls import ExecutorCalls
from fakes.fleet_links import FleetLinks

from savoryrudder.dispatch import effects as entry_effects
from savoryrudder.dispatch import events as entry_events
from savoryrudder.dispatch.deadlines import next_tick_at as next_entry_tick_at
from savoryrudder.dispatch.reducer import reduce as reduce_entry
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Queue
from savoryrudder.jobs.model import Resources
from savoryrudder.jobs.model import Step
from savoryrudder.protocol.evacuation import UNREAD_ZONES
from savoryrudder.protocol.evacuation import EvacuatedZones
from savoryrudder.protocol.members import Member
from savoryrudder.utils import effects
from savoryrudder.utils.ticks import TICK_S
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import events as agent_events
from savoryrudder.worker.deadlines import next_tick_at as next_agent_tick_at
from savoryrudder.worker.entry_choice import choose_entries
from savoryrudder.worker.reducer import reduce as reduce_agent
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = 'pane'
QUEUE = Queue('plans', 'shop.example', '/plans/', SERVICE, 0, 2, 1.6, 60)
CONFIGURATION = Configuration(1, {'plans': QUEUE})
CAPACITY = Resources(cpu=8000, memory=4096, gpu=0)
ZONE = 'zone-a'
SETTLE_S = 2.5
HEARTBEAT_S = 1.5
# A process notices that it did not run for this long.
STALL_S = 1
# Ticks at multiples of `TICK_S` may miss a time by the error of their sum.
CLOCK_ERROR_S = 0.001


def job_of(
    name: str,
    tasks: int = 2,
    cpu: int = 2000,
    estimate_ms: int = 200,
) -> JobRequest:
    """Return a job that consists of one step."""
    demand = Resources(cpu, 64, 0)
    step = Step(tasks, demand, estimate_ms, (), '', '', 0)
    return JobRequest(name, 'spec', (step,))


class EntryProcess:
    """Run the reducer of an entry."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        incarnation: str,
        configuration: Configuration,
        zone: str,
        started_at: float = 0,
    ) -> None:
        """Start with a configuration in force."""
        self.name = name
        self.alive = True
        self.frozen = False
        # What its event loop would measure, if anything.
        self.busy_share: float | None = None
        identity = DispatchIdentity(name, incarnation, name, zone)
        self.state = DispatchState(
            identity,
            DispatchTiming(SETTLE_S),
            started_at=started_at,
        )
        self._fleet = fleet
        self._tick_at = fleet.clock.now
        self._deferred: list[Any] = []
        now = fleet.clock.now
        self.post(entry_events.ConfigurationRead(now, configuration))

    def link_up(self, link: str, *, dialled: bool) -> None:
        """Handle an opened link."""
        self.post(entry_events.LinkUp(self._fleet.clock.now, link, dialled))

    def link_down(self, link: str) -> None:
        """Handle a closed link."""
        self.post(entry_events.LinkDown(self._fleet.clock.now, link, 'cut'))

    def receive(self, link: str, message: Any) -> None:
        """Handle a message."""
        now = self._fleet.clock.now
        self.post(entry_events.MessageReceived(now, link, message))

    def tick_if_due(self) -> None:
        """Reduce a tick unless there is nothing to do yet."""
        now = self._fleet.clock.now
        if now >= self._tick_at - CLOCK_ERROR_S:
            self.post(entry_events.Tick(now, self.busy_share))

    def thaw(self, seconds: float) -> None:
        """Resume, and handle what has arrived meanwhile."""
        self.frozen = False
        if seconds >= STALL_S:
            stalled = entry_events.Stalled(self._fleet.clock.now, seconds)
            self.post(stalled)
        deferred = self._deferred
        self._deferred = []
        for event in deferred:
            self.post(event._replace(now=self._fleet.clock.now))

    def post(self, event: Any) -> None:
        """Reduce an event and carry out its effects.

        A frozen entry handles it after its thaw, in the order of arrival.
        """
        if not self.alive:
            return
        if self.frozen:
            self._deferred.append(event)
            return
        for effect in reduce_entry(self.state, event):
            match effect:
                case effects.Send(link, message):
                    self._fleet.links.send(self, link, message)
                case entry_effects.Reply(request, answer):
                    self._fleet.answers[request] = answer
                    self._fleet.answered_at[request] = self._fleet.clock.now
                case effects.SetCarriesWork(link, carries_work):
                    self._fleet.links.set_carries_work(
                        self,
                        link,
                        carries_work=carries_work,
                    )
                case effects.CloseLink(link, _):
                    self._fleet.links.close(link)
                case effects.Log():
                    self._fleet.record_change(self.name, effect)
        now = self._fleet.clock.now
        self._tick_at = next_entry_tick_at(self.state, now)


class AgentProcess:
    """Run the reducer of an agent beside an executor."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        number: int,
        executor: FakeExecutor,
        zone: str,
    ) -> None:
        """Start with a heartbeat of the executor."""
        self.name = name
        self.alive = True
        self.frozen = False
        self.executor = executor
        identity = WorkerIdentity(name, f'{name}#{number}', zone)
        timing = WorkerTiming(1, 0.05)
        fence = int(fleet.clock.now * MS_PER_S)
        self.state = WorkerState(identity, timing, fence)
        self._fleet = fleet
        self._tick_at = fleet.clock.now
        self.receive_heartbeat()

    def receive_heartbeat(self) -> None:
        """Handle a heartbeat of the executor."""
        now = self._fleet.clock.now
        executor = self.executor
        self.post(
            agent_events.ExecutorHeartbeat(
                now,
                executor.name,
                executor.born_ms,
                executor.clock_ms(now),
                SERVICE,
                executor.address,
                (),
                executor.capacity,
                draining=False,
                clock_ms=executor.clock_ms(now),
            ),
        )

    def link_up(self, link: str, *, dialled: bool) -> None:
        """Handle an opened link."""
        self.post(agent_events.LinkUp(self._fleet.clock.now, link))

    def link_down(self, link: str) -> None:
        """Handle a closed link."""
        self.post(agent_events.LinkDown(self._fleet.clock.now, link, 'cut'))

    def receive(self, link: str, message: Any) -> None:
        """Handle a message; a frozen agent drops it."""
        if not self.frozen:
            now = self._fleet.clock.now
            self.post(agent_events.MessageReceived(now, link, message))

    def tick_if_due(self) -> None:
        """Reduce a tick unless there is nothing to do yet."""
        now = self._fleet.clock.now
        if now >= self._tick_at - CLOCK_ERROR_S:
            self.post(agent_events.Tick(now))

    def thaw(self, seconds: float) -> None:
        """Resume after a stall of the given length."""
        self.frozen = False
        self.post(agent_events.Stalled(self._fleet.clock.now, seconds))

    def post(self, event: Any) -> None:
        """Reduce an event and carry out its effects."""
        if not self.alive:
            return
        if self.frozen:
            self._fleet.clock.after(TICK_S, self.post, event)
            return
        current = event._replace(now=self._fleet.clock.now)
        for effect in reduce_agent(self.state, current):
            self._execute(effect)
        now = self._fleet.clock.now
        self._tick_at = next_agent_tick_at(self.state, now)

    def _execute(self, effect: Any) -> None:
        links = self._fleet.links
        match effect:
            case effects.Send(link, message):
                links.send(self, link, message)
            case effects.CloseLink(link, _):
                links.close(link)
            case effects.SetCarriesWork(link, carries_work):
                links.set_carries_work(self, link, carries_work=carries_work)
            case effects.Log():
                self._fleet.record_change(self.name, effect)
            case effects.Count() | effects.Observe() | effects.Exit():
                return
            case _:
                self._fleet.calls.send(self.executor, effect, self.post)


class Fleet:
    """Run entries and agents on a virtual clock and check the executors."""

    def __init__(
        self,
        seed: int,
        entries: int = 2,
        agents: int = 3,
        configuration: Configuration = CONFIGURATION,
        executors: Sequence[FakeExecutor] = (),
        zones: Sequence[str] = (ZONE,),
        agent_zones: Sequence[str] = (ZONE,),
    ) -> None:
        """Start all processes and let them connect.

        If `executors` are given, each of them gets an agent. The entries stand
        in the `zones` in turn, and the agents in the `agent_zones`.
        """
        self._zones = zones
        self._agent_zones = agent_zones
        # What the store holds, and the entries that do not reach it.
        self.evacuation = UNREAD_ZONES
        self.without_store: set[str] = set()
        self._configuration = configuration
        self.clock = Clock(seed)
        self.links = FleetLinks(self.clock)
        self.calls = ExecutorCalls(
            self.clock,
            lambda: [agent.executor for agent in self.agents],
        )
        self.answers: dict[int, Any] = {}
        # When each request was answered.
        self.answered_at: dict[int, float] = {}
        self.log: list[tuple[float, str, Any]] = []
        self._numbers = itertools.count(1)
        self.agents: list[AgentProcess] = []
        self.entries = [
            self._new_entry(f'e{index}') for index in range(entries)
        ]
        for number in range(len(executors) or agents):
            executor = executors[number] if executors else None
            self.agents.append(self._new_agent(f'a{number}', executor))
            self.clock.after(HEARTBEAT_S, self._send_heartbeat, number)
        self.clock.after(0, self._tick)
        self.run(1)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run(seconds)

    def record_change(self, process: str, effect: effects.Log) -> None:
        """Record a log line with its time and process."""
        self.log.append((self.clock.now, process, effect))

    def submit(
        self,
        entry: int,
        job: JobRequest,
        queue: Queue = QUEUE,
    ) -> int:
        """Submit a job and return the number of the request."""
        number = next(self._numbers)
        self.entries[entry].post(
            entry_events.JobSubmitted(
                self.clock.now,
                number,
                queue.host,
                queue.prefix + job.job_id,
                job,
                '',
                None,
            ),
        )
        return number

    def disconnect_caller(self, entry: int, request: int) -> None:
        """Close the connection of the caller of a request."""
        event = entry_events.CallerDisconnected(self.clock.now, request)
        self.entries[entry].post(event)

    def drain_entry(self, index: int, timeout_s: float) -> None:
        """Start to drain an entry."""
        event = entry_events.DrainRequested(self.clock.now, timeout_s)
        self.entries[index].post(event)

    def evacuate(self, *zones: str) -> None:
        """Evacuate these availability zones and no others."""
        revision = self.evacuation.revision + 1
        self.evacuation = EvacuatedZones(revision, zones)
        for entry in self.entries:
            self._read_store(entry)

    def reach_store(self, index: int) -> None:
        """Let an entry read the store again."""
        entry = self.entries[index]
        self.without_store.discard(entry.name)
        self._read_store(entry)

    def kill_agent(self, index: int, down_s: float) -> None:
        """Kill an agent and restart it later; its executor keeps running."""
        killed = self.agents[index]
        if killed.alive:
            killed.alive = False
            self.links.drop(killed)
            self.clock.after(down_s, self._restart_agent, index)

    def kill_entry(self, index: int, down_s: float) -> None:
        """Kill an entry and restart it later."""
        killed = self.entries[index]
        if killed.alive:
            killed.alive = False
            self.links.drop(killed)
            self.clock.after(down_s, self._restart_entry, index)

    def freeze_agent(self, index: int, seconds: float) -> None:
        """Freeze an agent; its peers close the links after the timeout."""
        agent = self.agents[index]
        if not agent.frozen:
            agent.frozen = True
            self.links.freeze(agent)
            self.clock.after(seconds, agent.thaw, seconds)

    def freeze_entry(self, index: int, seconds: float) -> None:
        """Freeze an entry; its peers close the links after the timeout."""
        entry = self.entries[index]
        if not entry.frozen:
            entry.frozen = True
            self.links.freeze(entry)
            self.clock.after(seconds, entry.thaw, seconds)

    def silence_link(self, first: str, second: str, seconds: float) -> None:
        """Lose all messages between two processes for a time."""
        self.links.silence(first, second, seconds)

    def crash_executor(self, index: int) -> None:
        """Restart an executor under a new name without its runs."""
        agent = self.agents[index]
        name = f'x{next(self._numbers)}'
        agent.executor.restart(name, self.clock.now)
        agent.receive_heartbeat()

    def crash_executor_behind_cut(
        self,
        index: int,
        down_s: float,
        *,
        same_name: bool,
    ) -> None:
        """Restart an executor; no call reaches it for a time.

        Its agent learns of the new instance from an answer or a heartbeat.
        """
        executor = self.agents[index].executor
        number = next(self._numbers)
        name = executor.name if same_name else f'x{number}'
        executor.restart(name, self.clock.now)
        self.cut_executor(index, down_s)

    def cut_executor(self, index: int, seconds: float) -> None:
        """Let no call reach an executor for a time."""
        executor = self.agents[index].executor
        executor.unresponsive = True
        self.clock.after(seconds, setattr, executor, 'unresponsive', False)

    def _new_entry(self, name: str, started_at: float = 0) -> EntryProcess:
        incarnation = f'{name}#{next(self._numbers)}'
        zone = self._zones[int(name[1:]) % len(self._zones)]
        return EntryProcess(
            self,
            name,
            incarnation,
            self._configuration,
            zone,
            started_at,
        )

    def _read_store(self, entry: EntryProcess) -> None:
        is_known = self.evacuation != UNREAD_ZONES
        if is_known and entry.name not in self.without_store:
            event = entry_events.EvacuationsRead(
                self.clock.now,
                self.evacuation,
            )
            entry.post(event)

    def _new_agent(
        self,
        name: str,
        executor: FakeExecutor | None = None,
    ) -> AgentProcess:
        number = next(self._numbers)
        local_executor = executor or FakeExecutor(f'x{number}', CAPACITY)
        zone = self._agent_zones[int(name[1:]) % len(self._agent_zones)]
        return AgentProcess(self, name, number, local_executor, zone)

    def _chosen_entries(self, agent: AgentProcess) -> list[EntryProcess]:
        members = {
            Member(entry.name, entry.name, ZONE): entry
            for entry in self.entries
        }
        return [
            members[member]
            for member in choose_entries(agent.name, ZONE, members)
        ]

    def _restart_agent(self, index: int) -> None:
        agent = self.agents[index]
        self.agents[index] = self._new_agent(agent.name, agent.executor)

    def _restart_entry(self, index: int) -> None:
        now = self.clock.now
        restarted = self._new_entry(self.entries[index].name, now)
        self.entries[index] = restarted
        self._read_store(restarted)
        members = tuple(entry.name for entry in self.entries)
        restarted.post(entry_events.MembersRead(now, members))

    def _send_heartbeat(self, index: int) -> None:
        agent = self.agents[index]
        if not agent.executor.unresponsive:
            agent.receive_heartbeat()
        self.clock.after(HEARTBEAT_S, self._send_heartbeat, index)

    def _tick(self) -> None:
        now = self.clock.now
        for entry in self.entries:
            entry.tick_if_due()
        for agent in self.agents:
            agent.tick_if_due()
            agent.executor.advance(now)
        for pair in itertools.combinations(self.entries, 2):
            self.links.connect(*pair)
        for agent in self.agents:
            for entry in self._chosen_entries(agent):
                self.links.connect(agent, entry)
        self.clock.after(TICK_S, self._tick)
