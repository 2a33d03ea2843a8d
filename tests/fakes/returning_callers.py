"""Simulate callers that submit a job again through any entry."""

from __future__ import annotations

import dataclasses
import itertools
from collections import Counter
from typing import TYPE_CHECKING

from fakes.executor import FakeExecutor
from fakes.fleet import CAPACITY

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events as entry_events

if TYPE_CHECKING:
    import random

    from fakes.fleet import EntryProcess
    from fakes.fleet import Fleet

    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.worker import effects

# A caller submits a job again after this time at the earliest.
RESUBMISSION_S = 1.3
UNANSWERED = 'unanswered'
_MAX_EXTRA_DELAY_S = 2
_MAX_RETURNS = 3
_PATIENCE_S = (0.05, 2.5)
# A caller that does not come back any more waits longer.
_LAST_PATIENCE_S = 12
_LATE_NOTICE_S = (0.3, 4)
# How often a caller looks for its answer.
_POLL_INTERVAL_S = 0.005
_RETRYABLE = frozenset((answers.SUPERSEDED, answers.INTERRUPTED))


class RecordingExecutor(FakeExecutor):
    """Keep the jobs of all tasks that have ever started."""

    def __init__(self, name: str) -> None:
        """Start without runs."""
        super().__init__(name, CAPACITY)
        self.started_jobs: set[str] = set()

    def start(
        self,
        now: float,
        call: effects.StartRun,
        duration_s: float,
    ) -> str:
        """Start a run and record its job."""
        verdict = super().start(now, call, duration_s)
        if call.task in self.runs:
            self.started_jobs.add(call.task.partition('.')[0])
        return verdict


@dataclasses.dataclass(slots=True)
class _Caller:
    """Hold a job and how often its caller still comes back."""

    job: JobRequest
    submitted_at: float
    returns_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Hold one request of a caller and when the caller breaks it off."""

    caller: _Caller
    process: EntryProcess
    request: int
    leaves_at: float


class ReturningCallers:
    """Submit jobs, break off requests, and come back with the same jobs.

    `served` counts the callers by the verdict that they got at last, and
    `delays_s` are the times from the first submission to a completed job.
    """

    def __init__(
        self,
        fleet: Fleet,
        executors: list[RecordingExecutor],
        rng: random.Random,
    ) -> None:
        """Start without callers."""
        self.served: Counter[str] = Counter()
        self.delays_s: list[float] = []
        self._refused_jobs: set[str] = set()
        self._fleet = fleet
        self._executors = executors
        self._rng = rng

    @property
    def untrue_refusals(self) -> set[str]:
        """Return the refused jobs of which a task has run."""
        started = (executor.started_jobs for executor in self._executors)
        return self._refused_jobs.intersection(
            itertools.chain.from_iterable(started),
        )

    def submit(self, job: JobRequest) -> None:
        """Let a new caller submit a job at any entry."""
        returns = self._rng.randint(0, _MAX_RETURNS)
        self._attempt(_Caller(job, self._fleet.clock.now, returns))

    def _attempt(self, caller: _Caller) -> None:
        fleet = self._fleet
        entry = self._rng.randrange(len(fleet.entries))
        patience_s: float = _LAST_PATIENCE_S
        if caller.returns_left:
            patience_s = self._rng.uniform(*_PATIENCE_S)
        self._watch(
            _Attempt(
                caller,
                fleet.entries[entry],
                fleet.submit(entry, caller.job),
                fleet.clock.now + patience_s,
            ),
        )

    def _watch(self, attempt: _Attempt) -> None:
        answer = self._fleet.answers.get(attempt.request)
        if answer is None:
            self._wait(attempt)
        else:
            self._handle_answer(attempt.caller, answer)

    def _wait(self, attempt: _Attempt) -> None:
        clock = self._fleet.clock
        if attempt.process.alive and clock.now < attempt.leaves_at:
            clock.after(_POLL_INTERVAL_S, self._watch, attempt)
        else:
            self._leave(attempt)

    def _handle_answer(self, caller: _Caller, answer: answers.Answer) -> None:
        if answer.verdict in _RETRYABLE:
            self._return_or_end(caller, answer.verdict)
            return
        self.served[answer.verdict] += 1
        if answer.verdict == answers.COMPLETED:
            delay_s = self._fleet.clock.now - caller.submitted_at
            self.delays_s.append(delay_s)
        elif answer.verdict in answers.REFUSALS:
            self._refused_jobs.add(caller.job.job_id)

    def _leave(self, attempt: _Attempt) -> None:
        # The entry notices it at once, late or never.
        match self._rng.randrange(3):
            case 0:
                self._notice_leaving(attempt)
            case 1:
                delay_s = self._rng.uniform(*_LATE_NOTICE_S)
                self._fleet.clock.after(delay_s, self._notice_leaving, attempt)
        self._return_or_end(attempt.caller, UNANSWERED)

    def _notice_leaving(self, attempt: _Attempt) -> None:
        now = self._fleet.clock.now
        left = entry_events.CallerDisconnected(now, attempt.request)
        attempt.process.post(left)

    def _return_or_end(self, caller: _Caller, outcome: str) -> None:
        if not caller.returns_left:
            self.served[outcome] += 1
            return
        caller.returns_left -= 1
        extra_s = self._rng.uniform(0, _MAX_EXTRA_DELAY_S)
        delay_s = RESUBMISSION_S + self._rng.choice((0, extra_s))
        self._fleet.clock.after(delay_s, self._attempt, caller)
