"""Compose the product's roles with the platform's adapters."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import anyio
from starlette.applications import Starlette

from savoryrudder.daemon.http import serve_http
from savoryrudder.daemon.logs import log_change
from savoryrudder.daemon.membership import MEMBERS_PREFIX
from savoryrudder.daemon.membership import Registration
from savoryrudder.daemon.membership import follow
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.probes import probe_routes
from savoryrudder.daemon.signals import watch_signals
from savoryrudder.platform.configuration import CONFIGURATION_KEY
from savoryrudder.platform.configuration import decode_configuration
from savoryrudder.platform.settings import read_settings
from savoryrudder.platform.store import PlatformStore
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savoryrudder.daemon.dispatcher import Dispatcher
    from savoryrudder.daemon.worker import Worker
    from savoryrudder.platform.settings import ProcessSettings
    from savoryrudder.store.interface import KeyValue

_INCARNATION_BYTES: Final = 4
# Named in the deploy file, too.
_METRICS_PORT: Final = 9464
_CONFIGURATION_WAIT_S: Final = 1.5
_MEMBERS_WAIT_S: Final = 5
# An agent notices a lost link, stops its runs or lets their lease expire.
_SETTLE_S: Final = 2.5
# Left of the time between the signal to stop and the kill.
_STOP_MARGIN_S: Final = 0.9
# Idle connections of callers are closed in this time before the exit.
_CLOSING_S: Final = 0.3


class _Listening(NamedTuple):
    """Hold the address of an HTTP server without TLS."""

    http_address: str
    tls_certificate: str | None = None
    tls_key: str | None = None


async def run_entry(settings: ProcessSettings) -> None:
    """Serve callers until stopped."""
    dispatcher = _new_dispatcher(settings)
    store = PlatformStore(settings.store)
    registration = Registration(store, settings.name, settings.link_address)
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        await group.start(dispatcher.run)
        await _serve_metrics(group, settings, dispatcher)
        await _serve_callers(group, settings, dispatcher, stopping)
        _follow_platform(group, settings, store, dispatcher)
        group.start_soon(registration.run)
        await dispatcher.stopped.wait()
        stopping.set()
        await _close(registration)
        group.cancel_scope.cancel()


async def _serve_callers(
    group: TaskGroup,
    settings: ProcessSettings,
    dispatcher: Dispatcher,
    stopping: anyio.Event,
) -> None:
    # Each role imports only what it needs: a process starts in less time.
    from savoryrudder.platform.callers import CallerApp

    app = CallerApp(dispatcher)
    callers = _Listening(settings.callers)
    await group.start(serve_http, app, callers, stopping)
    if settings.readiness != settings.callers:
        await group.start(serve_http, app, _Listening(settings.readiness))


def _follow_platform(
    group: TaskGroup,
    settings: ProcessSettings,
    store: PlatformStore,
    dispatcher: Dispatcher,
) -> None:
    group.start_soon(
        follow,
        store,
        CONFIGURATION_KEY,
        _CONFIGURATION_WAIT_S,
        _ConfigurationReader(dispatcher).take,
    )
    _follow_members(group, store, dispatcher)
    _watch_signals(group, settings, store, dispatcher)


def _follow_members(
    group: TaskGroup,
    store: PlatformStore,
    process: Dispatcher | Worker,
) -> None:
    group.start_soon(
        follow,
        store,
        MEMBERS_PREFIX,
        _MEMBERS_WAIT_S,
        _MemberReader(process).take,
    )


def _watch_signals(
    group: TaskGroup,
    settings: ProcessSettings,
    store: PlatformStore,
    process: Dispatcher | Worker,
) -> None:
    group.start_soon(
        watch_signals,
        lambda: process.drain(settings.grace_s - _STOP_MARGIN_S),
        _Reloader(settings, store).reload,
    )


async def _close(registration: Registration) -> None:
    await anyio.sleep(_CLOSING_S)
    with anyio.move_on_after(_CLOSING_S):
        await registration.withdraw()


async def run_agent(settings: ProcessSettings) -> None:
    """Serve the executor beside this machine until stopped."""
    from savoryrudder.platform.heartbeats import heartbeat_app

    worker = _new_worker(settings)
    store = PlatformStore(settings.store)
    async with anyio.create_task_group() as group:
        await group.start(worker.run)
        await _serve_metrics(group, settings, worker)
        await group.start(
            serve_http,
            heartbeat_app(worker),
            _Listening(settings.heartbeats),
        )
        _follow_members(group, store, worker)
        _watch_signals(group, settings, store, worker)
        await worker.stopped.wait()
        group.cancel_scope.cancel()


async def _serve_metrics(
    group: TaskGroup,
    settings: ProcessSettings,
    process: Dispatcher | Worker,
) -> None:
    app = Starlette(routes=probe_routes(process))
    listening = _Listening(f'{settings.host}:{_METRICS_PORT}')
    await group.start(serve_http, app, listening)


class _Reloader:
    """Read the settings again when the platform has changed them.

    The address of the store takes effect at once; the other settings that
    we use belong to the machine and take effect with the next start.
    """

    def __init__(self, settings: ProcessSettings, store: PlatformStore) -> None:
        self._settings = settings
        self._store = store

    def reload(self) -> None:
        """Read the settings; keep the former ones if they are faulty."""
        found = read_settings()
        if found.is_error():
            log_change('reload-refused', (('reason', found.error),))
            return
        current = found.ok
        changed = [
            name
            for name, former in self._settings._asdict().items()
            if getattr(current, name) != former
        ]
        log_change('reload', (('changed', ','.join(changed)),))
        self._settings = current
        self._store.move(current.store)


class _ConfigurationReader:
    """Pass each configuration that can be read on to an entry."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def take(self, entries: tuple[KeyValue, ...]) -> None:
        """Take the keys below the prefix of the configuration."""
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value is not None:
                self._decode(entry.value)

    def _decode(self, content: str) -> None:
        decoded = decode_configuration(content)
        if decoded.is_ok():
            self._dispatcher.configure(decoded.ok)
            return
        log_change('configuration-refused', (('reason', decoded.error),))


class _MemberReader:
    """Let a process follow the registered entries."""

    def __init__(self, process: Worker | Dispatcher) -> None:
        self._process = process

    def take(self, entries: tuple[KeyValue, ...]) -> None:
        """Take the keys below the prefix of the members."""
        self._process.follow_entries(
            [entry.value for entry in entries if entry.value],
        )


def _new_dispatcher(settings: ProcessSettings) -> Dispatcher:
    from savoryrudder.daemon.dispatcher import Dispatcher
    from savoryrudder.dispatch.state import DispatchIdentity
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.state import DispatchTiming

    identity = DispatchIdentity(
        settings.name,
        secrets.token_hex(_INCARNATION_BYTES),
        settings.link_address,
        settings.zone,
    )
    state = DispatchState(identity, DispatchTiming(_SETTLE_S))
    return Dispatcher(state, Counters())


def _new_worker(settings: ProcessSettings) -> Worker:
    from savoryrudder.daemon.worker import Worker
    from savoryrudder.platform.executor import ExecutorClient
    from savoryrudder.worker.state import WorkerIdentity
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.state import WorkerTiming

    identity = WorkerIdentity(
        settings.name,
        secrets.token_hex(_INCARNATION_BYTES),
        settings.zone,
    )
    state = WorkerState(
        identity,
        WorkerTiming(settings.lease_s, settings.stop_s),
        # Rises across the starts of the agent, which keeps nothing.
        fence=int(time.time() * MS_PER_S),
    )
    return Worker(state, ExecutorClient(), Counters())
