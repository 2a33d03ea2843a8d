"""Write log lines as JSON.

eliot writes them to a file. It is imported on demand: processes that log to
standard output start sooner without it.
"""

from __future__ import annotations

import contextlib
import os
import select
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

STANDARD_OUTPUT: Final = '-'

# Rate limit of the log lines of a process, as a token bucket.
_LINES_PER_S: Final = 500
_BURST_LINES: Final = 2000
# A writable pipe accepts this much (PIPE_BUF) without blocking.
_MAX_LINE_BYTES: Final = 4096


class BoundedLog:
    """Write log lines to a file descriptor without blocking.

    A line is dropped while the reader is stalled or the rate limit is
    exceeded; the next line written carries the number of dropped ones.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to an open file descriptor."""
        self._descriptor = descriptor
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._tokens = float(_BURST_LINES)
        self._refilled_at = clock()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last one written."""
        return self._dropped

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write a message as one line, or count it as dropped."""
        self._refill()
        if self._tokens < 1 or not self._poll.poll(0):
            self._dropped += 1
            return
        content = dict(message)
        if self._dropped:
            content['dropped'] = self._dropped
        line = self._encoder.encode(content)[: _MAX_LINE_BYTES - 1]
        self._tokens -= 1
        try:
            os.write(self._descriptor, b'%s\n' % line)
        except OSError:
            self._dropped += 1
            return
        self._dropped = 0

    def _refill(self) -> None:
        now = self._clock()
        refill = (now - self._refilled_at) * _LINES_PER_S
        self._refilled_at = now
        self._tokens = min(self._tokens + refill, _BURST_LINES)


# The logs on standard output that are open: one at most in a process.
_bounded_logs: Final[list[BoundedLog]] = []


@contextlib.contextmanager
def log_to(path: str) -> Iterator[None]:
    """Write log lines to a file; an empty path is stderr, `-` is stdout."""
    if path == STANDARD_OUTPUT:
        with _log_to_standard_output():
            yield
        return
    with _log_to_file(path):
        yield


@contextlib.contextmanager
def _log_to_standard_output() -> Iterator[None]:
    _bounded_logs.append(BoundedLog(sys.stdout.fileno()))
    try:
        yield
    finally:
        _bounded_logs.pop()


@contextlib.contextmanager
def _log_to_file(path: str) -> Iterator[None]:
    import eliot

    with contextlib.ExitStack() as cleanup:
        output = sys.stderr
        if path:
            output = cleanup.enter_context(
                Path(path).open('a', encoding='utf-8'),
            )
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        cleanup.callback(eliot.remove_destination, destination)
        yield


def log_event(name: str, fields: Sequence[tuple[str, str]]) -> None:
    """Write one log line about an event."""
    if not _bounded_logs:
        _log_with_eliot(name, fields)
        return
    line = {'timestamp': time.time(), 'message_type': name, **dict(fields)}
    for bounded_log in _bounded_logs:
        bounded_log(line)


def _log_with_eliot(name: str, fields: Sequence[tuple[str, str]]) -> None:
    import eliot

    eliot.log_message(message_type=name, **dict(fields))
