"""Meet the product's own interface with crowds over HTTP/2.

Resident memory and unread bytes are bounded together, at each moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import pytest

from tests.processes import crowd_frames
from tests.processes.crowd_meeting import meet_at_product
from tests.processes.test_uncontrolled_clients import run_product

if TYPE_CHECKING:
    from pathlib import Path

    from tests.processes import crowd

MEMORY_MB: Final = 128
REQUEST_MEMORY_MB: Final = 32

PLANS: Final = (
    ('head_without_end', crowd_frames.http2_head_without_end()),
    ('pings', crowd_frames.http2_pings()),
)


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_a_crowd_over_http2_fits_the_memory(
    tmp_path: Path,
    plan: crowd.Plan,
) -> None:
    """Guard against an entry that ends for heads without end over HTTP/2."""
    with run_product(
        tmp_path,
        request_memory_mb=REQUEST_MEMORY_MB,
    ) as target:
        meet_at_product(target, plan, MEMORY_MB)
