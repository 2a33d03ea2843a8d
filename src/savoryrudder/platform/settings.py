"""Read the settings file that the platform writes for a process."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.utils.units import MS_PER_S

SETTINGS_PATH_VARIABLE: Final = 'SAVORYRUDDER_BOOT'

_DEFAULT_GRACE_S: Final = 6
_DEFAULT_CONTACT_MS: Final = 3000
# Of the descriptors of a process, these are for files.
_FILE_DESCRIPTORS: Final = 200


class ProcessSettings(NamedTuple):
    """Hold the settings of an entry or agent; addresses are `ip:port`.

    `callers` and `readiness` are empty on executors' machines, `heartbeats`
    on entries that do not serve it. Within `news_limit_s` of the end of an
    outage, a process has to know what changed in the store.
    """

    name: str
    zone: str
    host: str
    callers: str
    readiness: str
    heartbeats: str
    first_link_port: int
    store: str
    lease_s: float
    stop_s: float
    grace_s: float
    news_limit_s: float
    # Memory and sockets of the process, 0 if the platform names no limit.
    memory_mb: int = 0
    max_sockets: int = 0

    @property
    def link_address(self) -> str:
        """Return the address at which an entry accepts links."""
        return f'{self.host}:{self.first_link_port}'


def read_settings() -> Result[ProcessSettings, str]:
    """Read the file at the path that `SETTINGS_PATH_VARIABLE` holds."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    if not path:
        return Error(f'the variable {SETTINGS_PATH_VARIABLE} is not set')
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Error(f'{path}: cannot read the settings: {error}')
    return parse_settings(text).map_error(lambda reason: f'{path}: {reason}')


def parse_settings(text: str) -> Result[ProcessSettings, str]:
    """Parse lines of the form `a.b=value`; unknown names are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, _, value = line.partition('=')
        fields[name.strip()] = value.strip()
    missing = [
        name
        for name in ('node_name', 'zone', 'ip', 'platform.address')
        if not fields.get(name)
    ]
    if missing:
        return Error('missing settings: {0}'.format(', '.join(missing)))
    try:
        return Ok(_convert(fields))
    except ValueError as error:
        return Error(f'a setting is not a number: {error}')


def _count_sockets(max_descriptors: int) -> int:
    """Return how many sockets a process may have; 0 stands for no limit."""
    if not max_descriptors:
        return 0
    return max(max_descriptors - _FILE_DESCRIPTORS, 1)


def _convert(fields: Mapping[str, str]) -> ProcessSettings:
    first_port = fields.get('port_range', '0').partition(',')[0]
    return ProcessSettings(
        name=fields['node_name'],
        zone=fields['zone'],
        host=fields['ip'],
        callers=fields.get('listen.front', ''),
        readiness=fields.get('listen.ready', ''),
        heartbeats=fields.get('listen.control', ''),
        first_link_port=int(first_port),
        store=fields['platform.address'],
        lease_s=float(fields.get('bounds.hold_max_ms', MS_PER_S)) / MS_PER_S,
        stop_s=float(fields.get('bounds.stop_ms', 50)) / MS_PER_S,
        grace_s=float(fields.get('bounds.grace_s', _DEFAULT_GRACE_S)),
        news_limit_s=float(
            fields.get('bounds.contact_ms', _DEFAULT_CONTACT_MS),
        )
        / MS_PER_S,
        memory_mb=int(fields.get('limits.memory_mb', 0)),
        max_sockets=_count_sockets(int(fields.get('limits.max_fds', 0))),
    )
