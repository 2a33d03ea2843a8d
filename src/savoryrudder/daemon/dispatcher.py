"""Run an entry that dispatches jobs: links, callers' requests and ticks."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Final

import anyio
import trio

from savoryrudder.daemon.dialled_links import DialledLinks
from savoryrudder.daemon.load import BusyShare
from savoryrudder.daemon.shared_port import SharedPortListener
from savoryrudder.daemon.stall import StallDetector
from savoryrudder.daemon.ticking import TickingLoop
from savoryrudder.dispatch import effects
from savoryrudder.dispatch import events
from savoryrudder.dispatch.deadlines import next_tick_at
from savoryrudder.dispatch.reducer import reduce
from savoryrudder.protocol.messages import Heartbeat
from savoryrudder.utils.effects import SetCarriesWork

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.dispatch.answers import Answer
    from savoryrudder.dispatch.answers import QueueLength
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.jobs.model import Configuration
    from savoryrudder.protocol.evacuation import EvacuatedZones
    from savoryrudder.protocol.members import Member
    from savoryrudder.protocol.messages import Message

# Longer than a round trip between a caller and an entry.
_SETTLE_S: Final = 0.01


class _PendingRequest:
    """Hold a caller's request until it is answered."""

    def __init__(self) -> None:
        self.answer: Answer | QueueLength | None = None
        # Cancelled by the answer.
        self.waiting = trio.CancelScope()


class Dispatcher(
    TickingLoop[events.DispatchEvent, effects.DispatchEffect],
):
    """Feed the reducer of an entry and execute its effects."""

    def __init__(self, state: DispatchState, counters: Counters) -> None:
        """Create a dispatcher; `run` serves its links."""
        super().__init__(counters)
        self.state = state
        self._pending: dict[int, _PendingRequest] = {}
        self._request_ids = itertools.count(1)
        self._listener = SharedPortListener(
            state.identity.address,
            self,
            self._revision,
            outbox=self._outbox,
        )
        self._peers = DialledLinks(self, self._revision, self._outbox)
        self._busy = BusyShare(self.load.waiting)
        self._stall = StallDetector()
        self._settled_at: float = 0

    @property
    def ready(self) -> bool:
        """Return whether the entry accepts jobs."""
        return self.state.ready

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve links and ticks until cancelled.

        The task status receives the bound link address.
        """
        async with anyio.create_task_group() as group:
            self._group: TaskGroup = group
            address = await group.start(self._listener.run)
            task_status.started(address)
            group.start_soon(self.load.run)
            await self.run_ticks()

    async def settle(self) -> None:
        """Wait a moment if the leaving of a caller may have been held up.

        Packets that a stalled machine missed are sent again: those of a
        request and of its caller's leaving come a round trip apart.
        """
        self._detect_stall()
        if trio.current_time() < self._settled_at:
            await trio.sleep(_SETTLE_S)

    async def ask(
        self,
        make_event: Callable[[float, int], events.DispatchEvent],
        wait_disconnected: Callable[[], Awaitable[None]],
    ) -> Answer | QueueLength | None:
        """Handle a caller's request; return None if the caller disconnects.

        `make_event` builds the event from the current time and the request's
        identifier.
        """
        request_id = next(self._request_ids)
        request = _PendingRequest()
        self._pending[request_id] = request
        self._detect_stall()
        self.handle(make_event(trio.current_time(), request_id))
        try:
            with request.waiting:
                await wait_disconnected()
        finally:
            self._pending.pop(request_id, None)
            if request.answer is None:
                self.handle(
                    events.CallerDisconnected(
                        trio.current_time(),
                        request_id,
                    ),
                )
        return request.answer

    def link_entries(self, entries: Sequence[Member]) -> None:
        """Keep links with the other entries.

        Of two entries, the one with the lower address dials the other.
        """
        own = self.state.identity.address
        self._peers.set_addresses(
            self._group,
            [entry.address for entry in entries if entry.address > own],
        )
        names = tuple(entry.name for entry in entries)
        self.handle(events.MembersRead(trio.current_time(), names))

    def apply_configuration(self, configuration: Configuration) -> None:
        """Handle a configuration read from the store."""
        self.handle(
            events.ConfigurationRead(trio.current_time(), configuration),
        )

    def apply_evacuation(self, evacuation: EvacuatedZones) -> None:
        """Handle the evacuated zones read from the store."""
        self.handle(events.EvacuationsRead(trio.current_time(), evacuation))

    def drain(self, timeout_s: float) -> None:
        """Begin a graceful stop."""
        self.handle(events.DrainRequested(trio.current_time(), timeout_s))

    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a newly opened session."""
        dialled = self._peers.has_session(session)
        self.handle(events.LinkUp(trio.current_time(), session, dialled))

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

    def _revision(self) -> int:
        return self.state.configuration.version

    def _detect_stall(self) -> bool:
        stall_s = self._stall.measure()
        if not stall_s:
            return False
        now = trio.current_time()
        # The time between two attempts to send a packet doubles each time, so
        # what was sent during the stall comes within as long a time again.
        self._settled_at = max(self._settled_at, now + stall_s)
        self.handle(events.Stalled(now, stall_s))
        return True

    def _tick(self, now: float) -> None:
        self._detect_stall()
        self.handle(events.Tick(now, self._busy.measure_if_due(now)))

    def _next_tick_at(self, now: float) -> float:
        return next_tick_at(self.state, now)

    def _reduce(
        self,
        event: events.DispatchEvent,
    ) -> Sequence[effects.DispatchEffect]:
        return reduce(self.state, event)

    def _execute_role_effect(self, effect: effects.DispatchEffect) -> None:
        match effect:
            case effects.Reply():
                self._reply(effect)
            case SetCarriesWork(peer, carries_work):
                self._listener.set_carries_work(peer, carries_work=carries_work)
                self._peers.set_carries_work(peer, carries_work=carries_work)
            case _:
                raise TypeError(f'unknown effect: {effect}')

    def _reply(self, reply: effects.Reply) -> None:
        request = self._pending.get(reply.request_id)
        if request is not None:
            request.answer = reply.answer
            request.waiting.cancel()

    def _send(self, peer: str, message: Message) -> None:
        is_sent = self._listener.send(peer, message)
        if not is_sent and not self._peers.send(peer, message):
            self.counters.count('messages_without_link')

    def _close(self, peer: str, reason: str) -> None:
        self._listener.close(peer, reason)
        self._peers.close(peer, reason)
