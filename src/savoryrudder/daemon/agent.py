"""Run an agent: turn I/O into events and execute effects."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol

import anyio

from savoryrudder.agent import effects as agent_effects
from savoryrudder.agent import events
from savoryrudder.agent.reducer import reduce
from savoryrudder.agent.state import Identity
from savoryrudder.agent.state import Limits
from savoryrudder.agent.state import new_state
from savoryrudder.daemon.addresses import LearnedAddresses
from savoryrudder.daemon.http import serve_http
from savoryrudder.daemon.join import JoinRequest
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.probes import ProbeApp
from savoryrudder.daemon.runtime import Runtime
from savoryrudder.daemon.signals import watch_signals
from savoryrudder.daemon.tracing import Tracer
from savoryrudder.daemon.upstream import UpstreamClient
from savoryrudder.protocol.codec import PROTOCOL_VERSION
from savoryrudder.protocol.messages import Welcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savoryrudder.agent.state import AgentState
    from savoryrudder.protocol.messages import Message

TICK_S: Final = 0.1
# A slot whose call was abandoned may still be busy at the upstream.
SPARE_CONNECTIONS: Final = 4
_INCARNATION_BYTES: Final = 4


class AgentSettings(Protocol):
    """Declare the settings that the agent reads."""

    agent: str
    service: str
    zone: str
    entries: list[str]
    upstream_url: str
    http_address: str
    slots: int
    memory_mb: int
    operations: list[str]
    prefetch: int
    stop_timeout_s: float
    retention_s: float
    trace_file: str
    trace_ratio: float
    tls_certificate: str | None
    tls_key: str | None


class AgentRuntime(Runtime[events.AgentEvent, agent_effects.AgentEffect]):
    """Run an agent, which calls the upstream for each task."""

    def __init__(
        self,
        state: AgentState,
        upstream: UpstreamClient,
        counters: Counters,
        tracer: Tracer,
    ) -> None:
        """Create an agent runtime; `start` connects it to entries."""
        super().__init__(
            JoinRequest(PROTOCOL_VERSION, state.identity.agent, 'agent'),
            counters,
            tracer,
        )
        self.state = state
        self._upstream = upstream

    @property
    def revision(self) -> int:
        """Return the highest configuration revision seen."""
        return self.state.revision

    @property
    def ready(self) -> bool:
        """Return whether an entry is linked and the agent is not draining."""
        return bool(self.state.links) and not self.state.draining

    def start(self, group: TaskGroup, entries: list[str]) -> None:
        """Dial the configured entries."""
        self._set_task_group(group)
        self._learned_addresses = LearnedAddresses(entries)
        for address in entries:
            self.connect(address)

    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a newly opened session."""
        self.handle(events.LinkUp(anyio.current_time(), peer, session))

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Handle the end of a session."""
        self._learned_addresses.remove_session(session)
        self.handle(
            events.LinkDown(anyio.current_time(), peer, session, reason)
        )

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        messages: tuple[Message, ...],
    ) -> None:
        """Handle the messages of a frame."""
        for message in messages:
            if isinstance(message, Welcome):
                self._learn_entries(session, message.entries)
            self.handle(
                events.MessageReceived(
                    anyio.current_time(),
                    peer,
                    session,
                    revision,
                    message,
                ),
            )

    def drain(self, timeout_s: float) -> None:
        """Begin a graceful stop."""
        self.handle(events.DrainRequested(anyio.current_time(), timeout_s))

    async def tick(self) -> None:
        """Emit tick events until cancelled."""
        while True:
            self._expire_entries()
            self.handle(events.Tick(anyio.current_time()))
            await anyio.sleep(TICK_S)

    def _learn_entries(self, session: str, addresses: Sequence[str]) -> None:
        self._learned_addresses.learn(session, addresses, anyio.current_time())
        for address in addresses:
            self.connect(address)

    def _expire_entries(self) -> None:
        now = anyio.current_time()
        for address in self._learned_addresses.remove_expired(
            self.linked_addresses,
            now,
        ):
            self.disconnect(address)

    def _reduce(
        self,
        event: events.AgentEvent,
    ) -> Sequence[agent_effects.AgentEffect]:
        return reduce(self.state, event)

    def _execute_role_effect(self, effect: agent_effects.AgentEffect) -> None:
        match effect:
            case agent_effects.CallUpstream():
                self._group.start_soon(self._call_upstream, effect)
            case agent_effects.StopUpstreamCall():
                self._upstream.stop(effect.task)

    async def _call_upstream(self, effect: agent_effects.CallUpstream) -> None:
        task_span = self.tracer.start('run-task', effect.trace)
        call_span = self.tracer.start('call-upstream', task_span.traceparent)
        call_span.set_attribute('operation', effect.operation)
        started_at = anyio.current_time()
        result = await self._upstream.call(
            effect.task,
            effect.operation,
            effect.payload,
            effect.deadline_ms,
            call_span.traceparent,
        )
        self.counters.observe(
            'upstream_call',
            anyio.current_time() - started_at,
        )
        call_span.set_attribute('outcome', result.outcome)
        call_span.end()
        self.handle(
            events.UpstreamFinished(
                anyio.current_time(),
                effect.task,
                result.outcome,
                result.result,
                result.reason,
            ),
        )
        task_span.end()


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it has stopped gracefully."""
    runtime = _create_runtime(settings)
    async with anyio.create_task_group() as group:
        runtime.start(group, settings.entries)
        address = await group.start(
            serve_http,
            ProbeApp(runtime),
            settings,
        )
        log_event('listening', (('http', address),))
        group.start_soon(runtime.tick)
        group.start_soon(
            watch_signals,
            lambda: runtime.drain(settings.stop_timeout_s),
        )
        await runtime.stopped.wait()
        group.cancel_scope.cancel()
    runtime.tracer.close()


def _create_runtime(settings: AgentSettings) -> AgentRuntime:
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    limits = Limits(
        settings.prefetch,
        settings.retention_s,
        settings.stop_timeout_s,
    )
    state = new_state(
        Identity(
            settings.agent,
            incarnation,
            settings.service,
            settings.zone,
            settings.slots,
            settings.memory_mb,
            tuple(settings.operations),
        ),
        limits,
    )
    tracer = Tracer(
        settings.trace_file,
        settings.trace_ratio,
        {
            'service.name': 'savoryrudder-agent',
            'service.instance.id': f'{settings.agent}#{incarnation}',
            'zone': settings.zone,
        },
    )
    upstream = UpstreamClient(
        settings.upstream_url,
        settings.slots + SPARE_CONNECTIONS,
    )
    return AgentRuntime(state, upstream, Counters(), tracer)
