"""Count events and record latencies for Prometheus."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client.core import Metric

_US_PER_S: Final = 1_000_000
_MAX_LATENCY_US: Final = 3600 * _US_PER_S
_SIGNIFICANT_DIGITS: Final = 2
_QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
_PERCENT: Final = 100
_NAMESPACE: Final = 'savoryrudder'
# Prometheus rejects these in metric names, such as the hyphens of reasons.
_INVALID_CHARACTER: Final = re.compile('[^a-zA-Z0-9_]')


class _LatencyHistogram:
    """Record the durations of one metric in a histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._sum_s = float(0)

    def record(self, seconds: float) -> None:
        """Add a duration, clamped to the range of the histogram."""
        clamped_us = min(max(int(seconds * _US_PER_S), 1), _MAX_LATENCY_US)
        self._histogram.record_value(clamped_us)
        self._sum_s += seconds

    def export(self, name: str) -> Metric:
        """Return a summary metric of the durations in seconds."""
        from prometheus_client.core import Metric

        metric = Metric(name, name.replace('_', ' '), 'summary')
        for quantile in _QUANTILES:
            latency_us = self._histogram.get_value_at_percentile(
                quantile * _PERCENT,
            )
            labels = {'quantile': str(quantile)}
            metric.add_sample(name, labels, latency_us / _US_PER_S)
        total = self._histogram.get_total_count()
        metric.add_sample(f'{name}_count', {}, total)
        metric.add_sample(f'{name}_sum', {}, self._sum_s)
        return metric


class _Collector:
    """Export all counters and latencies to a Prometheus registry."""

    def __init__(
        self,
        counts: Mapping[str, int],
        latencies: Mapping[str, _LatencyHistogram],
    ) -> None:
        self._counts = counts
        self._latencies = latencies

    def collect(self) -> Iterator[Metric]:
        """Yield one metric per counter and per latency."""
        from prometheus_client.core import CounterMetricFamily

        for counter_name, total in self._counts.items():
            yield CounterMetricFamily(
                _metric_name(counter_name),
                counter_name.replace('_', ' '),
                value=total,
            )
        for latency_name, latency in self._latencies.items():
            yield latency.export(f'{_metric_name(latency_name)}_seconds')


class Counters:
    """Keep the named counters and latencies of a process.

    The Prometheus client is imported on the first export, which shortens the
    start of a process.
    """

    def __init__(self) -> None:
        """Initialize without counters and latencies."""
        self._counts: dict[str, int] = {}
        self._latencies: dict[str, _LatencyHistogram] = {}

    @property
    def counts(self) -> Mapping[str, int]:
        """Return the counters by name."""
        return self._counts

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by `amount`."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration as a latency."""
        latency = self._latencies.get(name)
        if latency is None:
            latency = _LatencyHistogram()
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
    return f'{_NAMESPACE}_{_INVALID_CHARACTER.sub("_", name)}'
