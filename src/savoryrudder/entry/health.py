"""Judge the upstreams of one service by failures and service times."""

from __future__ import annotations

import dataclasses
import math
from typing import Final
from typing import NamedTuple

FAILURE_WEIGHT: Final = 0.2
# Weighted failures that are not made up for by as many successes.
MIN_FAILURES: Final = 4
EXCESS_RATIO: Final = 0.3
MAX_EJECTED: Final = 3
# Fewer outcomes elsewhere do not tell whether the operation is at fault.
MIN_ELSEWHERE: Final = 5
# Older outcomes of an operation count half.
OUTCOME_MEMORY: Final = 200
FIRST_PROBE_S: Final = 1
LONGEST_PROBE_S: Final = 60
# A probe without an outcome is repeated after this time.
PROBE_PATIENCE_S: Final = 30
PROBES_TO_RESTORE: Final = 2
SLOWNESS_WEIGHT: Final = 0.15
MIN_TIMES: Final = 5
# An upstream this many times slower is used only in need.
SLOW_FACTOR: Final = 3


class Verdict(NamedTuple):
    """Say how an upstream may be used; `slowness` is a factor."""

    ejected: bool
    slow: bool
    slowness: float
    probe_at: float


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Count outcomes, the older ones less."""

    failed: float = 0
    ended: float = 0

    def add(self, *, failed: bool) -> None:
        self.failed += failed
        self.ended += 1
        if self.ended > OUTCOME_MEMORY:
            self.failed /= 2
            self.ended /= 2


@dataclasses.dataclass(slots=True)
class _Upstream:
    """Track one upstream."""

    score: float = 0
    failures: float = 0
    ejected: bool = False
    restoring: int = 0
    probe_at: float = 0
    probing: bool = False
    interval_s: float = FIRST_PROBE_S
    slowness: float = 0
    times: int = 0
    operations: dict[str, _Outcomes] = dataclasses.field(default_factory=dict)


class ServiceHealth:
    """Judge the upstreams of one service."""

    def __init__(self) -> None:
        """Create a service without upstreams."""
        self._upstreams: dict[str, _Upstream] = {}
        self._operations: dict[str, _Outcomes] = {}
        self._total_score: float = 0
        self._total_slowness: float = 0
        self._timed = 0
        self._ejected: set[str] = set()

    @property
    def ejected(self) -> frozenset[str]:
        """Return the ejected upstreams."""
        return frozenset(self._ejected)

    def add(self, name: str) -> None:
        """Add an upstream without history."""
        self.remove(name)
        self._upstreams[name] = _Upstream()

    def remove(self, name: str) -> list[str]:
        """Forget an upstream; return those that may be used again."""
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return []
        self._total_score -= upstream.score
        self._total_slowness -= upstream.slowness
        self._timed -= upstream.times > 0
        self._ejected.discard(name)
        restored = []
        while len(self._ejected) * MAX_EJECTED > len(self._upstreams):
            best = min(self._ejected, key=self._score_of)
            self._restore(best)
            restored.append(best)
        return restored

    def verdict(self, name: str) -> Verdict:
        """Say how an upstream may be used."""
        upstream = self._upstreams[name]
        return Verdict(
            upstream.ejected,
            self._is_slow(upstream),
            2 ** max(0, self._excess_slowness(upstream)),
            upstream.probe_at,
        )

    def note_probe(self, name: str, now: float) -> None:
        """Record that a restricted upstream was given a task."""
        upstream = self._upstreams[name]
        upstream.probing = True
        upstream.probe_at = now + PROBE_PATIENCE_S

    def note_end(
        self,
        name: str,
        operation: str,
        now: float,
        *,
        failed: bool,
        not_run: bool = False,
    ) -> None:
        """Learn from the outcome of a task."""
        upstream = self._upstreams[name]
        weight: float = 0
        if failed:
            # A task that never ran says nothing about its operation.
            elsewhere = 0 if not_run else self._ratio_elsewhere(name, operation)
            weight = 1 - elsewhere
        if not not_run:
            self._count(upstream, operation, failed=failed)
        self._score(upstream, weight, failed=failed)
        if upstream.ejected:
            self._judge_probe(name, now, failed=failed)
        elif self._is_failing(upstream):
            self._eject(name, now)

    def note_time(self, name: str, ratio: float, now: float) -> None:
        """Learn from a service time relative to the operation's mean."""
        upstream = self._upstreams[name]
        was_slow = self._is_slow(upstream)
        upstream.times += 1
        self._timed += upstream.times == 1
        weight = max(1 / upstream.times, SLOWNESS_WEIGHT)
        change = weight * (math.log2(ratio) - upstream.slowness)
        upstream.slowness += change
        self._total_slowness += change
        if self._is_slow(upstream):
            if not was_slow or ratio < SLOW_FACTOR:
                upstream.interval_s = FIRST_PROBE_S
            if not was_slow or upstream.probing:
                self._schedule_probe(upstream, now)

    def _is_slow(self, upstream: _Upstream) -> bool:
        return upstream.times >= MIN_TIMES and self._excess_slowness(
            upstream
        ) > math.log2(SLOW_FACTOR)

    def _excess_slowness(self, upstream: _Upstream) -> float:
        """Compare with the others: a slow upstream raises the mean itself."""
        others = self._timed - 1
        if others < 1 or not upstream.times:
            return 0
        rest = (self._total_slowness - upstream.slowness) / others
        return upstream.slowness - rest

    def _score_of(self, name: str) -> tuple[float, str]:
        return self._upstreams[name].score, name

    def _ratio_elsewhere(self, name: str, operation: str) -> float:
        everywhere = self._operations.get(operation, _Outcomes())
        here = self._upstreams[name].operations.get(operation, _Outcomes())
        ended = everywhere.ended - here.ended
        if ended < MIN_ELSEWHERE:
            return 0
        return min(1, max(0, everywhere.failed - here.failed) / ended)

    def _count(
        self,
        upstream: _Upstream,
        operation: str,
        *,
        failed: bool,
    ) -> None:
        for outcomes in (self._operations, upstream.operations):
            outcomes.setdefault(operation, _Outcomes()).add(failed=failed)

    def _score(
        self,
        upstream: _Upstream,
        weight: float,
        *,
        failed: bool,
    ) -> None:
        self._total_score -= upstream.score
        upstream.score += FAILURE_WEIGHT * (weight - upstream.score)
        self._total_score += upstream.score
        upstream.failures = max(0, upstream.failures + weight - (not failed))

    def _is_failing(self, upstream: _Upstream) -> bool:
        others = max(1, len(self._upstreams) - 1)
        rest = (self._total_score - upstream.score) / others
        return (
            upstream.failures >= MIN_FAILURES
            and upstream.score > rest + EXCESS_RATIO
        )

    def _eject(self, name: str, now: float) -> None:
        if (len(self._ejected) + 1) * MAX_EJECTED > len(self._upstreams):
            return
        upstream = self._upstreams[name]
        upstream.ejected = True
        upstream.restoring = 0
        upstream.interval_s = FIRST_PROBE_S
        self._ejected.add(name)
        self._schedule_probe(upstream, now)

    def _judge_probe(self, name: str, now: float, *, failed: bool) -> None:
        upstream = self._upstreams[name]
        if not upstream.probing:
            # A task that was sent before the ejection.
            return
        if failed:
            upstream.restoring = 0
            self._schedule_probe(upstream, now)
            return
        upstream.probing = False
        upstream.restoring += 1
        upstream.probe_at = now
        if upstream.restoring >= PROBES_TO_RESTORE:
            self._restore(name)

    def _schedule_probe(self, upstream: _Upstream, now: float) -> None:
        upstream.probing = False
        upstream.probe_at = now + upstream.interval_s
        upstream.interval_s = min(2 * upstream.interval_s, LONGEST_PROBE_S)

    def _restore(self, name: str) -> None:
        upstream = self._upstreams[name]
        self._total_score -= upstream.score
        upstream.score = 0
        upstream.failures = 0
        upstream.ejected = False
        self._ejected.discard(name)
