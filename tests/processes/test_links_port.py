"""Meet the port of an entry's links with crowds that are no process of ours.

Resident memory and unread bytes are bounded together, at each moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import pytest

from tests.processes import crowd
from tests.processes import crowd_frames
from tests.processes.crowd_meeting import LIMITS
from tests.processes.crowd_meeting import meet_at_platform
from tests.processes.platform_program import LINK_PORT
from tests.processes.test_uncontrolled_clients import run_platform

if TYPE_CHECKING:
    from pathlib import Path

PLANS: Final = (
    ('idle', crowd.idle()),
    ('no_greeting', crowd.empty_lines()),
    ('greeting', crowd_frames.link_greeting()),
    ('odd_frames', crowd_frames.link_odd_frames()),
    ('frame_without_end', crowd_frames.link_frame_without_end()),
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
        address = crowd.Address(loopback_host, LINK_PORT, b'', b'')
        meet_at_platform(target, plan, address)
