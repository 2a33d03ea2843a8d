"""Carry out the calls of agents on fake executors and watch these."""

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
_WAY_S = 0.001
# How often a waiting look finds out whether a run has ended.
_POLL_S = 0.002
_LATEST_ORDER_S = 6


class ViolationError(AssertionError):
    """Report a broken promise, with the time."""


class ExecutorCalls:
    """Deliver calls, lose their answers, or carry them out late.

    `lose_answers` and `late_orders` are shares of the calls. `executors`
    returns all that are up.
    """

    def __init__(
        self,
        clock: Clock,
        executors: Callable[[], list[FakeExecutor]],
    ) -> None:
        """Start without faults."""
        self.lose_answers = float(0)
        self.late_orders = float(0)
        self.duration_factor = float(1)
        self.durations_s = (0.1, 0.4)
        self._clock = clock
        self._executors = executors

    def draw_duration_s(self, call: effects.StartRun) -> float:
        """Return how long a task takes on a sound executor."""
        return self._clock.randomness.uniform(*self.durations_s)

    def send(
        self,
        executor: FakeExecutor,
        call: Any,
        answer_to: Callable[[Any], None],
    ) -> None:
        """Carry out a call and pass on its answer, or that there is none."""
        sent_at = self._clock.now
        chance = self._clock.randomness.random()
        if chance < self.late_orders:
            late_s = self._clock.randomness.uniform(2, _LATEST_ORDER_S)
            self._clock.after(late_s, self._apply, executor, call, sent_at)
            self._clock.after(CALL_TIMEOUT_S, self._give_up, call, answer_to)
            return
        is_lost = chance < self.late_orders + self.lose_answers
        delivery = (executor, call, sent_at, None if is_lost else answer_to)
        self._clock.after(_WAY_S, self._exchange, *delivery)
        if is_lost:
            self._clock.after(CALL_TIMEOUT_S, self._give_up, call, answer_to)

    def _exchange(
        self,
        executor: FakeExecutor,
        call: Any,
        sent_at: float,
        answer_to: Callable[[Any], None] | None,
    ) -> None:
        answer = self._apply(executor, call, sent_at)
        if answer_to is None:
            return
        if executor.dark:
            answer = None
        if answer is None:
            self._clock.after(CALL_TIMEOUT_S, self._give_up, call, answer_to)
            return
        waits = isinstance(call, effects.RenewLease) and call.wait_ms
        if waits and not answer.ended:
            until = self._clock.now + call.wait_ms / MS_PER_S
            self._await_end(executor, call, sent_at, until, answer_to)
        else:
            self._clock.after(_WAY_S, answer_to, answer)

    def _await_end(
        self,
        executor: FakeExecutor,
        call: effects.RenewLease,
        sent_at: float,
        until: float,
        answer_to: Callable[[Any], None],
    ) -> None:
        executor.advance(self._clock.now)
        is_over = executor.ends or self._clock.now >= until
        if not is_over:
            self._clock.after(
                _POLL_S,
                self._await_end,
                executor,
                call,
                sent_at,
                until,
                answer_to,
            )
            return
        answer = self._apply(executor, call, sent_at)
        if answer is None:
            self._clock.after(CALL_TIMEOUT_S, self._give_up, call, answer_to)
        else:
            self._clock.after(_WAY_S, answer_to, answer)

    def _apply(self, executor: FakeExecutor, call: Any, sent_at: float) -> Any:
        now = self._clock.now
        if executor.dark:
            return None
        if isinstance(call, effects.StartRun):
            duration_s = self.duration_factor * self.draw_duration_s(call)
            verdict = executor.start(now, call, duration_s)
            self._check(executor)
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
        return executor.renew(now, sent_at, call)

    def _give_up(self, call: Any, answer_to: Callable[[Any], None]) -> None:
        answer_to(_missing_answer(self._clock.now, call))

    def _check(self, started_on: FakeExecutor) -> None:
        now = self._clock.now
        places: dict[str, list[str]] = {}
        for executor in self._executors():
            executor.advance(now)
            for running in executor.runs:
                places.setdefault(running, []).append(executor.name)
        for doubled, where in places.items():
            if len(where) > 1:
                raise ViolationError(f'{now}: {doubled} runs on {where}')
        occupied = sum(run.cpu for run in started_on.runs.values())
        if occupied > started_on.capacity.cpu:
            raise ViolationError(f'{now}: {started_on.name} is overfull')


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
    return events.RenewalFailed(now, 'no answer')
