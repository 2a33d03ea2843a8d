"""Check the invariants on the observations of callers and upstreams."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from fakes.upstream import result_of

if TYPE_CHECKING:
    from fakes.callers import Call

MAX_START_DELAY_AFTER_LEAVING_S = 3.0
_NOT_RUN = 'not-run'


class Oracle:
    """Collect starts, answers and revisions and report violations."""

    def __init__(self) -> None:
        """Start without observations."""
        self.violations: list[str] = []
        self.starts: dict[bytes, list[float]] = defaultdict(list)
        self._submission_times: dict[bytes, list[float]] = defaultdict(list)
        self._first_results: dict[bytes, Any] = {}
        self._leaving_since: dict[Any, float] = {}
        self._start_counts: Counter[tuple[bytes, int]] = Counter()
        self._not_run_claims: list[tuple[float, bytes, str]] = []

    def note_start(self, agent: Any, call: Any, now: float) -> None:
        """Check a task that reached its upstream (P1, P5, P6)."""
        self.starts[call.payload].append(now)
        self._start_counts[call.task] += 1
        if self._start_counts[call.task] > 1:
            self._add_violation(
                'P1', f'{call.payload!r} started again at {now:.3f}'
            )
        if (
            now
            > self._leaving_since.get(agent, now)
            + MAX_START_DELAY_AFTER_LEAVING_S
        ):
            self._add_violation('P6', f'{agent.name} started after leaving')

    def note_leaving(self, agent: Any, now: float) -> None:
        """Note that an agent announced its leaving."""
        self._leaving_since.setdefault(agent, now)

    def note_revision(self, name: str, before: int, after: int) -> None:
        """Check that the revision of a process never decreases (P8)."""
        if after < before:
            self._add_violation('P8', f'{name} went from {before} to {after}')

    def note_copy(self, call: Call) -> None:
        """Note that a caller submits a copy of a job."""
        for payload in call.payloads:
            self._submission_times[payload].append(call.sent_at)

    def note_answer(self, call: Call, answer: Any, now: float) -> None:
        """Check an answer as its caller receives it (P2, P3, P4)."""
        if call.answer is not None:
            self._add_violation(
                'P3', f'{call.key} answered twice to one request'
            )
        call.answer = answer
        call.answered_at = now
        if answer.status == 'complete':
            self._check_complete_answer(call, answer.tasks)
        elif any(task.result for task in answer.tasks):
            self._add_violation(
                'P2', f'{call.key} {answer.status} with results'
            )
        not_run = set()
        if answer.outcome == _NOT_RUN:
            not_run.update(call.payloads)
        for task_payload, task in zip(
            call.payloads, answer.tasks, strict=False
        ):
            if task.outcome == _NOT_RUN:
                not_run.add(task_payload)
        for payload in not_run:
            self._not_run_claims.append((now, payload, call.status))

    def find_violations(self) -> list[str]:
        """Check the claims of not-run against all starts; return violations."""
        for at, payload, status in self._not_run_claims:
            submission_times = self._submission_times[payload]
            for start in self.starts[payload]:
                resubmitted = any(
                    at < sent < start for sent in submission_times
                )
                if not resubmitted:
                    self._add_violation(
                        'P4',
                        f'{payload!r} was {status} at {at:.3f}, '
                        f'started at {start:.3f}, copies {submission_times}',
                    )
        self._not_run_claims.clear()
        return self.violations

    def _check_complete_answer(self, call: Call, outcomes: Any) -> None:
        results = tuple(task.result for task in outcomes)
        if any(task.outcome != 'complete' for task in outcomes):
            self._add_violation(
                'P2', f'{call.key} complete with a task that is not'
            )
        expected = tuple(result_of(payload) for payload in call.payloads)
        if call.payloads and results != expected:
            self._add_violation('P3', f'{call.key} has the results {results!r}')
        if not all(self.starts[payload] for payload in call.payloads):
            self._add_violation('P3', f'{call.key} complete without a start')
        if self._first_results.setdefault(call.key, results) != results:
            self._add_violation('P3', f'{call.key} answered in two ways')

    def _add_violation(self, invariant: str, detail: str) -> None:
        self.violations.append(f'{invariant}: {detail}')
