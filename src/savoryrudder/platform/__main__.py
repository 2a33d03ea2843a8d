"""Start a role on a machine of the platform."""

from __future__ import annotations

import gc
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import Final
from typing import TypeAlias

import anyio
import fire

from savoryrudder.daemon.logs import STANDARD_OUTPUT
from savoryrudder.daemon.logs import log_change
from savoryrudder.daemon.logs import log_to
from savoryrudder.platform.roles import run_agent
from savoryrudder.platform.roles import run_entry
from savoryrudder.platform.settings import ProcessSettings
from savoryrudder.platform.settings import read_settings

_FAULTY_SETTINGS: Final = 1
_Role: TypeAlias = Callable[[ProcessSettings], Awaitable[None]]


class Platform:
    """Run one role of the dispatcher on the platform."""

    def entry(self) -> None:
        """Serve callers on an edge machine."""
        _run(run_entry)

    def agent(self) -> None:
        """Serve the executor beside this machine."""
        _run(run_agent)


def _run(role: _Role) -> None:
    found = read_settings()
    if found.is_error():
        sys.stderr.write(f'{found.error}\n')
        sys.exit(_FAULTY_SETTINGS)
    settings = found.ok
    # What was imported lives as long as the process.
    gc.freeze()
    with log_to(STANDARD_OUTPUT):
        log_change('start', (('name', settings.name),))
        anyio.run(partial(role, settings), backend='trio')
        log_change('stop', (('name', settings.name),))


if __name__ == '__main__':
    fire.Fire(Platform, name='savoryrudder-platform')
