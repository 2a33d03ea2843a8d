"""Run an entry: turn I/O into events and execute effects."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol
from typing import TypeAlias

import anyio

from savoryrudder.daemon.api import MAX_BODY_BYTES
from savoryrudder.daemon.api import create_api
from savoryrudder.daemon.http import serve_http
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.intake_limits import limits_of_budget
from savoryrudder.daemon.join import JoinRequest
from savoryrudder.daemon.links import LinkListener
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.request_limits import DEFAULT_LIMITS
from savoryrudder.daemon.runtime import Runtime
from savoryrudder.daemon.signals import watch_signals
from savoryrudder.daemon.tracing import Span
from savoryrudder.daemon.tracing import Tracer
from savoryrudder.entry import effects as entry_effects
from savoryrudder.entry import events
from savoryrudder.entry.draining import is_ready
from savoryrudder.entry.reducer import reduce
from savoryrudder.entry.state import EntryIdentity
from savoryrudder.entry.state import EntryState
from savoryrudder.protocol.codec import PROTOCOL_VERSION
from savoryrudder.protocol.messages import Answer
from savoryrudder.protocol.messages import Forward
from savoryrudder.protocol.messages import ForwardAnswer
from savoryrudder.store.http import HttpStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savoryrudder.protocol.messages import Job
    from savoryrudder.protocol.messages import Message

TICK_S: Final = 0.05
# The store answers in milliseconds; a lease has to be renewed within seconds.
STORE_TIMEOUT_S: Final = 1.5
# Lets the last answers reach their callers before the exit.
LINGER_S: Final = 0.5
# A body of the largest size takes this long over a slow link.
BODY_TIMEOUT_S: Final = 300
_INCARNATION_BYTES: Final = 4

Response: TypeAlias = Answer | entry_effects.ReplyJson


class EntrySettings(Protocol):
    """Declare the settings that the entry reads."""

    entry: str
    zone: str
    http_address: str
    link_address: str
    store_url: str
    stop_timeout_s: float
    balancer_delay_s: float
    retention_s: float
    trace_file: str
    trace_ratio: float
    tls_certificate: str | None
    tls_key: str | None
    request_memory_mb: int
    seed: int | None
    peers: list[str]

    def session_ports(self) -> range | None:
        """Return the ports for sessions, None for ephemeral ports."""


class PendingResponse:
    """Hold a response that a caller waits for."""

    def __init__(self) -> None:
        """Create a response that is not available yet."""
        self._event = anyio.Event()
        self._response: Response | None = None

    def set(self, response: Response | None) -> None:
        """Wake the caller; None means that there is no response."""
        self._response = response
        self._event.set()

    async def wait(self) -> Response | None:
        """Wait for the response; return None if there is none."""
        await self._event.wait()
        return self._response


class EntryRuntime(Runtime[events.EntryEvent, entry_effects.EntryEffect]):
    """Run an entry and keep the requests of waiting callers."""

    def __init__(
        self,
        state: EntryState,
        counters: Counters,
        tracer: Tracer,
    ) -> None:
        """Create an entry runtime; `start` connects it to store and links."""
        super().__init__(
            JoinRequest(PROTOCOL_VERSION, state.identity.name, 'entry'),
            counters,
            tracer,
        )
        self.state = state
        self._pending: dict[int, PendingResponse] = {}
        self._forward_spans: dict[tuple[str, int], Span] = {}
        self._next_request_id = 1
        self._configured_peers: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """Return the configuration revision in force."""
        return self.state.revision

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should route callers here."""
        return is_ready(self.state)

    def connect_configured_peers(self, addresses: list[str]) -> None:
        """Keep links to the peers from the settings.

        While the store is down, the configuration is fetched from them.
        """
        self._configured_peers = frozenset(addresses)
        for address in addresses:
            self.connect(address)

    def default_deadlines(self) -> dict[str, int]:
        """Return the default deadline of each service in milliseconds."""
        policy = self.state.policy
        if policy is None:
            return {}
        return {
            service.name: service.default_deadline_ms
            for service in policy.services.values()
        }

    def start(
        self,
        group: TaskGroup,
        store: HttpStore,
        listener: LinkListener,
    ) -> None:
        """Connect the runtime to the store and the link listener."""
        self._set_task_group(group)
        self._store = store
        self._listener = listener

    def announce_addresses(self, url: str, link: str) -> None:
        """Log and announce the bound addresses, not those in the settings."""
        log_event('listening', (('http', url), ('link', link)))
        self.state.identity = self.state.identity._replace(
            address=link,
            http=url.rpartition('/')[2],
        )

    def begin_request(self) -> tuple[int, PendingResponse]:
        """Return the identifier and the pending response of a new request."""
        request_id = self._next_request_id
        self._next_request_id += 1
        pending = PendingResponse()
        self._pending[request_id] = pending
        return request_id, pending

    def abandon_request(self, request_id: int) -> None:
        """Abandon a request whose caller has disconnected."""
        if self._pending.pop(request_id, None) is not None:
            self.handle(
                events.CallerDisconnected(anyio.current_time(), request_id),
            )

    def on_link_up(self, peer: str, session: str) -> None:
        """Handle a newly opened session."""
        self.handle(events.LinkUp(anyio.current_time(), peer, session))

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Handle the end of a session."""
        self.handle(
            events.LinkDown(
                anyio.current_time(), time.time(), peer, session, reason
            ),
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
            traced = message
            if isinstance(message, Forward) and message.job is not None:
                traced = self._trace_forward(peer, message, message.job)
            self.handle(
                events.MessageReceived(
                    anyio.current_time(),
                    time.time(),
                    peer,
                    session,
                    revision,
                    traced,
                ),
            )

    def drain(self, timeout_s: float) -> None:
        """Begin a graceful stop."""
        self.handle(events.DrainRequested(anyio.current_time(), timeout_s))

    async def tick(self) -> None:
        """Emit tick events until cancelled."""
        while True:
            self.handle(events.Tick(anyio.current_time(), time.time()))
            await anyio.sleep(TICK_S)

    def _reduce(
        self,
        event: events.EntryEvent,
    ) -> Sequence[entry_effects.EntryEffect]:
        return reduce(self.state, event)

    def _execute_role_effect(self, effect: entry_effects.EntryEffect) -> None:
        match effect:
            case entry_effects.Reply():
                self._respond(effect.request_id, effect.answer)
            case entry_effects.ReplyJson():
                self._respond(effect.request_id, effect)
            case entry_effects.CallStore():
                self._group.start_soon(self._call_store, effect)
            case entry_effects.ConnectPeer():
                self.connect(effect.address)
            case entry_effects.DisconnectPeer():
                if effect.address not in self._configured_peers:
                    self.disconnect(effect.address)

    def _send(self, peer: str, message: Message) -> None:
        if isinstance(message, ForwardAnswer):
            span = self._forward_spans.pop((peer, message.request), None)
            if span is not None:
                span.end()
        if not self._listener.send(peer, message):
            super()._send(peer, message)

    def _close(self, peer: str, reason: str) -> None:
        self._listener.close(peer, reason)
        super()._close(peer, reason)

    def _respond(self, request_id: int, response: Response) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.set(response)

    async def _call_store(self, effect: entry_effects.CallStore) -> None:
        self.counters.count('store_calls')
        outcome = await self._store.call(effect.operation)
        self.handle(
            events.StoreAnswered(
                anyio.current_time(),
                time.time(),
                effect.call,
                outcome,
            ),
        )

    def _trace_forward(self, peer: str, message: Forward, job: Job) -> Forward:
        span = self.tracer.start('serve-forwarded', job.trace)
        self._forward_spans[peer, message.request] = span
        return message._replace(job=job._replace(trace=span.traceparent))


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it has stopped gracefully."""
    runtime = _create_runtime(settings)
    store = HttpStore(settings.store_url, STORE_TIMEOUT_S)
    listener = LinkListener(
        settings.link_address,
        runtime.state.identity.name,
        runtime,
        lambda: runtime.revision,
        ports=settings.session_ports() or (0,),
    )
    async with anyio.create_task_group() as group:
        runtime.start(group, store, listener)
        await group.start(listener.run)
        address = await group.start(
            serve_http,
            create_api(runtime, settings.stop_timeout_s),
            settings,
            None,
            _create_intake(settings, runtime.counters),
        )
        runtime.announce_addresses(address, listener.address)
        runtime.connect_configured_peers(settings.peers)
        group.start_soon(runtime.tick)
        group.start_soon(
            watch_signals,
            lambda: runtime.drain(settings.stop_timeout_s),
        )
        await runtime.stopped.wait()
        await anyio.sleep(LINGER_S)
        group.cancel_scope.cancel()
    await store.close()
    runtime.tracer.close()


def _create_intake(settings: EntrySettings, counters: Counters) -> Intake:
    requests = DEFAULT_LIMITS._replace(
        max_body_bytes=MAX_BODY_BYTES,
        body_s=BODY_TIMEOUT_S,
    )
    limits = limits_of_budget(settings.request_memory_mb)
    return Intake(limits, counters, requests)


def _create_runtime(settings: EntrySettings) -> EntryRuntime:
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    name = f'{settings.entry}#{incarnation}'
    state = EntryState(
        EntryIdentity(
            name,
            settings.link_address,
            settings.http_address,
            settings.zone,
            settings.retention_s,
            settings.balancer_delay_s,
        ),
        random.Random(f'{settings.seed}/{name}'),
    )
    tracer = Tracer(
        settings.trace_file,
        settings.trace_ratio,
        {
            'service.name': 'savoryrudder-entry',
            'service.instance.id': name,
            'zone': settings.zone,
        },
    )
    return EntryRuntime(state, Counters(), tracer)
