"""Let a crowd meet a process, and bound what the process holds meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import trio

from tests.processes import crowd
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import LINK_PORT
from tests.processes.platform_program import METRICS_PORT
from tests.processes.platform_program import READY_PORT
from tests.processes.process_memory import watch_memory
from tests.processes.test_uncontrolled_clients import ask_until_answered

if TYPE_CHECKING:
    from tests.processes.test_uncontrolled_clients import Target

MEMORY_MB: Final = 96
PRODUCT_MEMORY_MB: Final = 400
LIMITS: Final = f'limits.memory_mb={MEMORY_MB}\nlimits.max_fds=4096'
CROWD: Final = 300
BODY_BYTES: Final = 262_144
# The listeners of a role of the platform.
PLATFORM_PORTS: Final = frozenset(
    (CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT, LINK_PORT),
)


def meet_at_platform(
    target: Target,
    plan: crowd.Plan,
    address: crowd.Address | None = None,
) -> None:
    """Let a crowd meet a role, at the listener of its clients by default."""
    met_at = address or target.address
    trio.run(_meet, target, met_at, PLATFORM_PORTS, plan, MEMORY_MB)


def meet_at_product(
    target: Target,
    plan: crowd.Plan,
    max_memory_mb: int = PRODUCT_MEMORY_MB,
) -> None:
    """Let a crowd meet an entry at the product's own interface."""
    ports = frozenset((target.address.port,))
    trio.run(_meet, target, target.address, ports, plan, max_memory_mb)


async def _meet(
    target: Target,
    address: crowd.Address,
    ports: frozenset[int],
    plan: crowd.Plan,
    max_memory_mb: int,
) -> None:
    """Let a crowd send; then check the process while it stays connected."""
    clients = crowd.Crowd(address, plan, CROWD)
    with watch_memory(target.pid, address.host, ports) as peak:
        await clients.send()
        answered = await trio.to_thread.run_sync(ask_until_answered, target)
        seen = f'{answered}, {peak}'
        most_mb = peak.total_mb
    is_alive = target.is_alive()
    clients.close()
    assert is_alive, seen
    assert answered == 'served', seen
    assert most_mb <= max_memory_mb, seen
