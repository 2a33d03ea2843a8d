"""Collect the revisions that entries and agents report."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from urllib.parse import urlsplit

import anyio
import msgspec

from savoryrudder.console.client import EntryClient
from savoryrudder.console.client import Request

STATUS_REQUEST: Final = Request('GET', '/v1/status')


class PeerStatus(msgspec.Struct):
    """Hold what an entry reports of a live entry; the address serves HTTP."""

    entry: str
    address: str = ''
    revision: int = 0


class AgentStatus(msgspec.Struct):
    """Hold what an entry reports of an agent."""

    agent: str
    service: str = ''
    zone: str = ''
    revision: int = 0
    slots: int = 0
    credits: int = 0
    leaving: bool = False
    ejected: bool = False


class EntryStatus(msgspec.Struct):
    """Hold the state of an entry and its view of the fleet."""

    entry: str
    revision: int
    live_entries: list[PeerStatus] = []
    agents: list[AgentStatus] = []
    partitions: dict[str, int] = {}
    queued: dict[str, int] = {}
    store: str = ''
    draining: bool = False


class FleetRevisions(NamedTuple):
    """Hold the highest reported revision of each live process.

    A process never goes back to a lower revision, so the highest of several
    reports is the latest.
    """

    revisions: dict[str, int]

    def behind(self, revision: int) -> dict[str, int]:
        """Return the processes whose reported revision is lower."""
        return {
            name: reported
            for name, reported in sorted(self.revisions.items())
            if reported < revision
        }

    def add(self, name: str, revision: int) -> None:
        """Record the revision of a process."""
        highest = self.revisions.get(name, 0)
        self.revisions[name] = max(highest, revision)


async def fetch_fleet_revisions(client: EntryClient) -> FleetRevisions | None:
    """Return the revisions in the fleet, or None if no entry responds.

    All live entries are queried. One that does not respond counts with the
    revision that its peers report for it.
    """
    statuses: list[EntryStatus] = []
    await _fetch_statuses(client, set(client.entries), statuses)
    scheme = urlsplit(client.entries[0]).scheme
    responding = {status.entry for status in statuses}
    peer_urls = {
        f'{scheme}://{peer.address}'
        for status in statuses
        for peer in status.live_entries
        if peer.address and peer.entry not in responding
    }
    await _fetch_statuses(client, peer_urls, statuses)
    if not statuses:
        return None
    fleet = FleetRevisions({})
    for status in statuses:
        _add_status(fleet, status)
    return fleet


async def _fetch_statuses(
    client: EntryClient,
    urls: set[str],
    statuses: list[EntryStatus],
) -> None:
    async with anyio.create_task_group() as group:
        for url in urls:
            group.start_soon(_fetch_status, client, url, statuses)


async def _fetch_status(
    client: EntryClient,
    url: str,
    statuses: list[EntryStatus],
) -> None:
    response = await client.call_entry(url, STATUS_REQUEST)
    status = response.bind(lambda received: received.decode(EntryStatus))
    if status.is_ok():
        statuses.append(status.ok)


def _add_status(fleet: FleetRevisions, status: EntryStatus) -> None:
    fleet.add(f'entry {status.entry}', status.revision)
    for peer in status.live_entries:
        fleet.add(f'entry {peer.entry}', peer.revision)
    for agent in status.agents:
        fleet.add(f'agent {agent.agent}', agent.revision)
