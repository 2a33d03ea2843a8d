"""Check addresses of the form `ip:port`."""

from __future__ import annotations

import ipaddress
from typing import Final
from typing import NamedTuple

_MAX_PORT: Final = 65_535


class Endpoint(NamedTuple):
    """Hold an IP address, without brackets, and a port."""

    host: str
    port: int


def parse_address(address: str) -> Endpoint:
    """Return the address and port of "ip:port" or "[ipv6]:port".

    Raises ValueError when the address or the port is malformed, or the address
    has a scope: its name means something on one machine only.
    """
    host_text, _, port_text = address.rpartition(':')
    try:
        host = _parse_host(host_text)
    except ValueError:
        raise ValueError('must be "ip:port" or "[ipv6]:port"') from None
    return Endpoint(host, parse_port(port_text, 0))


def parse_dial_address(address: str) -> Endpoint:
    """Return the parts of an address that can be dialled.

    Raises ValueError when it is malformed or its port is 0.
    """
    endpoint = parse_address(address)
    if endpoint.port == 0:
        raise ValueError('must have a port from 1 to 65535')
    return endpoint


def _parse_host(text: str) -> str:
    if not text.startswith('['):
        return str(ipaddress.IPv4Address(text))
    if not text.endswith(']') or '%' in text:
        raise ValueError('no IPv6 address in brackets')
    return str(ipaddress.IPv6Address(text[1:-1]))


def parse_port(text: str, lowest: int) -> int:
    """Return a port; raises ValueError when it is malformed or too low."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError('must have a numeric port')
    # int() raises for very long digit strings; six digits are enough to tell
    # that a port is out of range.
    port = int(text[:6])
    if lowest <= port <= _MAX_PORT:
        return port
    raise ValueError(f'must have a port from {lowest} to {_MAX_PORT}')
