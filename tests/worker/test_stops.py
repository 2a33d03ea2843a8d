"""Test that an agent stops any number of runs with few calls at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from worker_driver import WorkerDriver

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts
from savoryrudder.worker.stops import MAX_CONCURRENT_STOPS

if TYPE_CHECKING:
    from collections.abc import Iterable

SMALL_DEMAND = Resources(1, 1, 0)
MANY = 300


class Stops:
    """Let the calls to stop runs be answered one by one."""

    def __init__(self, driver: WorkerDriver) -> None:
        """Begin without calls."""
        self.driver = driver
        self.open: list[effects.StopRun] = []
        self.sent: list[effects.StopRun] = []

    def collect(self) -> None:
        """Take the calls that the last event sent."""
        sent = self.driver.effects_of(effects.StopRun)
        self.sent.extend(sent)
        self.open.extend(sent)

    def answer(self, call: effects.StopRun, *, confirmed: bool) -> None:
        """Let a call be answered, or end without an answer."""
        self.open.remove(call)
        driver = self.driver
        answer = events.StopAnswered(
            driver.now,
            call.task,
            call.run,
            confirmed,
        )
        driver.post(answer)
        self.collect()

    def answer_all(self) -> None:
        """Confirm the calls that are under way, and those that follow."""
        while self.open:
            self.answer(self.open[0], confirmed=True)


def _run_tasks(driver: WorkerDriver, tasks: Iterable[str]) -> None:
    for task in tasks:
        driver.receive(
            work.StartTask(1, task, 1, 's', SMALL_DEMAND, 200, durable=False),
        )
        driver.answer_start(task, verdicts.STARTED)


def _tasks_of(job: str, count: int) -> list[str]:
    return [f'{job}.0.0.{number}' for number in range(count)]


def _lose_owner(driver: WorkerDriver) -> Stops:
    _run_tasks(driver, _tasks_of('j', MANY))
    driver.post(events.LinkDown(driver.now, 'l1', 'cut'))
    driver.tick(0.5)
    stops = Stops(driver)
    stops.collect()
    return stops


def _run_list(tasks: Iterable[str]) -> tuple[events.RunProgress, ...]:
    return tuple(events.RunProgress(task, 1, 10) for task in tasks)


def test_the_runs_of_a_lost_entry_are_stopped_a_few_at_a_time(
    driver: WorkerDriver,
) -> None:
    """Guard against a call for each of thousands of runs at once.

    Agents took more memory than they have, and answered nobody for seconds.
    """
    stops = _lose_owner(driver)
    assert len(stops.open) == MAX_CONCURRENT_STOPS
    stops.answer(stops.open[0], confirmed=True)
    assert len(stops.open) == MAX_CONCURRENT_STOPS
    stops.answer_all()
    assert sorted(call.task for call in stops.sent) == sorted(
        _tasks_of('j', MANY),
    )


def test_cancelled_runs_are_stopped_a_few_at_a_time(
    driver: WorkerDriver,
) -> None:
    """Guard against a call for each task of the jobs that clients cancel."""
    tasks = _tasks_of('j', MANY)
    _run_tasks(driver, tasks)
    stops = Stops(driver)
    for task in tasks:
        driver.receive(work.StopTask(task, 1))
        stops.collect()
    assert len(stops.open) == MAX_CONCURRENT_STOPS


def test_runs_of_a_former_process_are_stopped_a_few_at_a_time(
    driver: WorkerDriver,
) -> None:
    """Guard against a call for each run that a restarted agent finds."""
    driver.replace_executor()
    found = _run_list(_tasks_of('old', MANY))
    driver.answer_renewal(found, started_ms=6)
    stops = Stops(driver)
    stops.collect()
    assert len(stops.open) == MAX_CONCURRENT_STOPS
    driver.now += 1
    driver.answer_renewal(found, started_ms=6)
    stops.collect()
    assert len(stops.open) == MAX_CONCURRENT_STOPS
    stops.answer_all()
    assert len(stops.sent) == MANY


def test_a_stop_is_not_sent_again_while_it_is_under_way(
    driver: WorkerDriver,
) -> None:
    """Guard against calls that add up while the executor answers late."""
    driver.start('j.0')
    driver.receive(work.StopTask('j.0', 1))
    stops = Stops(driver)
    stops.collect()
    for _ in range(20):
        driver.tick(0.1)
        stops.collect()
    assert len(stops.sent) == 1
    stops.answer(stops.open[0], confirmed=False)
    driver.tick(driver.state.timing.stop_retry_s)
    stops.collect()
    assert len(stops.sent) == 2


def test_a_run_that_has_ended_needs_no_stop(driver: WorkerDriver) -> None:
    """Guard against thousands of calls for runs that are gone."""
    stops = _lose_owner(driver)
    ended = tuple(
        events.RunEnd(number, task, 1, outcomes.LOST)
        for number, task in enumerate(_tasks_of('j', MANY), start=1)
    )
    driver.answer_renewal(ended=ended)
    stops.answer_all()
    assert len(stops.sent) == MAX_CONCURRENT_STOPS


def test_the_stops_of_a_small_job_do_not_wait_for_a_large_one(
    driver: WorkerDriver,
) -> None:
    """Guard against a cancelled job that runs on behind another one's stops."""
    _run_tasks(driver, [*_tasks_of('large', MANY), *_tasks_of('small', 2)])
    stops = Stops(driver)
    for task in (*_tasks_of('large', MANY), *_tasks_of('small', 2)):
        driver.receive(work.StopTask(task, 1))
        stops.collect()
    for _ in range(4):
        stops.answer(stops.open[0], confirmed=True)
    sent = [call.task for call in stops.sent]
    assert set(_tasks_of('small', 2)) <= set(sent)


def test_one_stop_asks_whether_a_silent_executor_answers_again(
    driver: WorkerDriver,
) -> None:
    """Guard against calls that time out side by side, one for each run."""
    stops = _lose_owner(driver)
    driver.fail_renewal()
    stops.collect()
    while len(stops.open) > 1:
        stops.answer(stops.open[0], confirmed=False)
    stops.answer(stops.open[0], confirmed=False)
    assert len(stops.open) == 1
    driver.answer_renewal(_run_list(_tasks_of('j', MANY)))
    stops.collect()
    assert len(stops.open) == MAX_CONCURRENT_STOPS


@settings(max_examples=60)
@given(data=st.data())
def test_every_requested_stop_is_settled(data: st.DataObject) -> None:
    """Guard against a stop that is lost, or sent twice at a time.

    Stops are requested, answered or not, and runs end meanwhile, in any order.
    """
    driver = WorkerDriver()
    tasks = [task for job in 'abc' for task in _tasks_of(job, 6)]
    _run_tasks(driver, tasks)
    stops = Stops(driver)
    numbers = iter(range(1, 1000))
    for _ in range(data.draw(st.integers(0, 40))):
        _play_step(data, stops, numbers)
        keys = [call.task for call in stops.open]
        assert len(keys) == len(set(keys))
        assert len(keys) <= MAX_CONCURRENT_STOPS
    requested = set(driver.state.stopping)
    for _ in tasks:
        driver.tick(driver.state.timing.stop_retry_s)
        stops.collect()
        stops.answer_all()
    assert requested <= {call.task for call in stops.sent}
    driver.tick(0.1)
    driver.answer_renewal(_run_list(set(tasks) - requested))
    assert not driver.state.stopping


def _play_step(
    data: st.DataObject,
    stops: Stops,
    numbers: Iterable[int],
) -> None:
    driver = stops.driver
    driver.now += data.draw(st.sampled_from((0, 0.05, 0.3)))
    step = data.draw(st.sampled_from(('stop', 'answer', 'end', 'list')))
    running = sorted(driver.state.runs)
    if step == 'answer' and stops.open:
        call = data.draw(st.sampled_from(stops.open))
        stops.answer(call, confirmed=data.draw(st.booleans()))
        return
    if step == 'stop' and running:
        driver.receive(work.StopTask(data.draw(st.sampled_from(running)), 1))
    elif step == 'end' and running:
        task = data.draw(st.sampled_from(running))
        end = events.RunEnd(next(iter(numbers)), task, 1, outcomes.DONE)
        others = [other for other in running if other != task]
        driver.answer_renewal(_run_list(others), (end,))
    else:
        driver.answer_renewal(_run_list(running))
    stops.collect()
