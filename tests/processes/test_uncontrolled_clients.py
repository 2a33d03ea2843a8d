"""Meet the system's processes with crowds of clients that nobody controls.

Each case starts a process with low limits of its own, and lets a crowd send
and stay connected. Then the process must live, its memory and descriptors be
under their limits, and one ordinary request be answered. No time is checked.
"""

from __future__ import annotations

import contextlib
import os
import resource
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple

import httpx
import pytest
import trio

from tests.processes import crowd
from tests.processes.calm_store import QUEUE_HOST
from tests.processes.calm_store import QUEUE_PREFIX
from tests.processes.calm_store import CalmStore
from tests.processes.deployment import Deployment
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import Program

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# Bounds the wait for an answer to the ordinary request.
ANSWER_LIMIT_S: Final = 30
RETRY_S: Final = 0.2
BYTES_PER_KB: Final = 1024
KB_PER_MB: Final = 1024
# What pages reserve for files of the descriptors of a process.
FILE_DESCRIPTORS: Final = 200

MEMORY_MB: Final = 96
PRODUCT_MEMORY_MB: Final = 400
MAX_DESCRIPTORS: Final = 4096
FEW_DESCRIPTORS: Final = 250
KERNEL_DESCRIPTORS: Final = 64
BODY_BYTES: Final = 262_144
PRODUCT_BODY_BYTES: Final = 16 * 1024 * 1024
LONG_BYTES: Final = 1_000_000
PRODUCT_LONG_BYTES: Final = 20_000_000

HEADS: Final = 100
BODIES: Final = 300
LONG_BODIES: Final = 100
PRODUCT_BODIES: Final = 24
CONNECTIONS: Final = 60

MEMORY_PLANS: Final = (
    ('head_without_end', crowd.head_without_end(), HEADS),
    ('head_over_limit', crowd.head_over_limit(), HEADS),
    ('empty_lines', crowd.empty_lines(), HEADS),
)
PLATFORM_PLANS: Final = (
    *MEMORY_PLANS,
    ('body_without_end', crowd.body_without_end(BODY_BYTES), BODIES),
    ('chunks_without_end', crowd.chunks_without_end(BODY_BYTES), BODIES),
    ('whole_body', crowd.whole_body(BODY_BYTES), BODIES),
    ('whole_chunks', crowd.whole_chunks(BODY_BYTES), BODIES),
    ('announced_over', crowd.announced_over_limit(LONG_BYTES), LONG_BODIES),
    ('sent_over', crowd.sent_over_limit(LONG_BYTES), LONG_BODIES),
)
PRODUCT_PLANS: Final = (
    *MEMORY_PLANS,
    (
        'body_without_end',
        crowd.body_without_end(PRODUCT_BODY_BYTES),
        PRODUCT_BODIES,
    ),
    (
        'chunks_without_end',
        crowd.chunks_without_end(PRODUCT_BODY_BYTES),
        PRODUCT_BODIES,
    ),
    ('whole_body', crowd.whole_body(PRODUCT_BODY_BYTES), PRODUCT_BODIES),
    ('whole_chunks', crowd.whole_chunks(PRODUCT_BODY_BYTES), PRODUCT_BODIES),
    (
        'announced_over',
        crowd.announced_over_limit(PRODUCT_LONG_BYTES),
        PRODUCT_BODIES,
    ),
    (
        'sent_over',
        crowd.sent_over_limit(PRODUCT_LONG_BYTES),
        PRODUCT_BODIES,
    ),
)
CONNECTION_PLANS: Final = (
    ('trickle', crowd.trickle(), CONNECTIONS),
    ('never_read', crowd.never_read(), CONNECTIONS),
    ('idle', crowd.idle(), CONNECTIONS),
)


class Target(NamedTuple):
    """Hold a process, where a crowd reaches it, and an ordinary request."""

    pid: int
    is_alive: Callable[[], bool]
    address: crowd.Address
    ask: Callable[[httpx.Client], httpx.Response]


class LimitedProgram(Program):
    """Run a role of the platform with limits in its settings."""

    def __init__(
        self,
        folder: Path,
        role: str,
        store: str,
        host: str,
        limits: str,
    ) -> None:
        """Start the process."""
        self._limits = limits
        super().__init__(folder, role, store, host)

    def write_settings(self, odd: str) -> None:
        """Write the settings file with the limits and an odd line."""
        super().write_settings(f'{self._limits}\n{odd}')


@pytest.fixture
def host() -> str:
    """Return a loopback address that no other process of the tests uses."""
    number = os.getpid()
    return f'127.78.{number // 250 % 250}.{number % 250 + 1}'


@contextlib.contextmanager
def few_kernel_descriptors() -> Iterator[None]:
    """Lower the kernel's limit for the processes that are started."""
    previous = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowered = (KERNEL_DESCRIPTORS, previous[1])
    resource.setrlimit(resource.RLIMIT_NOFILE, lowered)
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, previous)


def _limits(descriptors: int) -> str:
    return '\n'.join(
        (
            f'limits.memory_mb={MEMORY_MB}',
            f'limits.max_fds={descriptors}',
        ),
    )


def _ask_entry(url: str, client: httpx.Client) -> httpx.Response:
    return client.get(f'{url}{QUEUE_PREFIX}', headers={'host': QUEUE_HOST})


def _ask_agent(url: str, client: httpx.Client) -> httpx.Response:
    heartbeat = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'seq': 1,
        'clock_ms': 1,
        'capacity': {'cpu': 1000, 'mem_mb': 100, 'gpu': 0},
        'labels': ['a'],
    }
    return client.put(f'{url}/api/instances/i-1', json=heartbeat)


def _ask_product(url: str, client: httpx.Client) -> httpx.Response:
    return client.get(f'{url}/v1/status')


@contextlib.contextmanager
def run_platform(
    folder: Path,
    role: str,
    host: str,
    limits: str,
) -> Iterator[Target]:
    """Run an entry or agent of the platform and its store."""
    with contextlib.ExitStack() as cleanup:
        store = CalmStore(host)
        cleanup.callback(store.close)
        program = LimitedProgram(folder, role, store.address, host, limits)
        cleanup.callback(program.kill)
        program.wait_until_serving()
        is_agent = role == 'agent'
        port = CONTROL_PORT if is_agent else FRONT_PORT
        ask = _ask_agent if is_agent else _ask_entry
        yield Target(
            program.process.pid,
            lambda: program.process.poll() is None,
            crowd.Address(
                host,
                port,
                b'PUT /api/instances/i-1 HTTP/1.1'
                if is_agent
                else b'POST /p/0123456789abcdef HTTP/1.1',
                b'GET /p/ HTTP/1.1',
            ),
            partial(ask, f'http://{host}:{port}'),
        )


@contextlib.contextmanager
def run_product(folder: Path, **settings: Any) -> Iterator[Target]:
    """Run an entry that serves the product's own interface."""
    deployment = Deployment(folder)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(deployment.close)
        deployment.start_store()
        deployment.start_entry('entry-0', **settings)
        url = deployment.urls['entry-0']
        process = deployment.processes['entry-0']
        yield Target(
            process.pid,
            lambda: process.poll() is None,
            crowd.Address(
                '127.0.0.1',
                int(url.rpartition(':')[2]),
                b'POST /v1/jobs HTTP/1.1',
                b'GET /metrics HTTP/1.1',
            ),
            partial(_ask_product, url),
        )


def read_peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has had in use."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    peak = next(line for line in lines if line.startswith('VmHWM'))
    return int(peak.split()[1]) / KB_PER_MB


def count_sockets(pid: int) -> int:
    """Return the number of open sockets of a process."""
    links = []
    for descriptor in Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            links.append(str(descriptor.readlink()))
    return sum(link.startswith('socket:') for link in links)


def ask_until_answered(target: Target) -> str:
    """Send an ordinary request until it is served; return what happened."""
    deadline = time.monotonic() + ANSWER_LIMIT_S
    seen = ''
    while time.monotonic() < deadline:
        try:
            with httpx.Client(timeout=ANSWER_LIMIT_S, trust_env=False) as http:
                status = target.ask(http).status_code
        except httpx.TransportError as error:
            seen = repr(error)
        else:
            if status == httpx.codes.OK:
                return 'served'
            seen = str(status)
        time.sleep(RETRY_S)
    return f'not served: {seen}'


async def meet_crowd(
    target: Target,
    plan: crowd.Plan,
    size: int,
    max_memory_mb: int,
    max_sockets: int,
) -> None:
    """Let a crowd send; then check the process while it stays connected."""
    clients = crowd.Crowd(target.address, plan, size)
    await clients.send()
    answered = await trio.to_thread.run_sync(ask_until_answered, target)
    assert target.is_alive()
    sockets = count_sockets(target.pid)
    peak_mb = read_peak_memory_mb(target.pid)
    clients.close()
    seen = f'{answered}, {peak_mb:.0f} MB, {sockets} sockets'
    assert answered == 'served', seen
    assert peak_mb <= max_memory_mb, seen
    assert sockets <= max_sockets, seen


@pytest.mark.parametrize('role', ['entry', 'agent'])
@pytest.mark.parametrize(
    ('plan', 'size'),
    [pytest.param(*case[1:], id=case[0]) for case in PLATFORM_PLANS],
)
def test_requests_of_a_crowd_fit_the_memory(
    tmp_path: Path,
    host: str,
    role: str,
    plan: crowd.Plan,
    size: int,
) -> None:
    """Guard against a process that ends for want of memory."""
    limits = _limits(MAX_DESCRIPTORS)
    with run_platform(tmp_path, role, host, limits) as target:
        trio.run(
            meet_crowd,
            target,
            plan,
            size,
            MEMORY_MB,
            MAX_DESCRIPTORS - FILE_DESCRIPTORS,
        )


@pytest.mark.parametrize('role', ['entry', 'agent'])
@pytest.mark.parametrize(
    ('plan', 'size'),
    [pytest.param(*case[1:], id=case[0]) for case in CONNECTION_PLANS],
)
def test_connections_of_a_crowd_fit_the_descriptors(
    tmp_path: Path,
    host: str,
    role: str,
    plan: crowd.Plan,
    size: int,
) -> None:
    """Guard against connections that hold all descriptors of a process."""
    limits = _limits(FEW_DESCRIPTORS)
    with run_platform(tmp_path, role, host, limits) as target:
        trio.run(
            meet_crowd,
            target,
            plan,
            size,
            MEMORY_MB,
            FEW_DESCRIPTORS - FILE_DESCRIPTORS,
        )


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_a_process_at_the_limit_of_the_kernel_serves(
    tmp_path: Path,
    host: str,
    role: str,
) -> None:
    """Guard against a process that accepts nobody once descriptors end."""
    with contextlib.ExitStack() as cleanup:
        with few_kernel_descriptors():
            running = run_platform(tmp_path, role, host, '')
            target = cleanup.enter_context(running)
        trio.run(
            meet_crowd,
            target,
            crowd.idle(),
            CONNECTIONS,
            MEMORY_MB,
            KERNEL_DESCRIPTORS,
        )


@pytest.mark.parametrize(
    ('plan', 'size'),
    [pytest.param(*case[1:], id=case[0]) for case in PRODUCT_PLANS],
)
def test_requests_to_the_product_fit_the_memory(
    tmp_path: Path,
    plan: crowd.Plan,
    size: int,
) -> None:
    """Guard against an entry that ends for want of memory."""
    with run_product(tmp_path) as target:
        trio.run(
            meet_crowd,
            target,
            plan,
            size,
            PRODUCT_MEMORY_MB,
            MAX_DESCRIPTORS,
        )


@pytest.mark.parametrize(
    ('plan', 'size'),
    [pytest.param(*case[1:], id=case[0]) for case in CONNECTION_PLANS],
)
def test_connections_to_the_product_fit_the_descriptors(
    tmp_path: Path,
    plan: crowd.Plan,
    size: int,
) -> None:
    """Guard against connections that hold all descriptors of an entry."""
    with contextlib.ExitStack() as cleanup:
        with few_kernel_descriptors():
            target = cleanup.enter_context(run_product(tmp_path))
        trio.run(
            meet_crowd,
            target,
            plan,
            size,
            PRODUCT_MEMORY_MB,
            KERNEL_DESCRIPTORS,
        )
