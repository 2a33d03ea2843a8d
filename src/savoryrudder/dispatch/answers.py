"""Define the answers to callers' requests."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

COMPLETED: Final = 'completed'
FAILED: Final = 'failed'
CANCELLED: Final = 'cancelled'
PENDING: Final = 'pending'
RUNNING: Final = 'running'
# Refusals: the job has not run and will not, unless it is sent again.
OVERLOADED: Final = 'overloaded'
UNAVAILABLE: Final = 'unavailable'
UNSUPPORTED: Final = 'unsupported'
UNKNOWN_QUEUE: Final = 'unknown-queue'
UNKNOWN_JOB: Final = 'unknown-job'
CONFLICT: Final = 'conflict'
# The caller has sent the job to another entry, which goes on with it.
SUPERSEDED: Final = 'superseded'
# The job had started and was stopped; it runs again if it is sent again.
INTERRUPTED: Final = 'interrupted'

REFUSALS: Final = frozenset((OVERLOADED, UNAVAILABLE, UNSUPPORTED))
# Another submission of the job starts anew.
UNREPEATED: Final = REFUSALS | {SUPERSEDED, INTERRUPTED}


class Answer(NamedTuple):
    """Answer one request.

    `verdict` is one of the names above; `reason` explains a refusal and
    `retry_after_s` tells when to come back, 0 for never.
    """

    verdict: str
    reason: str = ''
    retry_after_s: float = 0


class QueueLength(NamedTuple):
    """Answer a request for the accepted jobs without a started task."""

    waiting: int
