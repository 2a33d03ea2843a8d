"""Contain errors that a call to another process raises unexpectedly.

The address and the answer come from that process or from another writer, and a
library may raise on them what its caller does not foresee. Such an error ends
the one call. An error of a reducer still ends the process, as its state may be
wrong from then on.
"""

from __future__ import annotations

import contextlib
import traceback
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.daemon.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savoryrudder.daemon.metrics import Counters

UNEXPECTED_ERRORS: Final = 'unexpected_errors'


@contextlib.contextmanager
def contain_errors(counters: Counters, call: str) -> Iterator[None]:
    """Count an unexpected error of a call, and log it with its traceback."""
    try:
        yield
    except Exception as error:
        counters.count(UNEXPECTED_ERRORS)
        log_event(
            'unexpected-error',
            (
                ('call', call),
                ('error', repr(error)),
                ('trace', traceback.format_exc()),
            ),
        )
