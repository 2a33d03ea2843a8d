"""Run an agent: `python3 -m savoryrudder.platform.agent`."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import anyio

from savoryrudder.daemon.http_server import serve_plain_http
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.worker import Worker
from savoryrudder.platform import process
from savoryrudder.platform.executor import ExecutorClient
from savoryrudder.platform.heartbeats import HeartbeatApp
from savoryrudder.platform.store import PlatformStore
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

if TYPE_CHECKING:
    from savoryrudder.platform.settings import ProcessSettings


async def run_agent(settings: ProcessSettings) -> None:
    """Run tasks on the executor beside this agent until stopped."""
    worker = _new_worker(settings)
    store = PlatformStore(settings.store, worker.counters)
    async with anyio.create_task_group() as group:
        await group.start(worker.run)
        process.watch_members(group, store, worker)
        process.handle_signals(group, settings, store, worker)
        await group.start(
            serve_plain_http,
            HeartbeatApp(worker),
            settings.heartbeats,
            None,
            process.create_intake(settings, worker.counters),
        )
        await process.serve_metrics(group, settings, worker)
        await worker.stopped.wait()
        group.cancel_scope.cancel()


def _new_worker(settings: ProcessSettings) -> Worker:
    identity = WorkerIdentity(
        settings.name,
        secrets.token_hex(process.INCARNATION_BYTES),
        settings.zone,
    )
    state = WorkerState(
        identity,
        WorkerTiming(settings.lease_s, settings.stop_s),
        # The agent keeps no state: the wall clock makes the fencing token
        # grow with each start.
        fence=int(time.time() * MS_PER_S),
    )
    return Worker(state, ExecutorClient(), Counters())


def main() -> None:
    """Run an agent until it is stopped."""
    process.run_process(run_agent)


if __name__ == '__main__':
    main()
