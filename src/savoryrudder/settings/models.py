"""Define the settings of the daemons."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from savoryrudder.policy.findings import StrictModel
from savoryrudder.settings.addresses import DialAddress
from savoryrudder.settings.addresses import ListenAddress
from savoryrudder.settings.addresses import PortRange
from savoryrudder.settings.addresses import Url
from savoryrudder.settings.addresses import parse_port_range

Name = Annotated[
    str,
    Field(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'),
]
Zone = Annotated[str, Field(min_length=1, max_length=64)]
Seconds = Annotated[float, Field(ge=0, le=3600)]
Ratio = Annotated[float, Field(ge=0, le=1)]


class EntrySettings(StrictModel):
    """Hold the settings of an entry; an empty file name disables the file.

    `link_address` is the address of the join socket, which agents and other
    entries dial. Sessions use the ports in `link_ports`, or ephemeral ports if
    it is absent.
    """

    entry: Name
    zone: Zone
    http_address: ListenAddress
    link_address: ListenAddress
    link_ports: PortRange | None = None
    store_url: Url
    peers: list[DialAddress] = Field(default_factory=list)
    stop_timeout_s: Seconds = 30
    balancer_delay_s: Seconds = 2
    retention_s: Seconds = 600
    request_memory_mb: int = Field(default=192, ge=32, le=100_000)
    log_file: str = ''
    trace_file: str = ''
    trace_ratio: Ratio = 0.01
    tls_certificate: str | None = None
    tls_key: str | None = None
    seed: int | None = None

    def session_ports(self) -> range | None:
        """Return the ports for sessions, or None for ephemeral ports."""
        return parse_port_range(self.link_ports) if self.link_ports else None


class AgentSettings(StrictModel):
    """Hold the settings of an agent; an empty file name disables the file.

    `entries` are the join addresses of the entries known at startup;
    `http_address` serves health checks and metrics.
    """

    agent: Name
    service: Name
    zone: Zone
    entries: list[DialAddress] = Field(min_length=1)
    upstream_url: Url
    http_address: ListenAddress
    slots: int = Field(ge=1, le=10_000)
    memory_mb: int = Field(ge=0, le=10_000_000)
    operations: list[Name] = Field(min_length=1)
    prefetch: int = Field(default=0, ge=0, le=10_000)
    stop_timeout_s: Seconds = 30
    retention_s: Seconds = 600
    log_file: str = ''
    trace_file: str = ''
    trace_ratio: Ratio = 0.01
    tls_certificate: str | None = None
    tls_key: str | None = None
