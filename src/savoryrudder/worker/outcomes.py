"""Name the outcomes of a run."""

from __future__ import annotations

from typing import Final

DONE: Final = 'done'
# The task failed, through its own fault or the executor's.
FAILED: Final = 'failed'
# It was stopped on request.
STOPPED: Final = 'stopped'
# Its lease expired, or the executor crashed.
LOST: Final = 'lost'
# It did not start and will not.
NOT_STARTED: Final = 'not-started'
