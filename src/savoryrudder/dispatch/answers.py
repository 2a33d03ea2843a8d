"""Define the answers to callers' requests and their verdicts."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

COMPLETED: Final = 'completed'
FAILED: Final = 'failed'
CANCELLED: Final = 'cancelled'
PENDING: Final = 'pending'
RUNNING: Final = 'running'
# Refusals: the job has not run and only runs if it is submitted again.
OVERLOADED: Final = 'overloaded'
UNAVAILABLE: Final = 'unavailable'
UNSUPPORTED: Final = 'unsupported'
UNKNOWN_QUEUE: Final = 'unknown-queue'
UNKNOWN_JOB: Final = 'unknown-job'
CONFLICT: Final = 'conflict'
# The caller submitted the job to another entry, which now runs it.
SUPERSEDED: Final = 'superseded'
# The job was stopped after its start; it runs again if it is resubmitted.
INTERRUPTED: Final = 'interrupted'

REFUSALS: Final = frozenset((OVERLOADED, UNAVAILABLE, UNSUPPORTED))
# Verdicts after which another submission of the same job starts a new run.
RETRYABLE: Final = REFUSALS | {SUPERSEDED, INTERRUPTED}


class Answer(NamedTuple):
    """Hold the answer to one request.

    `verdict` is one of the constants of this module, `reason` explains a
    refusal or failure, and `retry_after_s` is the suggested delay before a
    retry, 0 for no retry.
    """

    verdict: str
    reason: str = ''
    retry_after_s: float = 0


class QueueLength(NamedTuple):
    """Hold the number of accepted jobs of a queue without a started task."""

    waiting: int
