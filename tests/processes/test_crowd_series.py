"""Meet one process with several crowds, one after the other.

What a crowd leaves behind adds to what the next one takes, so the bound holds
for the whole series.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

import pytest
import trio

from tests.processes import crowd
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import CROWD
from tests.processes.crowd_meeting import LIMITS
from tests.processes.crowd_meeting import MEMORY_MB
from tests.processes.crowd_meeting import PLATFORM_PORTS
from tests.processes.process_memory import watch_memory
from tests.processes.test_uncontrolled_clients import Target
from tests.processes.test_uncontrolled_clients import ask_until_answered
from tests.processes.test_uncontrolled_clients import run_platform

if TYPE_CHECKING:
    from pathlib import Path

SERIES: Final = (
    crowd.body_at_once(BODY_BYTES),
    crowd.many_headers(),
    crowd.chunks_without_end(BODY_BYTES),
    crowd.head_at_once(),
    crowd.whole_body(BODY_BYTES),
    crowd.many_steps(),
    crowd.body_at_once(BODY_BYTES),
    crowd.many_headers(),
    crowd.body_without_end(BODY_BYTES),
)


async def _meet_series(target: Target) -> None:
    crowds = [crowd.Crowd(target.address, plan, CROWD) for plan in SERIES]
    with watch_memory(target.pid, target.address.host, PLATFORM_PORTS) as peak:
        while crowds:
            clients = crowds.pop(0)
            await clients.send()
            answered = await trio.to_thread.run_sync(ask_until_answered, target)
            clients.close()
            assert answered == 'served', f'{answered}, {peak}'
        seen = str(peak)
        most_mb = peak.total_mb
    assert target.is_alive(), seen
    assert most_mb <= MEMORY_MB, seen


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_a_series_of_crowds_fits_the_memory(
    tmp_path: Path,
    loopback_host: str,
    role: str,
) -> None:
    """Guard against memory that each crowd adds to the last one's."""
    with run_platform(tmp_path, role, loopback_host, LIMITS) as target:
        trio.run(_meet_series, target)
