"""Meet each listener with crowds, and count bytes that nobody has read.

Bytes that the kernel has received for a process count toward the memory of its
machine. Each case starts a process with low limits of its own, lets a crowd
send to one of its listeners, and bounds resident memory and unread bytes
together, at each moment. No time is checked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

import pytest

from tests.processes import crowd
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import LIMITS
from tests.processes.crowd_meeting import meet_at_platform
from tests.processes.crowd_meeting import meet_at_product
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import METRICS_PORT
from tests.processes.platform_program import READY_PORT
from tests.processes.test_uncontrolled_clients import run_platform
from tests.processes.test_uncontrolled_clients import run_product

if TYPE_CHECKING:
    from pathlib import Path

LONG_BYTES: Final = 1_000_000

PLANS: Final = (
    ('head_without_end', crowd.head_without_end()),
    ('head_over_limit', crowd.head_over_limit()),
    ('empty_lines', crowd.empty_lines()),
    ('announced_over', crowd.announced_over_limit(LONG_BYTES)),
    ('sent_over', crowd.sent_over_limit(LONG_BYTES)),
    ('body_without_end', crowd.body_without_end(BODY_BYTES)),
    ('chunks_without_end', crowd.chunks_without_end(BODY_BYTES)),
    ('whole_body', crowd.whole_body(BODY_BYTES)),
    ('body_at_once', crowd.body_at_once(BODY_BYTES)),
    ('long_at_once', crowd.body_at_once(LONG_BYTES)),
    ('head_at_once', crowd.head_at_once()),
    ('never_read', crowd.never_read()),
)


class Listener(NamedTuple):
    """Hold a listener of a role, and the path of the crowd's requests."""

    role: str
    port: int
    path: bytes


LISTENERS: Final = (
    ('callers', Listener('entry', FRONT_PORT, b'/p/0123456789abcdef')),
    ('readiness', Listener('entry', READY_PORT, b'/api/ready')),
    ('entry_metrics', Listener('entry', METRICS_PORT, b'/metrics')),
    ('heartbeats', Listener('agent', CONTROL_PORT, b'/api/instances/i-1')),
    ('agent_metrics', Listener('agent', METRICS_PORT, b'/metrics')),
)


@pytest.mark.parametrize(
    'listener',
    [pytest.param(case[1], id=case[0]) for case in LISTENERS],
)
@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_unread_bytes_of_a_crowd_fit_the_memory(
    tmp_path: Path,
    loopback_host: str,
    listener: Listener,
    plan: crowd.Plan,
) -> None:
    """Guard against a process that ends for bytes it has not read."""
    address = crowd.Address(
        loopback_host,
        listener.port,
        b'POST %s HTTP/1.1' % listener.path,
        b'GET %s HTTP/1.1' % listener.path,
    )
    with run_platform(
        tmp_path,
        listener.role,
        loopback_host,
        LIMITS,
    ) as target:
        meet_at_platform(target, plan, address)


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_unread_bytes_at_the_product_fit_the_memory(
    tmp_path: Path,
    plan: crowd.Plan,
) -> None:
    """Guard against an entry that ends for bytes it has not read."""
    with run_product(tmp_path) as target:
        meet_at_product(target, plan)
