"""Judge a run by what its callers and upstreams saw."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from fakes.upstream import result_of

if TYPE_CHECKING:
    from fakes.callers import Call

LEAVING_S = 3.0
_NOT_RUN = 'not-run'


class Oracle:
    """Collect starts, answers and revisions, and the violations in them."""

    def __init__(self) -> None:
        """Start without observations."""
        self.violations: list[str] = []
        self.starts: dict[bytes, list[float]] = defaultdict(list)
        self._copies: dict[bytes, list[float]] = defaultdict(list)
        self._complete: dict[bytes, Any] = {}
        self._leaving: dict[Any, float] = {}
        self._started: Counter[tuple[bytes, int]] = Counter()
        self._claims: list[tuple[float, bytes, str]] = []

    def note_start(self, agent: Any, call: Any, now: float) -> None:
        """Count a task that reached its upstream (P1, P5, P6)."""
        self.starts[call.payload].append(now)
        self._started[call.task] += 1
        if self._started[call.task] > 1:
            self._report('P1', f'{call.payload!r} started again at {now:.3f}')
        if now > self._leaving.get(agent, now) + LEAVING_S:
            self._report('P6', f'{agent.name} started after leaving')

    def note_leaving(self, agent: Any, now: float) -> None:
        """Note that an agent announced that it leaves."""
        self._leaving.setdefault(agent, now)

    def note_revision(self, name: str, before: int, after: int) -> None:
        """Check that a process keeps its revision or moves on (P8)."""
        if after < before:
            self._report('P8', f'{name} went from {before} to {after}')

    def note_copy(self, call: Call) -> None:
        """Note that a caller submits a copy of a job."""
        for payload in call.payloads:
            self._copies[payload].append(call.sent_at)

    def note_answer(self, call: Call, answer: Any, now: float) -> None:
        """Check an answer as its caller receives it (P2, P3, P4)."""
        if call.answer is not None:
            self._report('P3', f'{call.key} answered twice to one request')
        call.answer = answer
        call.answered_at = now
        if answer.status == 'complete':
            self._check_complete(call, answer.tasks)
        elif any(task.result for task in answer.tasks):
            self._report('P2', f'{call.key} {answer.status} with results')
        claimed = set()
        if answer.outcome == _NOT_RUN:
            claimed.update(call.payloads)
        for payload, task in zip(call.payloads, answer.tasks, strict=False):
            if task.outcome == _NOT_RUN:
                claimed.add(payload)
        for unstarted in claimed:
            self._claims.append((now, unstarted, call.status))

    def judge(self) -> list[str]:
        """Check the claims of not-run against all starts; list violations."""
        for at, payload, status in self._claims:
            copies = self._copies[payload]
            for start in self.starts[payload]:
                renewed = any(at < sent < start for sent in copies)
                if not renewed:
                    self._report(
                        'P4',
                        f'{payload!r} was {status} at {at:.3f}, '
                        f'started at {start:.3f}, copies {copies}',
                    )
        self._claims.clear()
        return self.violations

    def _check_complete(self, call: Call, outcomes: Any) -> None:
        found = tuple(task.result for task in outcomes)
        if any(task.outcome != 'complete' for task in outcomes):
            self._report('P2', f'{call.key} complete with a task that is not')
        expected = tuple(result_of(payload) for payload in call.payloads)
        if call.payloads and found != expected:
            self._report('P3', f'{call.key} has the results {found!r}')
        if not all(self.starts[payload] for payload in call.payloads):
            self._report('P3', f'{call.key} complete without a start')
        if self._complete.setdefault(call.key, found) != found:
            self._report('P3', f'{call.key} answered in two ways')

    def _report(self, invariant: str, what: str) -> None:
        self.violations.append(f'{invariant}: {what}')
