"""Run a role: `python3 -m savoryrudder.platform entry`, or `agent`."""

from __future__ import annotations

import gc
import sys
from importlib import import_module
from typing import Final

from savoryrudder.daemon.reload_signal import hold_reload_signal

_ROLES: Final = ('entry', 'agent')
_USAGE_ERROR_STATUS: Final = 2


def main(arguments: list[str]) -> None:
    """Run the role that the only argument names."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write('usage: savoryrudder.platform entry|agent\n')
        sys.exit(_USAGE_ERROR_STATUS)
    hold_reload_signal()
    # Imports create many objects and hardly any garbage. `run_process` enables
    # the garbage collector again.
    gc.disable()
    import_module(f'savoryrudder.platform.{arguments[0]}').main()


if __name__ == '__main__':
    main(sys.argv[1:])
