"""Define the statuses, outcomes and reason codes of answers."""

from __future__ import annotations

from typing import Final

COMPLETE: Final = 'complete'
FAILED: Final = 'failed'
REFUSED: Final = 'refused'
RUNNING: Final = 'running'

NOT_RUN: Final = 'not-run'
UNKNOWN: Final = 'unknown'

AGENT_LOST: Final = 'agent-lost'
CANCELLED: Final = 'cancelled'
DAMAGED_RESULT: Final = 'damaged-result'
DEADLINE_PASSED: Final = 'deadline-passed'
DEADLINE_UNREACHABLE: Final = 'deadline-unreachable'
DEPENDENCY_UNAVAILABLE: Final = 'dependency-unavailable'
INVALID_REQUEST: Final = 'invalid-request'
IN_DOUBT: Final = 'in-doubt'
JOB_FAILED: Final = 'job-failed'
KEY_CONFLICT: Final = 'key-conflict'
KEY_EXPIRED: Final = 'key-expired'
NO_CONFIGURATION: Final = 'no-configuration'
NO_UPSTREAM: Final = 'no-upstream'
NOT_FOUND: Final = 'not-found'
NOT_OWNER: Final = 'not-owner'
OVERLOADED: Final = 'overloaded'
RATE_LIMITED: Final = 'rate-limited'
RESULT_RELEASED: Final = 'result-released'
STOPPING: Final = 'stopping'
TAKEOVER: Final = 'takeover'
TOO_LARGE: Final = 'too-large'
UNKNOWN_CLIENT: Final = 'unknown-client'
UNKNOWN_OPERATION: Final = 'unknown-operation'
UNKNOWN_SERVICE: Final = 'unknown-service'
URGENCY_NOT_ALLOWED: Final = 'urgency-not-allowed'
