"""Count events and record latencies."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import generate_latest
from prometheus_client.core import Metric

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

_US: Final = 1_000_000
_LONGEST_US: Final = 3600 * _US
_SIGNIFICANT_DIGITS: Final = 2
_QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
_PERCENT: Final = 100
_NAMESPACE: Final = 'savoryrudder'
# Prometheus refuses other characters, such as the hyphens of reasons.
_NOT_IN_METRICS: Final = re.compile('[^a-zA-Z0-9_]')


class _Latency:
    """Hold the durations of one name in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _LONGEST_US, _SIGNIFICANT_DIGITS)
        self._sum_s = float(0)

    def record(self, seconds: float) -> None:
        """Add a duration; out-of-range ones count as the nearest bound."""
        bounded = min(max(int(seconds * _US), 1), _LONGEST_US)
        self._histogram.record_value(bounded)
        self._sum_s += seconds

    def export(self, name: str) -> Metric:
        """Return a summary of the durations in seconds."""
        metric = Metric(name, name.replace('_', ' '), 'summary')
        for quantile in _QUANTILES:
            micros = self._histogram.get_value_at_percentile(
                quantile * _PERCENT,
            )
            labels = {'quantile': str(quantile)}
            metric.add_sample(name, labels, micros / _US)
        total = self._histogram.get_total_count()
        metric.add_sample(f'{name}_count', {}, total)
        metric.add_sample(f'{name}_sum', {}, self._sum_s)
        return metric


class _LatencyCollector:
    """Export all latencies to a Prometheus registry."""

    def __init__(self, latencies: Mapping[str, _Latency]) -> None:
        self._latencies = latencies

    def collect(self) -> Iterator[Metric]:
        """Yield one summary for each latency."""
        for name, latency in self._latencies.items():
            yield latency.export(f'{_metric_name(name)}_seconds')


class Counters:
    """Count events and record durations under names."""

    def __init__(self) -> None:
        """Start with an empty registry of its own."""
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._latencies: dict[str, _Latency] = {}
        self._registry.register(_LatencyCollector(self._latencies))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            described = name.replace('_', ' ')
            counter = Counter(
                _metric_name(name),
                described,
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.inc(amount)

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        latency = self._latencies.get(name)
        if latency is None:
            latency = _Latency()
            self._latencies[name] = latency
        latency.record(seconds)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _metric_name(name: str) -> str:
    return f'{_NAMESPACE}_{_NOT_IN_METRICS.sub("_", name)}'
