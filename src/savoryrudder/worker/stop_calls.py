"""Order the requests to stop runs, and track those that are under way."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from savoryrudder.protocol.work import RunKey
from savoryrudder.protocol.work import job_of_task


class _Retry(NamedTuple):
    """Hold a stop without an answer and when to send it again."""

    due_at: float
    key: RunKey


@dataclass(slots=True)
class StopCalls:
    """Hold each requested stop until it is settled.

    A stop waits for its turn, is under way, or waits to be sent again. Jobs
    take turns, so that the stops of a small one do not wait behind all those of
    a large one.
    """

    _waiting_by_job: dict[str, deque[RunKey]] = field(default_factory=dict)
    _under_way: set[RunKey] = field(default_factory=set)
    # All retries have the same delay, so that they are in the order of time.
    _retries: deque[_Retry] = field(default_factory=deque)
    _requested: set[RunKey] = field(default_factory=set)

    @property
    def under_way(self) -> int:
        """Return the number of stops that were sent and are unanswered."""
        return len(self._under_way)

    @property
    def next_retry_at(self) -> float:
        """Return when the next retry is due; infinity if there is none."""
        return self._retries[0].due_at if self._retries else math.inf

    def request(self, key: RunKey) -> None:
        """Let a run be stopped, unless that is requested already."""
        if key not in self._requested:
            self._requested.add(key)
            self._enqueue(key)

    def requeue_due(self, now: float) -> None:
        """Let the stops whose retry is due wait for their turn again."""
        while self._retries and self._retries[0].due_at <= now:
            self._enqueue(self._retries.popleft().key)

    def take_next(self) -> RunKey | None:
        """Return the stop whose turn it is, as under way."""
        if not self._waiting_by_job:
            return None
        job = next(iter(self._waiting_by_job))
        keys = self._waiting_by_job.pop(job)
        key = keys.popleft()
        if keys:
            # The job is served again after all others.
            self._waiting_by_job[job] = keys
        self._under_way.add(key)
        return key

    def settle(self, key: RunKey) -> None:
        """Forget a stop that was confirmed or is not needed any more."""
        self._under_way.discard(key)
        self._requested.discard(key)

    def retry(self, key: RunKey, due_at: float) -> None:
        """Send a stop that was under way again."""
        self._under_way.discard(key)
        self._retries.append(_Retry(due_at, key))

    def _enqueue(self, key: RunKey) -> None:
        job = job_of_task(key[0])
        self._waiting_by_job.setdefault(job, deque()).append(key)
