"""Carry out the calls of agents on fake executors and check invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.utils.units import MS_PER_S
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import verdicts

if TYPE_CHECKING:
    from collections.abc import Callable

    from fakes.clock import Clock
    from fakes.executor import FakeExecutor

CALL_TIMEOUT_S = 0.3
_NETWORK_DELAY_S = 0.001
# How often a long poll checks whether a run has ended.
_POLL_INTERVAL_S = 0.002
_MAX_CALL_DELAY_S = 6


class ViolationError(AssertionError):
    """Report a violated invariant; the message starts with the time."""


class ExecutorCalls:
    """Deliver calls, lose their answers, or carry calls out late.

    `lose_answers` and `late_orders` are shares of the calls. `executors`
    returns all executors that run.
    """

    def __init__(
        self,
        clock: Clock,
        executors: Callable[[], list[FakeExecutor]],
    ) -> None:
        """Start without faults."""
        self.lose_answers = float(0)
        self.late_orders = float(0)
        # The types of the calls that may be carried out late.
        self.late_call_types: tuple[type[Any], ...] = (object,)
        # The leases of late calls count from their arrival.
        self.late_leases_from_arrival = False
        # Late calls reach an executor that restarted before any other call.
        self.late_calls_come_first = True
        self.duration_factor = float(1)
        self.durations_s = (0.1, 0.4)
        self._clock = clock
        self._executors = executors

    def draw_duration_s(self, call: effects.StartRun) -> float:
        """Return how long a task takes on an executor without faults."""
        return self._clock.randomness.uniform(*self.durations_s)

    def send(
        self,
        executor: FakeExecutor,
        call: Any,
        on_answer: Callable[[Any], None],
    ) -> None:
        """Carry out a call and report its answer or a timeout."""
        sent_at = self._clock.now
        draw = self._clock.randomness.random()
        may_be_late = isinstance(call, self.late_call_types)
        late_share = self.late_orders if may_be_late else 0
        if draw < late_share:
            delay_s = self._clock.randomness.uniform(2, _MAX_CALL_DELAY_S)
            arguments = (executor, call, sent_at)
            self._clock.after(delay_s, self._execute_late, *arguments)
            self._clock.after(CALL_TIMEOUT_S, self._time_out, call, on_answer)
            return
        is_lost = draw < late_share + self.lose_answers
        arguments = (executor, call, sent_at, None if is_lost else on_answer)
        self._clock.after(_NETWORK_DELAY_S, self._deliver, *arguments)
        if is_lost:
            self._clock.after(CALL_TIMEOUT_S, self._time_out, call, on_answer)

    def _deliver(
        self,
        executor: FakeExecutor,
        call: Any,
        sent_at: float,
        on_answer: Callable[[Any], None] | None,
    ) -> None:
        answer = self._execute(executor, call, sent_at)
        if on_answer is None:
            return
        if executor.unresponsive:
            answer = None
        if answer is None:
            self._clock.after(CALL_TIMEOUT_S, self._time_out, call, on_answer)
            return
        is_list = isinstance(answer, events.RenewalAnswered)
        if is_list and call.wait_ms and not answer.ended:
            until = self._clock.now + call.wait_ms / MS_PER_S
            arguments = (executor, executor.born_ms, call, sent_at, until)
            self._await_end(*arguments, on_answer)
        else:
            self._clock.after(_NETWORK_DELAY_S, on_answer, answer)

    def _await_end(
        self,
        executor: FakeExecutor,
        born_ms: int,
        call: effects.RenewLease,
        sent_at: float,
        until: float,
        on_answer: Callable[[Any], None],
    ) -> None:
        if executor.born_ms != born_ms:
            # The instance that held back its answer has crashed.
            self._time_out(call, on_answer)
            return
        executor.advance(self._clock.now)
        is_due = executor.ends or self._clock.now >= until
        if not is_due:
            self._clock.after(
                _POLL_INTERVAL_S,
                self._await_end,
                executor,
                born_ms,
                call,
                sent_at,
                until,
                on_answer,
            )
            return
        answer = self._execute(executor, call, sent_at)
        if answer is None:
            self._clock.after(CALL_TIMEOUT_S, self._time_out, call, on_answer)
        else:
            self._clock.after(_NETWORK_DELAY_S, on_answer, answer)

    def _execute_late(
        self, executor: FakeExecutor, call: Any, sent_at: float
    ) -> None:
        if not executor.fence and not self.late_calls_come_first:
            return
        has_lease = getattr(call, 'lease_until_ms', 0)
        if has_lease and self.late_leases_from_arrival:
            clock_ms = executor.clock_ms(self._clock.now)
            lease_ms = int(executor.lease_limit_s * MS_PER_S)
            call = call._replace(lease_until_ms=clock_ms + lease_ms)
        self._execute(executor, call, sent_at)

    def _execute(
        self, executor: FakeExecutor, call: Any, sent_at: float
    ) -> Any:
        now = self._clock.now
        if executor.unresponsive:
            return None
        if isinstance(call, effects.StartRun):
            duration_s = self.duration_factor * self.draw_duration_s(call)
            verdict = executor.start(now, call, duration_s)
            self._check_invariants(executor)
            return events.StartAnswered(
                now,
                call.task,
                call.run,
                verdict,
                executor.clock_ms(now),
            )
        if isinstance(call, effects.StopRun):
            confirmed = executor.stop(now, call)
            return events.StopAnswered(now, call.task, call.run, confirmed)
        if isinstance(call, effects.ProbeInstance):
            return executor.probe(now, call)
        return executor.renew(now, sent_at, call)

    def _time_out(self, call: Any, on_answer: Callable[[Any], None]) -> None:
        on_answer(_missing_answer(self._clock.now, call))

    def _check_invariants(self, started_on: FakeExecutor) -> None:
        now = self._clock.now
        executors_by_task: dict[str, list[str]] = {}
        for executor in self._executors():
            executor.advance(now)
            for task in executor.runs:
                executors_by_task.setdefault(task, []).append(executor.name)
        for task_key, names in executors_by_task.items():
            if len(names) > 1:
                raise ViolationError(f'{now}: {task_key} runs on {names}')
        used_cpu = sum(run.cpu for run in started_on.runs.values())
        if used_cpu > started_on.capacity.cpu:
            raise ViolationError(
                f'{now}: {started_on.name} exceeds its CPU capacity'
            )


def _missing_answer(now: float, call: Any) -> Any:
    if isinstance(call, effects.StartRun):
        return events.StartAnswered(
            now,
            call.task,
            call.run,
            verdicts.UNKNOWN,
            0,
        )
    if isinstance(call, effects.StopRun):
        return events.StopAnswered(now, call.task, call.run, confirmed=False)
    if isinstance(call, effects.ProbeInstance):
        return events.InstanceProbed(now, call.executor, verdicts.UNKNOWN)
    return events.RenewalFailed(now, 'no answer', call.fence)
