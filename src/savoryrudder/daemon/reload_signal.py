"""Hold SIGHUP back until a process can handle it.

Its default action ends the process. This module is imported before those that
take time.
"""

from __future__ import annotations

import signal


def hold_reload_signal() -> None:
    """Hold SIGHUP back in this thread and in those that it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def release_reload_signal() -> None:
    """Deliver a SIGHUP that was held back, and those that follow."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
