"""Measure the service times of operations."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from hdrh.histogram import HdrHistogram

from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.policy.model import Service

# With fewer samples, the declared time is used.
MIN_SAMPLES: Final = 10
# Samples in a histogram before a new one starts and the previous one is
# dropped.
HISTOGRAM_SAMPLES: Final = 1000
# Samples between updates of the percentiles, which walk the whole histogram.
PERCENTILE_INTERVAL: Final = 50
MIN_SAMPLE_WEIGHT: Final = 0.02
DEFAULT_TIME_S: Final = 1

_MAX_MS: Final = 86_400_000
_SIGNIFICANT_DIGITS: Final = 2
_HIGH_PERCENTILE: Final = 90
_LOW_PERCENTILE: Final = 10


class OperationTimes:
    """Hold mean, 10th and 90th percentile of one operation in seconds."""

    def __init__(self) -> None:
        """Create times without samples."""
        self.mean_s: float = 0
        self.p10_s: float = 0
        self.p90_s: float = 0
        self._samples = 0
        self._current = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
        self._previous: HdrHistogram | None = None

    @property
    def has_enough_samples(self) -> bool:
        """Tell whether there are enough samples."""
        return self._samples >= MIN_SAMPLES

    def record(self, seconds: float) -> None:
        """Add a sample."""
        self._samples += 1
        weight = max(1 / self._samples, MIN_SAMPLE_WEIGHT)
        self.mean_s += weight * (seconds - self.mean_s)
        self._current.record_value(max(1, int(seconds * MS_PER_S)))
        if self._current.total_count >= HISTOGRAM_SAMPLES:
            self._previous = self._current
            self._current = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
        if (
            self._samples % PERCENTILE_INTERVAL == 0
            or self._samples == MIN_SAMPLES
        ):
            histogram = self._previous or self._current
            self.p10_s = (
                histogram.get_value_at_percentile(_LOW_PERCENTILE) / MS_PER_S
            )
            self.p90_s = (
                histogram.get_value_at_percentile(_HIGH_PERCENTILE) / MS_PER_S
            )


class ServiceTimes:
    """Hold measured service times by service and operation."""

    def __init__(self) -> None:
        """Create times without samples."""
        self._by_operation: dict[tuple[str, str], OperationTimes] = {}
        self._by_service: dict[str, tuple[int, float]] = {}

    def record(self, service: str, operation: str, seconds: float) -> None:
        """Add a sample."""
        key = (service, operation)
        times = self._by_operation.get(key)
        if times is None:
            times = OperationTimes()
            self._by_operation[key] = times
        times.record(seconds)
        count, mean_s = self._by_service.get(service, (0, 0))
        weight = max(1 / (count + 1), MIN_SAMPLE_WEIGHT)
        mean_s += weight * (seconds - mean_s)
        self._by_service[service] = (count + 1, mean_s)

    def measured_mean_s(self, service: str, operation: str) -> float:
        """Return the measured mean, 0 without samples."""
        times = self._by_operation.get((service, operation))
        return times.mean_s if times else 0

    def mean_s(self, service: Service | None, operation: str) -> float:
        """Return the measured mean, or the declared time."""
        times = self._find_measured(service, operation)
        return times.mean_s if times else _declared_s(service, operation)

    def service_mean_s(self, service: str) -> float:
        """Return the mean over all operations, 0 without samples."""
        return self._by_service.get(service, (0, 0))[1]

    def p10_s(self, service: Service | None, operation: str) -> float:
        """Return the measured 10th percentile, 0 without enough samples."""
        times = self._find_measured(service, operation)
        return times.p10_s if times else 0

    def p90_s(self, service: Service | None, operation: str) -> float:
        """Return the measured 90th percentile, or the declared time."""
        times = self._find_measured(service, operation)
        return times.p90_s if times else _declared_s(service, operation)

    def _find_measured(
        self,
        service: Service | None,
        operation: str,
    ) -> OperationTimes | None:
        if service is None:
            return None
        times = self._by_operation.get((service.name, operation))
        return times if times and times.has_enough_samples else None


def _declared_s(service: Service | None, operation: str) -> float:
    if service is None or operation not in service.operations:
        return DEFAULT_TIME_S
    return service.operations[operation].expected_ms / MS_PER_S
