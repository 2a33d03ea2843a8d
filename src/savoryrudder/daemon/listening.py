"""Open the sockets at which clients that nobody controls connect."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import trio

from savoryrudder.daemon.intake_limits import RECEIVE_BUFFER_BYTES

if TYPE_CHECKING:
    from savoryrudder.daemon.intake_limits import IntakeLimits


def listen_tcp(address: str, limits: IntakeLimits) -> trio.SocketListener:
    """Listen on `ip:port` of IPv4 or, in brackets, of IPv6.

    Raises `OSError` if the address is not free or not of this machine.
    """
    host, _, port = address.rpartition(':')
    bare_host = host.strip('[]')
    family = socket.AF_INET6 if ':' in bare_host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(listener)
        listener.bind((bare_host, int(port)))
        listener.listen(limits.backlog)
        cleanup.pop_all()
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))


def limit_receive_buffer(listener: socket.socket) -> None:
    """Bound what the kernel receives for each connection of a listener.

    Connections have the buffer of their listener from the first byte on, also
    while they wait to be accepted.
    """
    listener.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        RECEIVE_BUFFER_BYTES,
    )
