"""Meet the port of an entry's links with crowds that are no process of ours.

Resident memory and unread bytes are bounded together, at each moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import pytest
import trio

from tests.processes import crowd
from tests.processes.test_uncontrolled_clients import run_platform
from tests.processes.test_unread_bytes import LIMITS
from tests.processes.test_unread_bytes import MEMORY_MB
from tests.processes.test_unread_bytes import PLATFORM_PORTS
from tests.processes.test_unread_bytes import meet_crowd

if TYPE_CHECKING:
    from pathlib import Path

LINK_PORT: Final = 7720

PLANS: Final = (
    ('idle', crowd.idle()),
    ('no_greeting', crowd.empty_lines()),
    ('greeting', crowd.link_greeting()),
    ('odd_frames', crowd.link_odd_frames()),
    ('frame_without_end', crowd.link_frame_without_end()),
)


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_a_crowd_at_the_links_port_fits_the_memory(
    tmp_path: Path,
    loopback_host: str,
    plan: crowd.Plan,
) -> None:
    """Guard against an entry that ends for frames of strangers."""
    with run_platform(tmp_path, 'entry', loopback_host, LIMITS) as target:
        trio.run(
            meet_crowd,
            target,
            crowd.Address(loopback_host, LINK_PORT, b'', b''),
            frozenset((*PLATFORM_PORTS, LINK_PORT)),
            plan,
            MEMORY_MB,
        )
