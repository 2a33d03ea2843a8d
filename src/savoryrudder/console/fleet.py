"""Collect the revisions that entries and agents report."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from urllib.parse import urlsplit

import anyio
import msgspec

from savoryrudder.console.client import EntryClient
from savoryrudder.console.client import Request

STATUS: Final = Request('GET', '/v1/status')


class Peer(msgspec.Struct):
    """A live entry as another entry sees it; the address serves HTTP."""

    entry: str
    address: str = ''
    revision: int = 0


class Agent(msgspec.Struct):
    """An agent as an entry sees it."""

    agent: str
    service: str = ''
    zone: str = ''
    revision: int = 0
    slots: int = 0
    credits: int = 0
    leaving: bool = False
    ejected: bool = False


class Status(msgspec.Struct):
    """The state of an entry and its view of the fleet."""

    entry: str
    revision: int
    live_entries: list[Peer] = []
    agents: list[Agent] = []
    partitions: dict[str, int] = {}
    queued: dict[str, int] = {}
    store: str = ''
    draining: bool = False


class FleetRevisions(NamedTuple):
    """The highest reported revision of each live process.

    A process never goes back to a lower revision, so the highest of several
    reports is the latest.
    """

    revisions: dict[str, int]

    def behind(self, revision: int) -> dict[str, int]:
        """Return the processes whose reported revision is lower."""
        return {
            name: held
            for name, held in sorted(self.revisions.items())
            if held < revision
        }

    def add(self, name: str, revision: int) -> None:
        """Record the revision of a process."""
        known = self.revisions.get(name, 0)
        self.revisions[name] = max(known, revision)


async def read_fleet(client: EntryClient) -> FleetRevisions | None:
    """Return the revisions in the fleet, or None if no entry responds.

    All live entries are queried. One that does not respond counts with the
    revision that its peers report for it.
    """
    seen: list[Status] = []
    await _ask_all(client, set(client.entries), seen)
    scheme = urlsplit(client.entries[0]).scheme
    asked = {status.entry for status in seen}
    others = {
        f'{scheme}://{peer.address}'
        for status in seen
        for peer in status.live_entries
        if peer.address and peer.entry not in asked
    }
    await _ask_all(client, others, seen)
    if not seen:
        return None
    fleet = FleetRevisions({})
    for status in seen:
        _add_status(fleet, status)
    return fleet


async def _ask_all(
    client: EntryClient,
    entries: set[str],
    seen: list[Status],
) -> None:
    async with anyio.create_task_group() as group:
        for entry in entries:
            group.start_soon(_ask, client, entry, seen)


async def _ask(client: EntryClient, entry: str, seen: list[Status]) -> None:
    answer = await client.call_one(entry, STATUS)
    status = answer.bind(lambda received: received.read(Status))
    if status.is_ok():
        seen.append(status.ok)


def _add_status(fleet: FleetRevisions, status: Status) -> None:
    fleet.add(f'entry {status.entry}', status.revision)
    for peer in status.live_entries:
        fleet.add(f'entry {peer.entry}', peer.revision)
    for agent in status.agents:
        fleet.add(f'agent {agent.agent}', agent.revision)
