"""Decide on arrival which jobs are accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from savoryrudder.entry import reasons

if TYPE_CHECKING:
    from savoryrudder.entry.placement import Fleet
    from savoryrudder.entry.queueing import ServiceQueue
    from savoryrudder.policy.model import Policy
    from savoryrudder.protocol.messages import Job


class Refusal(NamedTuple):
    """Say why a job is refused and when to try again (0: never)."""

    reason: str
    detail: str
    retry_after_ms: int


class Admission:
    """Check jobs against the policy, the terms and the expected wait."""

    def __init__(self) -> None:
        """Create an admission control without history."""
        self._running: dict[str, int] = {}

    def check(
        self,
        job: Job,
        policy: Policy,
        queues: dict[str, ServiceQueue],
        fleet: Fleet,
        now: float,
    ) -> Refusal | None:
        """Return the refusal of a job, or None and count its tasks."""
        service = policy.services.get(job.service)
        if service is None:
            return Refusal(
                reasons.UNKNOWN_SERVICE,
                f'no service is named {job.service!r}',
                0,
            )
        if job.client not in policy.clients:
            return Refusal(
                reasons.UNKNOWN_CLIENT,
                f'no client is named {job.client!r}',
                0,
            )
        for task in job.tasks:
            if task.operation not in service.operations:
                return Refusal(
                    reasons.UNKNOWN_OPERATION,
                    f'{job.service} has no operation {task.operation!r}',
                    0,
                )
        return None

    def job_ended(self, client: str, tasks: int, now: float) -> None:
        """Forget the tasks of an ended job."""
