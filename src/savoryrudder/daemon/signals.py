"""Turn termination signals into a graceful stop."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable


async def watch_signals(on_stop: Callable[[], None]) -> None:
    """Call `on_stop` on SIGTERM and SIGINT until cancelled."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            on_stop()
