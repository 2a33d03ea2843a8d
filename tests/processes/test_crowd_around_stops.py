"""Meet processes with crowds while they start and stop.

No process may end by itself or outlast its stop, and each serves afterwards.
"""

from __future__ import annotations

import contextlib
import signal
from functools import partial
from typing import TYPE_CHECKING
from typing import Final

import pytest
import trio

from tests.processes import crowd
from tests.processes.calm_store import CalmStore
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import CROWD
from tests.processes.crowd_meeting import LIMITS
from tests.processes.crowd_meeting import MEMORY_MB
from tests.processes.crowd_meeting import PLATFORM_PORTS
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import METRICS_PORT
from tests.processes.process_memory import watch_memory
from tests.processes.test_uncontrolled_clients import LimitedProgram

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

# Bounds the wait for a process that does not stop.
STOP_LIMIT_S: Final = 60
CONNECT_INTERVAL_S: Final = 0.02

PLANS: Final = (
    ('head_at_once', crowd.head_at_once()),
    ('body_without_end', crowd.body_without_end(BODY_BYTES)),
    ('tiny_chunks', crowd.tiny_chunks(BODY_BYTES)),
    ('never_read', crowd.never_read()),
)


@pytest.fixture(params=['entry', 'agent'])
def role(request: pytest.FixtureRequest) -> str:
    """Return the role of the process."""
    return str(request.param)


@pytest.fixture
def program(
    tmp_path: Path,
    loopback_host: str,
    role: str,
) -> Iterator[LimitedProgram]:
    """Start a process and its store; the process may not serve yet."""
    with contextlib.ExitStack() as cleanup:
        store = CalmStore(loopback_host)
        cleanup.callback(store.close)
        started = LimitedProgram(
            tmp_path,
            role,
            store.address,
            loopback_host,
            LIMITS,
        )
        cleanup.callback(started.kill)
        yield started


def _crowd_at(
    program: LimitedProgram, role: str, plan: crowd.Plan
) -> crowd.Crowd:
    port = FRONT_PORT if role == 'entry' else CONTROL_PORT
    address = crowd.Address(
        program.host,
        port,
        b'POST /p/0123456789abcdef HTTP/1.1',
        b'GET /p/ HTTP/1.1',
    )
    return crowd.Crowd(address, plan, CROWD)


def _wait_for_end(program: LimitedProgram) -> int:
    return program.process.wait(STOP_LIMIT_S)


async def _stop_beside(clients: crowd.Crowd, program: LimitedProgram) -> int:
    await clients.send()
    program.process.send_signal(signal.SIGTERM)
    status = await trio.to_thread.run_sync(_wait_for_end, program)
    clients.close()
    return status


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_a_process_stops_beside_a_crowd(
    program: LimitedProgram,
    role: str,
    plan: crowd.Plan,
) -> None:
    """Guard against a process that clients keep from its graceful stop."""
    program.wait_until_serving()
    clients = _crowd_at(program, role, plan)
    with watch_memory(
        program.process.pid,
        program.host,
        PLATFORM_PORTS,
    ) as peak:
        status = trio.run(_stop_beside, clients, program)
        seen = f'{peak}, {program.output.read_text()}'
        most_mb = peak.total_mb
    assert not status, seen
    assert most_mb <= MEMORY_MB, seen


async def _wait_listening(program: LimitedProgram, role: str) -> None:
    port = FRONT_PORT if role == 'entry' else CONTROL_PORT
    is_listening = False
    while not is_listening:
        with contextlib.suppress(OSError):
            stream = await trio.open_tcp_stream(program.host, port)
            await stream.aclose()
            is_listening = True
        await trio.sleep(CONNECT_INTERVAL_S)


async def _start_beside(
    clients: crowd.Crowd,
    program: LimitedProgram,
    role: str,
) -> None:
    # The first connections come as soon as the process listens.
    with trio.fail_after(STOP_LIMIT_S):
        await _wait_listening(program, role)
    await clients.send()
    await trio.to_thread.run_sync(program.wait_until_serving)
    clients.close()


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_a_process_starts_beside_a_crowd(
    program: LimitedProgram,
    role: str,
    plan: crowd.Plan,
) -> None:
    """Guard against a process that clients keep from its start."""
    clients = _crowd_at(program, role, plan)
    with watch_memory(
        program.process.pid,
        program.host,
        PLATFORM_PORTS,
    ) as peak:
        trio.run(partial(_start_beside, clients, program, role))
        seen = str(peak)
        most_mb = peak.total_mb
    assert program.process.poll() is None, program.output.read_text()
    assert most_mb <= MEMORY_MB, seen
    assert program.send(METRICS_PORT, 'GET', '/health', b'').is_success
