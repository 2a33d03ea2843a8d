"""Handle termination and reload signals."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from savoryrudder.daemon.reload_signal import release_reload_signal

if TYPE_CHECKING:
    from collections.abc import Callable


async def watch_signals(
    on_stop: Callable[[], None],
    on_reload: Callable[[], None] | None = None,
) -> None:
    """Call `on_stop` on SIGTERM and SIGINT, `on_reload` on SIGHUP.

    Without `on_reload`, SIGHUP keeps its default action, which terminates
    the process.
    """
    signals = [signal.SIGTERM, signal.SIGINT]
    if on_reload is not None:
        signals.append(signal.SIGHUP)
    with anyio.open_signal_receiver(*signals) as receiver:
        if on_reload is not None:
            release_reload_signal()
        async for received in receiver:
            if received == signal.SIGHUP and on_reload is not None:
                on_reload()
            else:
                on_stop()
