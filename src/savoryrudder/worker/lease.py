"""Define what an agent knows of the executor's lease, clock and health."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.utils.ratio_estimate import RatioEstimate
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.worker.state import EndKey

# A monotonic clock may run slower than the local one by up to this share.
MAX_CLOCK_DRIFT: Final = 0.02
_NEVER: Final = float('-inf')


@dataclass(slots=True)
class Lease:
    """Track the lease of the executor's runs and the executor's clock.

    The clock showed `clock_ms` at `clock_read_at`. By `expires_at` the lease
    of every run has expired, unless a renewal reaches the executor.
    `silent_since` is the time of the first failed renewal since the last
    answer, or None. No renewal is sent before `paused_until`. `reconciled` is
    set once the executor has listed its runs and they were compared with those
    of the agent.

    The lease belongs to the instance of the executor that started at
    `started_ms`. Calls with a fencing token below `first_fence` were meant for
    a former instance.
    """

    started_ms: int = 0
    first_fence: int = 0
    clock_ms: int = 0
    clock_read_at: float = _NEVER
    expires_at: float = _NEVER
    silent_since: float | None = None
    renewing: bool = False
    renew_at: float = _NEVER
    paused_until: float = _NEVER
    reconciled: bool = False
    last_end_number: int = 0
    acknowledged_upto_sent: int = 0
    unacknowledged_ends: dict[int, EndKey] = field(default_factory=dict)

    def renew_by(self, due_at: float) -> None:
        """Bring the next renewal forward to `due_at`.

        It is sent once no other renewal is in flight, and after the pause.
        """
        self.renew_at = min(self.renew_at, due_at)

    def estimate_clock_ms(self, now: float) -> int:
        """Return a time that the executor's clock (ms) has surely reached."""
        elapsed_s = (now - self.clock_read_at) * (1 - MAX_CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_s * MS_PER_S)

    def record_clock(self, now: float, clock_ms: int) -> None:
        """Record a reading of the executor's clock."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def advance_clock(self, now: float, clock_ms: int) -> None:
        """Record a reading that may be old unless it is below the estimate."""
        if clock_ms >= self.estimate_clock_ms(now):
            self.record_clock(now, clock_ms)

    @property
    def acknowledged_upto(self) -> int:
        """Return the number up to which no end awaits acknowledgement."""
        if self.unacknowledged_ends:
            return min(self.unacknowledged_ends) - 1
        return self.last_end_number


@dataclass(slots=True)
class Health:
    """Track whether the executor may get tasks.

    `progressed_at` is the last time at which any run made progress. While
    `on_trial`, the executor gets one task at a time. `run_times` are those of
    completed runs relative to their estimates, and `normal_end_at` is when a
    run last ended that was not slow.
    """

    progressed_at: float = _NEVER
    suspended: bool = False
    suspended_until: float = _NEVER
    on_trial: bool = False
    run_times: RatioEstimate = field(default_factory=RatioEstimate)
    normal_end_at: float = _NEVER
