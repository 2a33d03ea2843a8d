"""Test links that share one listening port."""

from __future__ import annotations

import contextlib
import os
import socket
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import anyio
import pynng
import pytest
import trio

from savoryrudder.daemon.dialled_links import DialledLinks
from savoryrudder.daemon.dialled_links import SharedPortDialler
from savoryrudder.daemon.shared_port import PipeSocket
from savoryrudder.daemon.shared_port import SharedPortListener
from savoryrudder.protocol import work

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup
    from conftest import Recorder

    from savoryrudder.daemon.liveness import LinkTiming

pytestmark = pytest.mark.anyio
# Bounds the wait of a test that hangs.
_HANG_S = 10
AGENT_HELLO = work.AgentHello('a1', 'a1#1', 'zone')
ENTRY_HELLO = work.EntryHello('e1', 'e1#1', 'address')


def _no_revision() -> int:
    return int()


async def _wait_until_up(recorder: Recorder, count: int) -> None:
    while len(recorder.of_kind('up')) < count:
        await anyio.sleep(0.01)


class LinkedProcesses(NamedTuple):
    """Hold a listener and the links of the processes that dial it."""

    listener: SharedPortListener
    dialled: list[DialledLinks]
    group: TaskGroup
    address: str


@contextlib.asynccontextmanager
async def run_links(
    listener_recorder: Recorder,
    dialler_recorder: Recorder,
    timing: LinkTiming,
    count: int,
) -> AsyncIterator[LinkedProcesses]:
    """Run a listener and several processes that dial it."""
    listener = SharedPortListener(
        '127.0.0.1:0',
        listener_recorder,
        _no_revision,
        timing,
    )
    dialled = [
        DialledLinks(dialler_recorder, _no_revision) for _ in range(count)
    ]
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        for links in dialled:
            links.set_addresses(group, [address])
        await _wait_until_up(listener_recorder, count)
        await _wait_until_up(dialler_recorder, count)
        yield LinkedProcesses(listener, dialled, group, address)
        group.cancel_scope.cancel()


async def _wait_for_greetings(
    recorder: Recorder,
    greeting: object,
    count: int,
) -> None:
    while True:
        greetings = [
            call
            for call in recorder.of_kind('message')
            if call.detail == greeting
        ]
        if len(greetings) == count:
            return
        await anyio.sleep(0.01)


async def test_many_processes_share_one_port(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against a port for each session."""
    async with run_links(entry_recorder, agent_recorder, timing, 5) as linked:
        sessions = [up.session for up in agent_recorder.of_kind('up')]
        for session in sessions:
            assert linked.listener.send(session, ENTRY_HELLO)
            assert any(
                links.send(session, AGENT_HELLO) for links in linked.dialled
            )
        await _wait_for_greetings(agent_recorder, ENTRY_HELLO, 5)
        await _wait_for_greetings(entry_recorder, AGENT_HELLO, 5)
    assert len(set(sessions)) == 5


async def test_closed_session_ends_on_both_sides(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against a side that considers a closed session open."""
    async with run_links(entry_recorder, agent_recorder, timing, 2) as linked:
        session = entry_recorder.of_kind('up')[0].session
        linked.listener.close(session, 'test')
        await entry_recorder.wait_for('down', session)
        await agent_recorder.wait_for('down', session)
        # The other session stays open; the closed one is dialled again.
        await _wait_until_up(agent_recorder, 3)
        assert len(agent_recorder.of_kind('down')) == 1


async def test_a_retired_link_is_not_dialled_again(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against links that come back after their agent gave them up."""
    async with run_links(entry_recorder, agent_recorder, timing, 2) as linked:
        retiring, kept = linked.dialled
        retiring.set_addresses(linked.group, [], [linked.address])
        retired = retiring.sessions_at([linked.address])[0]
        other = kept.sessions_at([linked.address])[0]
        linked.listener.close(retired, 'test')
        await agent_recorder.wait_for('down', retired)
        linked.listener.close(other, 'test')
        await _wait_until_up(agent_recorder, 3)
        assert kept.sessions_at([linked.address])
        assert not retiring.sessions_at([linked.address])


async def test_a_process_that_listens_later_is_linked_soon(
    entry_recorder: Recorder,
    agent_recorder: Recorder,
    timing: LinkTiming,
) -> None:
    """Guard against a refused connection that uses up the whole join timeout.

    After a loss of all power, agents dialled entries that did not listen yet,
    and tried again only after the timeout.
    """
    address = _free_address()
    patient = timing._replace(join_timeout_s=_HANG_S * 2)
    links = SharedPortDialler(
        address,
        agent_recorder,
        _no_revision,
        patient,
    )
    listener = SharedPortListener(
        address,
        entry_recorder,
        _no_revision,
        timing,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(links.run)
        await anyio.sleep(timing.backoff_min_s)
        await group.start(listener.run)
        with anyio.fail_after(_HANG_S):
            await _wait_until_up(agent_recorder, 1)
        group.cancel_scope.cancel()


def _free_address() -> str:
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        host, port = probe.getsockname()
    return f'{host}:{port}'


class _FullSocket:
    """Have no room for some attempts to send; its file descriptor is shared."""

    def __init__(self, send_fd: int) -> None:
        """Refuse the first attempts."""
        self.send_fd = send_fd
        self.sent = 0
        self._refusals_left = 6

    def send_msg(self, message: Any, block: bool) -> None:
        """Count a message, or refuse it."""
        if self._refusals_left:
            self._refusals_left -= 1
            raise pynng.TryAgain('no room', 0)
        self.sent += 1


async def test_two_connections_without_room_do_not_end_the_process() -> None:
    """Guards against an entry that ends when two peers do not read."""
    read_fd, write_fd = os.pipe()
    full_socket = _FullSocket(read_fd)
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                pipe = PipeSocket(full_socket, None)
                nursery.start_soon(pipe.send, b'frame')
    finally:
        os.close(read_fd)
        os.close(write_fd)
    assert full_socket.sent == 2
