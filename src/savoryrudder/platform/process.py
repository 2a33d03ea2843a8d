"""Run an entry or agent on the platform: settings, signals, metrics."""

from __future__ import annotations

import gc
import sys
from functools import partial
from typing import TYPE_CHECKING
from typing import Final

import anyio

from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.intake_limits import PROBE_LIMITS
from savoryrudder.daemon.intake_limits import derive_limits
from savoryrudder.daemon.logs import STANDARD_OUTPUT
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.logs import log_to
from savoryrudder.daemon.membership import MEMBERS_PREFIX
from savoryrudder.daemon.membership import read_members
from savoryrudder.daemon.membership import watch_prefix
from savoryrudder.daemon.probes import ProbeApp
from savoryrudder.daemon.signals import watch_signals
from savoryrudder.platform.settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from savoryrudder.daemon.dispatcher import Dispatcher
    from savoryrudder.daemon.http import Application
    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.daemon.worker import Worker
    from savoryrudder.platform.settings import ProcessSettings
    from savoryrudder.platform.store import PlatformStore
    from savoryrudder.store.interface import KeyValue

INCARNATION_BYTES: Final = 4

_SETTINGS_ERROR_STATUS: Final = 1
# The `metrics` of deploy/system.toml name the same port.
_METRICS_PORT: Final = 9464
_MEMBERS_WAIT_S: Final = 5
# Entries register at nearly the same time after a start of the fleet, and each
# change of the list may change the links of each agent.
_MEMBERS_PAUSE_S: Final = 0.3
# Kept free for the exit: the platform kills the process `grace_s` after
# SIGTERM.
_STOP_MARGIN_S: Final = 0.9


def run_process(
    serve: Callable[[ProcessSettings], Awaitable[None]],
) -> None:
    """Read the settings and serve until stopped."""
    loaded = read_settings()
    if loaded.is_error():
        sys.stderr.write(f'{loaded.error}\n')
        sys.exit(_SETTINGS_ERROR_STATUS)
    settings = loaded.ok
    # The imported modules live as long as the process; the garbage collector
    # need not scan them.
    gc.freeze()
    gc.enable()
    with log_to(STANDARD_OUTPUT):
        log_event('start', (('name', settings.name),))
        anyio.run(partial(serve, settings), backend='trio')
        log_event('stop', (('name', settings.name),))


def create_intake(settings: ProcessSettings, counters: Counters) -> Intake:
    """Create the intake of the listeners that clients reach."""
    limits = derive_limits(settings.memory_mb, settings.max_sockets)
    return Intake(limits, counters)


async def serve_probes(
    group: TaskGroup,
    app: Application,
    address: str,
    counters: Counters,
) -> None:
    """Serve probes, which have connections and memory of their own."""
    intake = Intake(PROBE_LIMITS, counters)
    await group.start(serve_plain_http, app, address, None, intake)


async def serve_metrics(
    group: TaskGroup,
    settings: ProcessSettings,
    process: Dispatcher | Worker,
) -> None:
    """Serve the health checks and metrics of a process."""
    address = f'{settings.host}:{_METRICS_PORT}'
    await serve_probes(group, ProbeApp(process), address, process.counters)


def watch_members(
    group: TaskGroup,
    store: PlatformStore,
    process: Dispatcher | Worker,
) -> None:
    """Keep a process linked with the registered entries."""

    group.start_soon(
        watch_prefix,
        store,
        MEMBERS_PREFIX,
        _MEMBERS_WAIT_S,
        partial(_update_members, process),
        _MEMBERS_PAUSE_S,
    )


def _update_members(
    process: Dispatcher | Worker,
    entries: tuple[KeyValue, ...],
) -> None:
    process.link_entries(read_members(entries, process.counters))


def handle_signals(
    group: TaskGroup,
    settings: ProcessSettings,
    store: PlatformStore,
    process: Dispatcher | Worker,
) -> None:
    """Drain on SIGTERM, reload the settings on SIGHUP."""
    group.start_soon(
        watch_signals,
        lambda: process.drain(settings.grace_s - _STOP_MARGIN_S),
        _SettingsReloader(settings, store).reload,
    )


class _SettingsReloader:
    """Reload the settings after the platform has changed them.

    A new address of the store takes effect at once. The other settings are
    properties of the machine and take effect at the next start.
    """

    def __init__(self, settings: ProcessSettings, store: PlatformStore) -> None:
        self._settings = settings
        self._store = store

    def reload(self) -> None:
        """Read the settings; keep the previous ones if reading fails."""
        loaded = read_settings()
        if loaded.is_error():
            log_event('reload-refused', (('reason', loaded.error),))
            return
        current = loaded.ok
        changed = [
            name
            for name, previous in self._settings._asdict().items()
            if getattr(current, name) != previous
        ]
        log_event('reload', (('changed', ','.join(changed)),))
        self._settings = current
        self._store.set_address(current.store)
