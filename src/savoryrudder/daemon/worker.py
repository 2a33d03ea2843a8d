"""Run an agent beside an executor: links to entries and executor calls."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol

import anyio
import trio

from savoryrudder.daemon.dialled_links import DialledLinks
from savoryrudder.daemon.load import CALL_PREFIX
from savoryrudder.daemon.stall import StallDetector
from savoryrudder.daemon.task_pool import TaskPool
from savoryrudder.daemon.ticking import TickingLoop
from savoryrudder.daemon.unexpected import contain_errors
from savoryrudder.protocol.messages import Heartbeat
from savoryrudder.utils.effects import SetCarriesWork
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import verdicts
from savoryrudder.worker.deadlines import next_tick_at
from savoryrudder.worker.entry_choice import choose_entries
from savoryrudder.worker.instances import is_probe_wanted
from savoryrudder.worker.reducer import reduce
from savoryrudder.worker.runs import is_start_wanted
from savoryrudder.worker.stops import MAX_CONCURRENT_STOPS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.protocol.members import Member
    from savoryrudder.protocol.messages import Message
    from savoryrudder.worker.state import WorkerState

# The tasks of a job arrive together; the executor starts some at a time.
_MAX_CONCURRENT_STARTS: Final = 4
# One that waits for an executor that has gone does not delay its successor's.
_MAX_CONCURRENT_RENEWALS: Final = 2
# One to an instance that somebody made up does not delay that to the next one.
_MAX_CONCURRENT_PROBES: Final = 2


class ExecutorCalls(Protocol):
    """Call the executor; each call is sent once and ends in bounded time."""

    async def start(self, call: effects.StartRun) -> tuple[str, int]:
        """Return the verdict and the executor's clock in ms, 0 if unknown."""

    async def stop(self, call: effects.StopRun) -> bool:
        """Return whether the executor confirmed the stop."""

    async def probe(
        self,
        call: effects.ProbeInstance,
    ) -> events.InstanceProbed:
        """Ask an instance by its name and address whether it is there."""

    async def renew(
        self,
        call: effects.RenewLease,
        sent_at: float,
    ) -> events.RenewalAnswered | events.RenewalFailed:
        """Renew the lease; return the executor's active and ended runs."""


class Worker(TickingLoop[events.WorkerEvent, effects.WorkerEffect]):
    """Feed the reducer of an agent and execute its effects."""

    def __init__(
        self,
        state: WorkerState,
        executor: ExecutorCalls,
        counters: Counters,
    ) -> None:
        """Create a worker; `run` serves its links."""
        super().__init__(counters)
        self.state = state
        self._executor = executor
        self._starts = TaskPool(_MAX_CONCURRENT_STARTS)
        self._renewals = TaskPool(_MAX_CONCURRENT_RENEWALS)
        self._stops = TaskPool(MAX_CONCURRENT_STOPS)
        self._probes = TaskPool(_MAX_CONCURRENT_PROBES)
        self._entries = DialledLinks(self, _no_revision, self._outbox)
        self._stall = StallDetector()

    @property
    def ready(self) -> bool:
        """Return whether the executor accepts tasks."""
        return self.state.accepting

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve links and ticks until cancelled."""
        async with anyio.create_task_group() as group:
            self._group: TaskGroup = group
            group.start_soon(self.load.run)
            group.start_soon(self._starts.run)
            group.start_soon(self._renewals.run)
            group.start_soon(self._stops.run)
            group.start_soon(self._probes.run)
            task_status.started()
            await self.run_ticks()

    def link_entries(self, entries: Sequence[Member]) -> None:
        """Link with some of the registered entries and retire other links."""
        identity = self.state.identity
        chosen = choose_entries(identity.agent, identity.zone, entries)
        chosen_addresses = {entry.address for entry in chosen}
        others = {entry.address for entry in entries} - chosen_addresses
        self._entries.set_addresses(self._group, chosen_addresses, others)
        self.handle(
            events.LinksRetired(
                trio.current_time(),
                self._entries.sessions_at(others),
            ),
        )

    def drain(self, timeout_s: float) -> None:
        """Begin a graceful stop."""
        self.handle(events.DrainRequested(trio.current_time(), timeout_s))

    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a newly opened session."""
        self.handle(events.LinkUp(trio.current_time(), session))

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Handle the end of a session."""
        self.handle(events.LinkDown(trio.current_time(), session, reason))

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Handle the messages of a frame, unless they may be stale."""
        if self._detect_stall():
            return
        now = trio.current_time()
        for received in messages:
            self.count_received(received)
        self.handle(
            *(
                events.MessageReceived(now, session, message)
                for message in messages
                if not isinstance(message, Heartbeat)
            ),
        )

    def _tick(self, now: float) -> None:
        self._detect_stall()
        self.handle(events.Tick(now))

    def _next_tick_at(self, now: float) -> float:
        return next_tick_at(self.state, now)

    def _detect_stall(self) -> bool:
        stall_s = self._stall.measure()
        if not stall_s:
            return False
        self.handle(events.Stalled(trio.current_time(), stall_s))
        return True

    def _reduce(
        self,
        event: events.WorkerEvent,
    ) -> Sequence[effects.WorkerEffect]:
        return reduce(self.state, event)

    def _execute_role_effect(self, effect: effects.WorkerEffect) -> None:
        if isinstance(effect, SetCarriesWork):
            self._entries.set_carries_work(
                effect.peer,
                carries_work=effect.carries_work,
            )
            return
        self.counters.count(f'{CALL_PREFIX}{type(effect).__name__}')
        match effect:
            case effects.StartRun():
                self._starts.submit(partial(self._start, effect))
            case effects.ProbeInstance():
                self._probes.submit(partial(self._probe, effect))
            case effects.StopRun():
                self._stops.submit(partial(self._stop, effect))
            case effects.RenewLease():
                self._renewals.submit(partial(self._renew, effect))

    async def _start(self, call: effects.StartRun) -> None:
        verdict, clock_ms = verdicts.UNKNOWN, 0
        if is_start_wanted(self.state, call):
            with contain_errors(self.counters, 'start'):
                verdict, clock_ms = await self._executor.start(call)
        else:
            verdict = verdicts.REFUSED
            # Thousands of starts may be dropped one after the other.
            await trio.lowlevel.checkpoint()
        self.handle(
            events.StartAnswered(
                trio.current_time(),
                call.task,
                call.run,
                verdict,
                clock_ms,
            ),
        )

    async def _stop(self, call: effects.StopRun) -> None:
        confirmed = False
        with contain_errors(self.counters, 'stop'):
            confirmed = await self._executor.stop(call)
        self.handle(
            events.StopAnswered(
                trio.current_time(),
                call.task,
                call.run,
                confirmed,
            ),
        )

    async def _probe(self, call: effects.ProbeInstance) -> None:
        if not is_probe_wanted(self.state, call):
            return
        probed: events.InstanceProbed | None = None
        with contain_errors(self.counters, 'probe'):
            probed = await self._executor.probe(call)
        now = trio.current_time()
        self.handle(
            probed
            or events.InstanceProbed(now, call.executor, verdicts.UNKNOWN),
        )

    async def _renew(self, call: effects.RenewLease) -> None:
        answer: events.RenewalAnswered | events.RenewalFailed | None = None
        with contain_errors(self.counters, 'renew'):
            answer = await self._executor.renew(call, trio.current_time())
        now = trio.current_time()
        self.handle(
            answer or events.RenewalFailed(now, 'unexpected error', call.fence),
        )

    def _send(self, peer: str, message: Message) -> None:
        if not self._entries.send(peer, message):
            self.counters.count('messages_without_link')

    def _close(self, peer: str, reason: str) -> None:
        self._entries.close(peer, reason)


def _no_revision() -> int:
    # Agents hold no configuration.
    return 0
