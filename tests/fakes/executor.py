"""Simulate an executor that runs tasks under a lease without errors."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from savoryrudder.jobs.model import Resources
from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

# What the clock of an executor shows after a restart.
_FIRST_CLOCK_S = 0.1


@dataclass(slots=True)
class FakeRun:
    """Hold one run; it is linear from `progress` at `since` to its end."""

    task: str
    number: int
    since: float
    ends_at: float
    outcome: str
    cpu: int = 2000
    progress: float = 0

    def percent(self, now: float) -> int:
        """Return the progress in percent, rounded down."""
        return int(100 * self.progress_at(now))

    def progress_at(self, now: float) -> float:
        """Return the progress as a share of 1."""
        elapsed = (now - self.since) / (self.ends_at - self.since)
        return self.progress + (1 - self.progress) * elapsed

    def reschedule(self, now: float, ends_at: float) -> None:
        """Continue at the speed that ends the run at `ends_at`."""
        self.progress = self.progress_at(now)
        self.since = now
        self.ends_at = ends_at


@dataclass(slots=True)
class FakeExecutor:
    """Run tasks at times given by the caller, on a clock with an offset."""

    name: str
    capacity: Resources
    born_ms: int = 1
    address: str = 'address'
    clock_offset_s: float = 100
    lease_limit_s: float = 1
    fence: int = 0
    lease_until: float = 0
    runs: dict[str, FakeRun] = field(default_factory=dict)
    ends: list[events.RunEnd] = field(default_factory=list)
    highest_ended: dict[str, int] = field(default_factory=dict)
    ended_count: int = 0
    failing: bool = False
    hanging: bool = False
    # Calls are neither carried out nor answered.
    unresponsive: bool = False
    # Factor on the duration of tasks.
    slowness: float = 1

    def clock_ms(self, now: float) -> int:
        """Return the monotonic clock of the executor."""
        return int((now + self.clock_offset_s) * MS_PER_S)

    def start(
        self,
        now: float,
        call: effects.StartRun,
        duration_s: float,
    ) -> str:
        """Start a run unless it is outdated; return the verdict."""
        self.advance(now)
        if call.executor.name != self.name:
            return verdicts.OTHER_INSTANCE
        if call.fence < self.fence:
            return verdicts.FENCED
        self.fence = call.fence
        if call.lease_until_ms <= self.clock_ms(now):
            return verdicts.REFUSED
        self._extend(now, call.lease_until_ms)
        running = self.runs.get(call.task)
        if running is not None:
            is_same_run = running.number == call.run
            return verdicts.STARTED if is_same_run else verdicts.OUTDATED
        if call.run <= self.highest_ended.get(call.task, 0):
            return verdicts.OUTDATED
        ends_at = (
            float('inf') if self.hanging else now + duration_s * self.slowness
        )
        outcome = outcomes.FAILED if self.failing else outcomes.DONE
        run = FakeRun(call.task, call.run, now, ends_at, outcome)
        self.runs[call.task] = run
        return verdicts.STARTED

    def stop(self, now: float, call: effects.StopRun) -> bool:
        """Stop a run and prevent a delayed start of it."""
        self.advance(now)
        if call.executor.name != self.name or call.fence < self.fence:
            return False
        self.fence = call.fence
        run = self.runs.get(call.task)
        if run is not None and run.number == call.run:
            self._end(run, outcomes.STOPPED)
        highest = self.highest_ended.get(call.task, 0)
        self.highest_ended[call.task] = max(highest, call.run)
        return True

    def probe(
        self,
        now: float,
        call: effects.ProbeInstance,
    ) -> events.InstanceProbed:
        """Tell whether the instance that is asked for is this one."""
        if call.executor.address != self.address:
            return events.InstanceProbed(now, call.executor, verdicts.UNKNOWN)
        if call.executor.name != self.name:
            return events.InstanceProbed(now, call.executor, verdicts.ABSENT)
        self.fence = max(self.fence, call.fence)
        return events.InstanceProbed(
            now,
            call.executor,
            verdicts.PRESENT,
            self.born_ms,
        )

    def renew(
        self,
        now: float,
        sent_at: float,
        call: effects.RenewLease,
    ) -> events.RenewalAnswered | events.RenewalFailed | None:
        """Extend the lease and list the runs and the unacknowledged ends."""
        self.advance(now)
        if call.executor.name != self.name:
            return None
        if call.fence < self.fence:
            return events.RenewalFailed(now, 'fence', call.fence, fenced=True)
        self.fence = call.fence
        if call.lease_until_ms:
            self._extend(now, call.lease_until_ms)
        self.ends = [
            end for end in self.ends if end.number > call.acknowledged_upto
        ]
        return events.RenewalAnswered(
            now,
            sent_at,
            self.clock_ms(now),
            tuple(
                events.RunProgress(run.task, run.number, run.percent(now))
                for run in self.runs.values()
            ),
            tuple(self.ends),
            call.fence,
            self.born_ms,
        )

    def advance(self, now: float) -> None:
        """End completed runs, and all runs once the lease has expired."""
        for run in tuple(self.runs.values()):
            if run.ends_at <= min(now, self.lease_until):
                self._end(run, run.outcome)
        if now > self.lease_until:
            for run in tuple(self.runs.values()):
                self._end(run, outcomes.LOST)

    def slow_down(self, now: float, factor: float) -> None:
        """Multiply the durations of current and future runs by a factor."""
        self.advance(now)
        self.slowness *= factor
        for run in self.runs.values():
            run.reschedule(now, now + (run.ends_at - now) * factor)

    def hang(self, now: float) -> None:
        """Stop the progress of current and future runs."""
        self.hanging = True
        for run in self.runs.values():
            run.reschedule(now, float('inf'))

    def restart(self, name: str, now: float) -> None:
        """Restart as a new instance without the state of the former one.

        Its clock starts anew.
        """
        self.name = name
        self.born_ms += 1
        self.clock_offset_s = _FIRST_CLOCK_S - now
        self.lease_until = 0
        self.fence = 0
        self.runs.clear()
        self.ends.clear()
        self.highest_ended.clear()
        self.ended_count = 0

    def _extend(self, now: float, lease_until_ms: int) -> None:
        requested_until = lease_until_ms / MS_PER_S - self.clock_offset_s
        latest_until = now + self.lease_limit_s
        self.lease_until = max(
            self.lease_until, min(requested_until, latest_until)
        )

    def _end(self, run: FakeRun, outcome: str) -> None:
        self.runs.pop(run.task)
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(highest, run.number)
        self.ended_count += 1
        self.ends.append(
            events.RunEnd(
                self.ended_count,
                run.task,
                run.number,
                outcome,
            ),
        )
