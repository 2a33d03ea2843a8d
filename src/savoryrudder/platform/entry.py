"""Run an entry: `python3 -m savoryrudder.platform.entry`."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING
from typing import Final

import anyio

from savoryrudder.daemon.dispatcher import Dispatcher
from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.membership import Registration
from savoryrudder.daemon.membership import watch_snapshots
from savoryrudder.daemon.metrics import Counters
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.platform import process
from savoryrudder.platform.callers import CallerApp
from savoryrudder.platform.configuration import CONFIGURATION_KEY
from savoryrudder.platform.configuration import decode_configuration
from savoryrudder.platform.configuration import decode_request_limits
from savoryrudder.platform.evacuations import read_evacuated_zones
from savoryrudder.platform.store import PlatformStore
from savoryrudder.platform.store import longest_watch_s
from savoryrudder.protocol.members import Member

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savoryrudder.daemon.intake import Intake
    from savoryrudder.platform.settings import ProcessSettings
    from savoryrudder.store.interface import KeyValueStore
    from savoryrudder.store.interface import Snapshot

# What the operator writes: the configuration, and zones to evacuate.
_OPERATOR_PREFIX: Final = 'op/'
# Time for an agent that was lost to notice it and to stop its runs or let
# their lease expire.
_SETTLE_S: Final = 2.5
# Time before the exit in which callers' idle connections are closed, and limit
# of the call that withdraws the registration after that.
_CLOSE_TIMEOUT_S: Final = 0.3


async def run_entry(settings: ProcessSettings) -> None:
    """Serve callers until stopped."""
    dispatcher = _new_dispatcher(settings)
    intake = process.create_intake(settings, dispatcher.counters)
    store = PlatformStore(settings.store, dispatcher.counters)
    registration = Registration(
        store,
        Member(settings.name, settings.link_address, settings.zone),
    )
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        await group.start(dispatcher.run)
        group.start_soon(registration.run)
        group.start_soon(
            follow_operator,
            store,
            longest_watch_s(settings.news_limit_s),
            dispatcher,
            intake,
        )
        process.watch_members(group, store, dispatcher)
        process.handle_signals(group, settings, store, dispatcher)
        await _serve_callers(group, settings, dispatcher, stopping, intake)
        await process.serve_metrics(group, settings, dispatcher)
        await dispatcher.stopped.wait()
        stopping.set()
        await _shut_down(registration)
        group.cancel_scope.cancel()


async def follow_operator(
    store: KeyValueStore,
    wait_s: float,
    dispatcher: Dispatcher,
    intake: Intake,
) -> None:
    """Apply what the operator writes, until cancelled.

    `wait_s` bounds each long poll of the store.
    """
    follower = _OperatorFollower(dispatcher, intake)
    await watch_snapshots(store, _OPERATOR_PREFIX, wait_s, follower.update)


class _OperatorFollower:
    """Apply the operator's keys that are read from the store."""

    def __init__(self, dispatcher: Dispatcher, intake: Intake) -> None:
        self._dispatcher = dispatcher
        self._intake = intake

    def update(self, snapshot: Snapshot) -> None:
        """Apply the evacuated zones, and the configuration if there is one.

        An entry takes jobs once it has a configuration, and must know then
        which zones are evacuated.
        """
        dispatcher = self._dispatcher
        dispatcher.apply_evacuation(
            read_evacuated_zones(snapshot, dispatcher.counters),
        )
        for item in snapshot.entries:
            if item.key == CONFIGURATION_KEY and item.value is not None:
                self._apply(item.value)

    def _apply(self, content: str) -> None:
        decoded = decode_configuration(content)
        if decoded.is_error():
            self._refuse(decoded.error)
            return
        self._dispatcher.apply_configuration(decoded.ok)
        limits = decode_request_limits(content)
        if limits.is_error():
            # The limits of requests in force remain.
            self._dispatcher.counters.count('refused_request_limits')
            log_event('request-limits-refused', (('reason', limits.error),))
            return
        self._intake.requests = limits.ok

    def _refuse(self, reason: str) -> None:
        self._dispatcher.counters.count('refused_configurations')
        log_event('configuration-refused', (('reason', reason),))


async def _serve_callers(
    group: TaskGroup,
    settings: ProcessSettings,
    dispatcher: Dispatcher,
    stopping: anyio.Event,
    intake: Intake,
) -> None:
    app = CallerApp(dispatcher, intake)
    address = settings.callers
    await group.start(serve_plain_http, app, address, stopping, intake)
    if settings.readiness != address:
        counters = dispatcher.counters
        await process.serve_probes(group, app, settings.readiness, counters)


async def _shut_down(registration: Registration) -> None:
    await anyio.sleep(_CLOSE_TIMEOUT_S)
    with anyio.move_on_after(_CLOSE_TIMEOUT_S):
        await registration.withdraw()


def _new_dispatcher(settings: ProcessSettings) -> Dispatcher:
    identity = DispatchIdentity(
        settings.name,
        secrets.token_hex(process.INCARNATION_BYTES),
        settings.link_address,
        settings.zone,
    )
    state = DispatchState(
        identity,
        DispatchTiming(_SETTLE_S),
        started_at=anyio.current_time(),
    )
    return Dispatcher(state, Counters())


def main() -> None:
    """Run an entry until it is stopped."""
    process.run_process(run_entry)


if __name__ == '__main__':
    main()
