"""Test that the leaving of a peer is seen without waiting."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from savoryrudder.daemon.disconnects import has_peer_closed

if TYPE_CHECKING:
    from collections.abc import Iterator


class Connection(NamedTuple):
    """Hold the two ends of a TCP connection."""

    own: socket.socket
    peer: socket.socket


@pytest.fixture
def connection() -> Iterator[Connection]:
    """Return an open connection over loopback."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    with own, peer:
        yield Connection(own, peer)


def test_an_open_connection_is_not_closed(connection: Connection) -> None:
    """Guards against taking silence, or data, for the peer's leaving."""
    assert not has_peer_closed(connection.own.fileno())
    connection.peer.sendall(b'request')
    assert not has_peer_closed(connection.own.fileno())


def test_a_close_is_seen_behind_unread_data(connection: Connection) -> None:
    """Guards against an end that is noticed only once all data is read."""
    connection.peer.sendall(b'request')
    connection.peer.close()
    assert has_peer_closed(connection.own.fileno())


def test_a_reset_is_seen_behind_unread_data(connection: Connection) -> None:
    """Guards against a reset that is noticed only by a failed write."""
    connection.peer.sendall(b'request')
    linger = struct.pack('ii', 1, 0)
    connection.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.peer.close()
    assert has_peer_closed(connection.own.fileno())


def test_a_shutdown_of_sending_is_a_close(connection: Connection) -> None:
    """Guards against a rule that differs from that of waiting requests."""
    connection.peer.shutdown(socket.SHUT_WR)
    assert has_peer_closed(connection.own.fileno())
