"""Write log lines as JSON."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

import eliot

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

STANDARD_OUTPUT: Final = '-'


@contextlib.contextmanager
def log_to(path: str) -> Iterator[None]:
    """Write log lines as JSON to a file; empty is stderr, `-` is stdout."""
    with contextlib.ExitStack() as cleanup:
        output = sys.stdout if path == STANDARD_OUTPUT else sys.stderr
        if path and path != STANDARD_OUTPUT:
            output = cleanup.enter_context(
                Path(path).open('a', encoding='utf-8'),
            )
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        cleanup.callback(eliot.remove_destination, destination)
        yield


def log_change(name: str, fields: Sequence[tuple[str, str]]) -> None:
    """Write one log line about a change of state."""
    eliot.log_message(message_type=name, **dict(fields))
