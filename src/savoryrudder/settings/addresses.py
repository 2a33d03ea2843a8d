"""Check the addresses and URLs of the settings."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Final
from typing import NamedTuple
from urllib.parse import urlsplit

from pydantic import AfterValidator

_MAX_PORT: Final = 65_535


class Endpoint(NamedTuple):
    """Hold an IP address, without brackets, and a port."""

    host: str
    port: int


def parse_address(address: str) -> Endpoint:
    """Return the address and port of "ip:port" or "[ipv6]:port".

    Raises ValueError when the address or the port is malformed.
    """
    host_text, _, port_text = address.rpartition(':')
    host = host_text.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('must be "ip:port"') from None
    return Endpoint(host, _parse_port(port_text, 0))


def parse_port_range(ports: str) -> range:
    """Return the ports of "low-high", both included.

    Raises ValueError when a port is malformed or the range is empty.
    """
    low_text, _, high_text = ports.partition('-')
    low = _parse_port(low_text, 1)
    high = _parse_port(high_text, 1)
    if low > high:
        raise ValueError('must be "low-high" with low <= high')
    return range(low, high + 1)


def _parse_port(text: str, lowest: int) -> int:
    if not (text.isascii() and text.isdigit()):
        raise ValueError('must have a numeric port')
    # int() raises for very long digit strings; six digits are enough to tell
    # that a port is out of range.
    port = int(text[:6])
    if lowest <= port <= _MAX_PORT:
        return port
    raise ValueError(f'must have a port from {lowest} to {_MAX_PORT}')


def _check_listen_address(address: str) -> str:
    parse_address(address)
    return address


def _check_dial_address(address: str) -> str:
    if parse_address(address).port == 0:
        raise ValueError('must have a port from 1 to 65535')
    return address


def _check_port_range(ports: str) -> str:
    parse_port_range(ports)
    return ports


def check_url(url: str) -> str:
    """Return the URL if its scheme is http or https.

    Raises ValueError for any other text.
    """
    try:
        parts = urlsplit(url)
    except ValueError:
        raise ValueError('must be a URL') from None
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError('must be a URL that starts with http:// or https://')
    return url


# With port 0 the operating system chooses a port, which only a listener can
# use.
ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]
DialAddress = Annotated[str, AfterValidator(_check_dial_address)]
PortRange = Annotated[str, AfterValidator(_check_port_range)]
Url = Annotated[str, AfterValidator(check_url)]
