"""Rate the upstreams of a service by their failures and service times."""

from __future__ import annotations

import dataclasses
import math
from typing import Final
from typing import NamedTuple

FAILURE_WEIGHT: Final = 0.2
# Weighted failures, less one for each success, needed for an ejection.
MIN_FAILURES: Final = 4
EJECTION_MARGIN: Final = 0.3
# At most one in this many upstreams is ejected.
UPSTREAMS_PER_EJECTION: Final = 3
# With fewer outcomes on other upstreams, a failure is not attributed to the
# operation.
MIN_OUTCOMES_ELSEWHERE: Final = 5
# Outcome counts are halved beyond this, so that older outcomes weigh less.
OUTCOME_WINDOW: Final = 200
MIN_PROBE_INTERVAL_S: Final = 1
MAX_PROBE_INTERVAL_S: Final = 60
# A probe without an outcome is repeated after this time.
PROBE_TIMEOUT_S: Final = 30
PROBES_TO_RESTORE: Final = 2
SLOWNESS_WEIGHT: Final = 0.15
MIN_TIMINGS: Final = 5
# An upstream this many times slower than the others is used only if the queue
# makes tasks wait even longer.
SLOW_FACTOR: Final = 3


class UpstreamStatus(NamedTuple):
    """Say how an upstream may be used; `slowness` is a factor of at least 1."""

    ejected: bool
    slow: bool
    slowness: float
    probe_at: float


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Count outcomes so that older ones weigh less."""

    failed: float = 0
    ended: float = 0

    def add(self, *, failed: bool) -> None:
        self.failed += failed
        self.ended += 1
        if self.ended > OUTCOME_WINDOW:
            self.failed /= 2
            self.ended /= 2


@dataclasses.dataclass(slots=True)
class _Upstream:
    """Track the state of one upstream."""

    failure_score: float = 0
    excess_failures: float = 0
    ejected: bool = False
    probes_passed: int = 0
    probe_at: float = 0
    probing: bool = False
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    log2_slowness: float = 0
    timings: int = 0
    outcomes: dict[str, _Outcomes] = dataclasses.field(default_factory=dict)


class ServiceHealth:
    """Rate the upstreams of one service."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self._upstreams: dict[str, _Upstream] = {}
        self._outcomes: dict[str, _Outcomes] = {}
        self._total_failure_score: float = 0
        self._total_log2_slowness: float = 0
        self._timed_upstreams = 0
        self._ejected: set[str] = set()

    @property
    def ejected(self) -> frozenset[str]:
        """Return the ejected upstreams."""
        return frozenset(self._ejected)

    def add(self, name: str) -> None:
        """Add an upstream and discard its history, if any."""
        self.remove(name)
        self._upstreams[name] = _Upstream()

    def remove(self, name: str) -> list[str]:
        """Remove an upstream; return the upstreams restored in consequence.

        With fewer upstreams, fewer may be ejected.
        """
        upstream = self._upstreams.pop(name, None)
        if upstream is None:
            return []
        self._total_failure_score -= upstream.failure_score
        self._total_log2_slowness -= upstream.log2_slowness
        self._timed_upstreams -= upstream.timings > 0
        self._ejected.discard(name)
        restored = []
        while len(self._ejected) * UPSTREAMS_PER_EJECTION > len(
            self._upstreams
        ):
            best = min(self._ejected, key=self._sort_key)
            self._restore(best)
            restored.append(best)
        return restored

    def status(self, name: str) -> UpstreamStatus:
        """Return how an upstream may be used."""
        upstream = self._upstreams[name]
        return UpstreamStatus(
            upstream.ejected,
            self._is_slow(upstream),
            2 ** max(0, self._excess_log2_slowness(upstream)),
            upstream.probe_at,
        )

    def record_probe(self, name: str, now: float) -> None:
        """Record that an ejected or slow upstream was given a task."""
        upstream = self._upstreams[name]
        upstream.probing = True
        upstream.probe_at = now + PROBE_TIMEOUT_S

    def record_outcome(
        self,
        name: str,
        operation: str,
        now: float,
        *,
        failed: bool,
        not_run: bool = False,
    ) -> None:
        """Record the outcome of a task."""
        upstream = self._upstreams[name]
        weight: float = 0
        if failed:
            # A task that did not run says nothing about its operation.
            elsewhere = (
                0 if not_run else self._failure_ratio_elsewhere(name, operation)
            )
            weight = 1 - elsewhere
        if not not_run:
            self._count_outcome(upstream, operation, failed=failed)
        self._update_score(upstream, weight, failed=failed)
        if upstream.ejected:
            self._apply_probe_outcome(name, now, failed=failed)
        elif self._is_failing(upstream):
            self._eject(name, now)

    def record_service_time(self, name: str, ratio: float, now: float) -> None:
        """Record a service time as a ratio to the mean of the operation."""
        upstream = self._upstreams[name]
        was_slow = self._is_slow(upstream)
        upstream.timings += 1
        self._timed_upstreams += upstream.timings == 1
        weight = max(1 / upstream.timings, SLOWNESS_WEIGHT)
        change = weight * (math.log2(ratio) - upstream.log2_slowness)
        upstream.log2_slowness += change
        self._total_log2_slowness += change
        if self._is_slow(upstream):
            if not was_slow or ratio < SLOW_FACTOR:
                upstream.probe_interval_s = MIN_PROBE_INTERVAL_S
            if not was_slow or upstream.probing:
                self._schedule_probe(upstream, now)

    def _is_slow(self, upstream: _Upstream) -> bool:
        return upstream.timings >= MIN_TIMINGS and self._excess_log2_slowness(
            upstream
        ) > math.log2(SLOW_FACTOR)

    def _excess_log2_slowness(self, upstream: _Upstream) -> float:
        """Compare with the mean of the others only.

        A slow upstream would raise a mean that includes it.
        """
        others = self._timed_upstreams - 1
        if others < 1 or not upstream.timings:
            return 0
        mean_of_others = (
            self._total_log2_slowness - upstream.log2_slowness
        ) / others
        return upstream.log2_slowness - mean_of_others

    def _sort_key(self, name: str) -> tuple[float, str]:
        return self._upstreams[name].failure_score, name

    def _failure_ratio_elsewhere(self, name: str, operation: str) -> float:
        everywhere = self._outcomes.get(operation, _Outcomes())
        here = self._upstreams[name].outcomes.get(operation, _Outcomes())
        ended = everywhere.ended - here.ended
        if ended < MIN_OUTCOMES_ELSEWHERE:
            return 0
        return min(1, max(0, everywhere.failed - here.failed) / ended)

    def _count_outcome(
        self,
        upstream: _Upstream,
        operation: str,
        *,
        failed: bool,
    ) -> None:
        for outcomes in (self._outcomes, upstream.outcomes):
            outcomes.setdefault(operation, _Outcomes()).add(failed=failed)

    def _update_score(
        self,
        upstream: _Upstream,
        weight: float,
        *,
        failed: bool,
    ) -> None:
        self._total_failure_score -= upstream.failure_score
        upstream.failure_score += FAILURE_WEIGHT * (
            weight - upstream.failure_score
        )
        self._total_failure_score += upstream.failure_score
        upstream.excess_failures = max(
            0, upstream.excess_failures + weight - (not failed)
        )

    def _is_failing(self, upstream: _Upstream) -> bool:
        others = max(1, len(self._upstreams) - 1)
        mean_of_others = (
            self._total_failure_score - upstream.failure_score
        ) / others
        return (
            upstream.excess_failures >= MIN_FAILURES
            and upstream.failure_score > mean_of_others + EJECTION_MARGIN
        )

    def _eject(self, name: str, now: float) -> None:
        if (len(self._ejected) + 1) * UPSTREAMS_PER_EJECTION > len(
            self._upstreams
        ):
            return
        upstream = self._upstreams[name]
        upstream.ejected = True
        upstream.probes_passed = 0
        upstream.probe_interval_s = MIN_PROBE_INTERVAL_S
        self._ejected.add(name)
        self._schedule_probe(upstream, now)

    def _apply_probe_outcome(
        self, name: str, now: float, *, failed: bool
    ) -> None:
        upstream = self._upstreams[name]
        if not upstream.probing:
            # The task was sent before the ejection.
            return
        if failed:
            upstream.probes_passed = 0
            self._schedule_probe(upstream, now)
            return
        upstream.probing = False
        upstream.probes_passed += 1
        upstream.probe_at = now
        if upstream.probes_passed >= PROBES_TO_RESTORE:
            self._restore(name)

    def _schedule_probe(self, upstream: _Upstream, now: float) -> None:
        upstream.probing = False
        upstream.probe_at = now + upstream.probe_interval_s
        upstream.probe_interval_s = min(
            2 * upstream.probe_interval_s, MAX_PROBE_INTERVAL_S
        )

    def _restore(self, name: str) -> None:
        upstream = self._upstreams[name]
        self._total_failure_score -= upstream.failure_score
        upstream.failure_score = 0
        upstream.excess_failures = 0
        upstream.ejected = False
        self._ejected.discard(name)
