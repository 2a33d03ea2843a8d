"""Check links through a shared port."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import NamedTuple

import anyio
import pytest

from savoryrudder.daemon.hub import DialledLinks
from savoryrudder.daemon.hub import HubListener
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from conftest import Recorder

    from savoryrudder.daemon.session import LinkTiming

pytestmark = pytest.mark.anyio
HELLO = work.AgentHello('a1', 'a1#1', 'zone')
WELCOME = work.EntryHello('e1', 'e1#1', 'address')


def _no_revision() -> int:
    return int()


async def _until_up(recorder: Recorder, count: int) -> None:
    while len(recorder.of_kind('up')) < count:
        await anyio.sleep(0.01)


class Hub(NamedTuple):
    """Hold a listener and the links of the processes that dial it."""

    listener: HubListener
    dialled: list[DialledLinks]


@contextlib.asynccontextmanager
async def linked(
    here: Recorder,
    there: Recorder,
    timing: LinkTiming,
    count: int,
) -> AsyncIterator[Hub]:
    """Run a listener and several processes that dial it."""
    listener = HubListener('127.0.0.1:0', here, _no_revision, timing)
    dialled = [DialledLinks(there, _no_revision) for _ in range(count)]
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        for links in dialled:
            links.follow(group, [address])
        await _until_up(here, count)
        await _until_up(there, count)
        yield Hub(listener, dialled)
        group.cancel_scope.cancel()


async def test_many_processes_share_one_port(
    at_entry: Recorder,
    at_agent: Recorder,
    timing: LinkTiming,
) -> None:
    """Guards against a port for each session."""
    async with linked(at_entry, at_agent, timing, 5) as hub:
        sessions = [up.session for up in at_agent.of_kind('up')]
        for session in sessions:
            assert hub.listener.send(session, WELCOME)
            assert any(one.send(session, HELLO) for one in hub.dialled)
        await _until_greeted(at_agent, WELCOME, 5)
        await _until_greeted(at_entry, HELLO, 5)
    assert len(set(sessions)) == 5


async def test_a_closed_session_ends_at_both_ends(
    at_entry: Recorder,
    at_agent: Recorder,
    timing: LinkTiming,
) -> None:
    """Guards against an end that takes a dead link for open."""
    async with linked(at_entry, at_agent, timing, 2) as hub:
        session = at_entry.of_kind('up')[0].session
        hub.listener.close(session, 'test')
        await at_entry.wait_for('down', session)
        await at_agent.wait_for('down', session)
        # The other session is not touched; the closed one is dialled anew.
        await _until_up(at_agent, 3)
        assert len(at_agent.of_kind('down')) == 1


async def _until_greeted(
    recorder: Recorder,
    greeting: object,
    count: int,
) -> None:
    while True:
        found = [
            one for one in recorder.of_kind('message') if one.detail == greeting
        ]
        if len(found) == count:
            return
        await anyio.sleep(0.01)
