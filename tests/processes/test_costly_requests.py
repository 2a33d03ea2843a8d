"""Meet listeners with crowds whose legal requests cost the most work a byte.

Each case bounds resident memory and unread bytes together, and asks for an
answer to an ordinary request while the crowd stays connected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import pytest

from tests.processes import crowd
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import LIMITS
from tests.processes.crowd_meeting import meet_at_platform
from tests.processes.crowd_meeting import meet_at_product
from tests.processes.test_uncontrolled_clients import run_platform
from tests.processes.test_uncontrolled_clients import run_product

if TYPE_CHECKING:
    from pathlib import Path

PLANS: Final = (
    ('tiny_chunks', crowd.tiny_chunks(BODY_BYTES)),
    ('many_steps', crowd.many_steps()),
    ('many_headers', crowd.many_headers()),
)


@pytest.mark.parametrize('role', ['entry', 'agent'])
@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_costly_requests_leave_room_for_others(
    tmp_path: Path,
    loopback_host: str,
    role: str,
    plan: crowd.Plan,
) -> None:
    """Guard against few bytes that take much memory or processor time."""
    with run_platform(tmp_path, role, loopback_host, LIMITS) as target:
        meet_at_platform(target, plan)


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_costly_requests_to_the_product_leave_room_for_others(
    tmp_path: Path,
    plan: crowd.Plan,
) -> None:
    """Guard against an entry that serves nobody but a few strangers."""
    with run_product(tmp_path) as target:
        meet_at_product(target, plan)
