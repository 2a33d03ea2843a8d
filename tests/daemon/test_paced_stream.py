"""Test how connections that send much share the event loop with others."""

from __future__ import annotations

import socket
from typing import Final

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from savoryrudder.daemon.paced_stream import PacedStream
from savoryrudder.daemon.paced_stream import SmallRequestAllowance

CONNECTIONS: Final = 20
SENT_BYTES: Final = 50_000
ALLOWED_BYTES: Final = 16_384
PIECE_BYTES: Final = 4096
# Rounds of the event loop that are watched.
ROUNDS: Final = 100
LIMIT_S: Final = 30


def _connect(turn: trio.Lock) -> tuple[PacedStream, trio.SocketStream]:
    served, client = socket.socketpair()
    streams = [
        trio.SocketStream(trio.socket.from_stdlib_socket(end))
        for end in (served, client)
    ]
    return PacedStream(streams[0], turn), streams[1]


class _Readers:
    """Read from many connections and count what is read."""

    def __init__(self) -> None:
        self.bulk_reads = 0

    async def read(self, stream: PacedStream) -> None:
        """Read all that a connection sends, and count the pieces."""
        size = 0
        while size < SENT_BYTES:
            size += len(await stream.receive_some())
            self.bulk_reads += size > ALLOWED_BYTES


async def _count_reads_per_round() -> list[int]:
    turn = trio.Lock()
    readers = _Readers()
    counts: list[int] = []
    connections = [_connect(turn) for _ in range(CONNECTIONS)]
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for served, client in connections:
                nursery.start_soon(client.send_all, bytes(SENT_BYTES))
                nursery.start_soon(readers.read, served)
            while len(counts) < ROUNDS:
                before = readers.bulk_reads
                await trio.lowlevel.checkpoint()
                counts.append(readers.bulk_reads - before)
    return counts


def test_connections_that_send_much_are_read_one_at_a_time() -> None:
    """Guard against a crowd whose large requests keep the event loop busy."""
    counts = trio.run(_count_reads_per_round)
    assert sum(counts)
    assert max(counts) <= 1


async def _exchange(served: PacedStream, client: trio.SocketStream) -> None:
    await client.send_all(b'GET')
    assert await served.receive_some() == b'GET'


async def _read_small_ones(turn: trio.Lock) -> None:
    await turn.acquire()
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for _ in range(CONNECTIONS):
                nursery.start_soon(_exchange, *_connect(turn))


def test_small_requests_wait_for_no_turn() -> None:
    """Guard against ordinary clients behind those that send much."""
    trio.run(_read_small_ones, trio.Lock())


async def _read_when_closed(turn: trio.Lock) -> None:
    served, client = _connect(turn)
    with trio.fail_after(LIMIT_S):
        await client.send_all(bytes(ALLOWED_BYTES))
        await served.receive_some()
        served.socket.close()
        with pytest.raises(trio.ClosedResourceError):
            await served.receive_some()
    assert not turn.locked()


async def _read_when_several_are_closed() -> None:
    turn = trio.Lock()
    await _read_when_closed(turn)
    await _read_when_closed(turn)


def test_a_closed_connection_takes_no_turn() -> None:
    """Guard against a turn that a dropped connection never gives back.

    The second one must not be taken for the first, as both have no descriptor.
    """
    trio.run(_read_when_several_are_closed)


async def _close_during_a_read() -> None:
    turn = trio.Lock()
    served, client = _connect(turn)
    await client.send_all(bytes(ALLOWED_BYTES))
    await served.receive_some()
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_expect_closed, served)
            await wait_all_tasks_blocked()
            served.socket.close()
    assert not turn.locked()


async def _expect_closed(served: PacedStream) -> None:
    with pytest.raises(trio.ClosedResourceError):
        await served.receive_some()


def test_a_connection_may_be_closed_while_it_is_read() -> None:
    """Guard against an unexpected error when the intake drops a connection."""
    trio.run(_close_during_a_read)


async def _cancel_while_reading() -> None:
    turn = trio.Lock()
    served, client = _connect(turn)
    await client.send_all(bytes(ALLOWED_BYTES))
    await served.receive_some()
    with trio.move_on_after(0):
        await served.receive_some()
    assert not turn.locked()
    await client.aclose()
    with trio.fail_after(LIMIT_S):
        assert not await served.receive_some()


def test_the_end_of_a_connection_that_sent_much_is_seen() -> None:
    """Guard against connections that wait for ever for their turn."""
    trio.run(_cancel_while_reading)


def test_the_allowance_is_refilled_in_time() -> None:
    """Guard against a connection that counts as large for ever."""
    allowance = SmallRequestAllowance(100)
    assert not allowance.is_spent(100)
    allowance.spend(ALLOWED_BYTES, 100)
    assert allowance.is_spent(101)
    assert not allowance.is_spent(120)


def test_a_caller_with_a_small_request_a_second_stays_within() -> None:
    """Guard against ordinary callers that count as large."""
    allowance = SmallRequestAllowance(0)
    for second in range(1000):
        allowance.spend(900, second)
        assert not allowance.is_spent(second)
