"""Test the sockets at which clients connect."""

from __future__ import annotations

import socket

import pytest
import trio

from savoryrudder.daemon.intake_limits import RECEIVE_BUFFER_BYTES
from savoryrudder.daemon.intake_limits import derive_limits
from savoryrudder.daemon.listening import listen_tcp


async def _accept_one() -> int:
    listener = listen_tcp('127.0.0.1:0', derive_limits(96, 0))
    with socket.create_connection(listener.socket.getsockname()):
        accepted = await listener.accept()
        size = accepted.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        await accepted.aclose()
    await listener.aclose()
    return size


def test_connections_have_a_small_receive_buffer() -> None:
    """Guards against unread bytes that take the memory of the machine."""
    # The kernel doubles what is asked for.
    assert trio.run(_accept_one) <= 2 * RECEIVE_BUFFER_BYTES


async def _listen_twice() -> None:
    taken = listen_tcp('127.0.0.1:0', derive_limits(96, 0))
    port = taken.socket.getsockname()[1]
    with pytest.raises(OSError, match='in use'):
        listen_tcp(f'127.0.0.1:{port}', derive_limits(96, 0))
    await taken.aclose()


def test_an_address_that_is_taken_is_an_error() -> None:
    """Guards against a process that starts without its listener."""
    trio.run(_listen_twice)
