"""Define the outcomes of a run."""

from __future__ import annotations

from typing import Final

DONE: Final = 'done'
# The task failed; either the task or the executor may be the cause.
FAILED: Final = 'failed'
# The run was stopped on request.
STOPPED: Final = 'stopped'
# The run's lease expired, or the executor crashed.
LOST: Final = 'lost'
# The run did not start and never will.
NOT_STARTED: Final = 'not-started'
