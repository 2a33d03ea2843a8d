"""Test that the messages of an agent do not multiply with the entries."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from fakes.fleet import Fleet
from fakes.fleet import job_of

from savoryrudder.protocol.codec import Frame
from savoryrudder.protocol.codec import encode_frame

if TYPE_CHECKING:
    import pytest
    from fakes.fleet_links import FleetLinks
    from fakes.fleet_links import Process

# What a node may send for control at the target size.
MAX_CONTROL_BYTES_PER_S = 10_000
ENTRIES = 12
AGENTS = 3
DAY_S = 4
# Each agent runs four tasks of 0.1 to 0.4 s: 48 tasks a second in all.
JOBS_PER_S = 40


class SendCounter:
    """Count the bytes of the messages by sender, and send them."""

    def __init__(self, links: FleetLinks) -> None:
        """Replace the `send` of some links."""
        self.bytes_by_sender: Counter[str] = Counter()
        self._send = links.send

    def __call__(self, sender: Process, link: str, message: Any) -> None:
        """Count and send a message."""
        frame = encode_frame(Frame('123456', 100, 1, (message,)))
        self.bytes_by_sender[sender.name] += len(frame)
        self._send(sender, link, message)


def test_a_full_agent_with_many_entries_stays_within_its_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a report to every entry at each start and end."""
    fleet = Fleet(1, ENTRIES, AGENTS)
    counter = SendCounter(fleet.links)
    monkeypatch.setattr(fleet.links, 'send', counter)
    for number in range(DAY_S * JOBS_PER_S):
        fleet.submit(number % ENTRIES, job_of(f'j{number}'))
        fleet.run(1 / JOBS_PER_S)
    for agent in fleet.agents:
        sent = counter.bytes_by_sender[agent.name]
        assert sent / DAY_S <= MAX_CONTROL_BYTES_PER_S
