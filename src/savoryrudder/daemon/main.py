"""Start the daemon in one of its roles from the command line."""

from __future__ import annotations

import os
import sys
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import TypeAlias

import anyio
import fire

from savoryrudder.daemon.agent import run_agent
from savoryrudder.daemon.entry import run_entry
from savoryrudder.daemon.logs import log_to
from savoryrudder.settings.loading import load_agent_settings
from savoryrudder.settings.loading import load_entry_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from expression import Result

    from savoryrudder.policy.findings import Finding

_EXIT_INVALID_SETTINGS: Final = 1
_LoadResult: TypeAlias = 'Result[Any, tuple[Finding, ...]]'


class Daemon:
    """Run an entry or an agent."""

    def entry(self, settings: str, *, check: bool = False) -> None:
        """Serve callers and own submissions.

        Args:
            settings: path of the settings file (TOML).
            check: only check the settings and report all findings.

        """
        _run(settings, load_entry_settings, run_entry, only_check=check)

    def agent(self, settings: str, *, check: bool = False) -> None:
        """Serve the upstream beside this process.

        Args:
            settings: path of the settings file (TOML).
            check: only check the settings and report all findings.

        """
        _run(settings, load_agent_settings, run_agent, only_check=check)


def main() -> None:
    """Run the command line of the daemon."""
    fire.Fire(Daemon, name='savoryrudderd')


def _run(
    path: str,
    load_settings: Callable[[str, Any], _LoadResult],
    serve: Callable[[Any], Awaitable[None]],
    *,
    only_check: bool,
) -> None:
    loaded = load_settings(path, os.environ)
    if loaded.is_error():
        for finding in loaded.error:
            sys.stderr.write(f'{path}:{finding}\n')
        sys.exit(_EXIT_INVALID_SETTINGS)
    if only_check:
        sys.stdout.write(f'{path}: no findings\n')
        return
    with log_to(loaded.ok.log_file):
        anyio.run(partial(serve, loaded.ok), backend='trio')
