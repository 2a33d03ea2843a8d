"""Check the addresses and URLs of the settings."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator

from savoryrudder.utils.addresses import parse_address
from savoryrudder.utils.addresses import parse_dial_address
from savoryrudder.utils.addresses import parse_port


def parse_port_range(ports: str) -> range:
    """Return the ports of "low-high", both included.

    Raises ValueError when a port is malformed or the range is empty.
    """
    low_text, _, high_text = ports.partition('-')
    low = parse_port(low_text, 1)
    high = parse_port(high_text, 1)
    if low > high:
        raise ValueError('must be "low-high" with low <= high')
    return range(low, high + 1)


def _check_listen_address(address: str) -> str:
    parse_address(address)
    return address


def _check_dial_address(address: str) -> str:
    parse_dial_address(address)
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
