"""Count events and record latencies."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client.core import Metric

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
        from prometheus_client.core import Metric

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


class _Collector:
    """Export all counters and latencies to a Prometheus registry."""

    def __init__(
        self,
        counts: Mapping[str, int],
        latencies: Mapping[str, _Latency],
    ) -> None:
        self._counts = counts
        self._latencies = latencies

    def collect(self) -> Iterator[Metric]:
        """Yield one metric for each name."""
        from prometheus_client.core import CounterMetricFamily

        for counted, total in self._counts.items():
            yield CounterMetricFamily(
                _metric_name(counted),
                counted.replace('_', ' '),
                value=total,
            )
        for timed, latency in self._latencies.items():
            yield latency.export(f'{_metric_name(timed)}_seconds')


class Counters:
    """Count events and record durations under names.

    The library that writes the metrics is imported when they are asked for
    first; a process starts in less time without it.
    """

    def __init__(self) -> None:
        """Start without counters."""
        self._counts: dict[str, int] = {}
        self._latencies: dict[str, _Latency] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        latency = self._latencies.get(name)
        if latency is None:
            latency = _Latency()
            self._latencies[name] = latency
        latency.record(seconds)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self._counts, self._latencies))
        return generate_latest(registry)


def _metric_name(name: str) -> str:
    return f'{_NAMESPACE}_{_NOT_IN_METRICS.sub("_", name)}'
