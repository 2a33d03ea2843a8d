"""Check an executor that restarts under the name that it had."""

from __future__ import annotations

from typing import Any

import pytest
from worker_driver import WorkerDriver

from savoryrudder.protocol import work
from savoryrudder.worker import effects
from savoryrudder.worker import events
from savoryrudder.worker import outcomes
from savoryrudder.worker import verdicts

LISTED = (events.RunProgress('j.0', 1, 10),)


def _start(driver: WorkerDriver) -> None:
    driver.start('j.0')
    driver.answer_start('j.0', verdicts.STARTED)
    driver.now += 0.1


def test_a_run_in_the_new_instance_is_not_reported_lost(
    driver: WorkerDriver,
) -> None:
    """Guard against a task that is started elsewhere while it runs here.

    Its start reached the new instance before the heartbeat of that did.
    """
    _start(driver)
    driver.replace_executor()
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_renewal(LISTED, started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    assert driver.state.runs


def test_a_list_tells_of_a_new_instance_before_its_heartbeat(
    driver: WorkerDriver,
) -> None:
    """Guard against ends of the new instance that are taken for known."""
    _start(driver)
    end = events.RunEnd(7, 'k.0', 1, outcomes.DONE)
    driver.answer_renewal(LISTED, (end,), started_ms=5)
    driver.answer_renewal(started_ms=6)
    renewal = driver.effects_of(effects.RenewLease)[0]
    assert renewal.acknowledged_upto == 0
    end = events.RunEnd(1, 'j.0', 1, outcomes.DONE)
    driver.answer_renewal(ended=(end,), started_ms=6)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.DONE


def test_only_a_call_with_a_raised_token_settles_runs_of_a_new_instance(
    driver: WorkerDriver,
) -> None:
    """Guard against a start of the former instance that arrives late."""
    _start(driver)
    former_fence = driver.state.fence
    driver.answer_renewal(started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    assert driver.effects_of(effects.RenewLease)[0].fence > former_fence
    driver.answer_renewal(started_ms=6, fence=former_fence)
    assert not driver.messages_of(work.TaskEnded)
    driver.now += 0.1
    driver.answer_renewal(started_ms=6)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


def test_a_list_of_a_former_instance_is_ignored(driver: WorkerDriver) -> None:
    """Guard against runs that are lost because an answer came late.

    The call that it answers was sent before the new instance was heard of.
    """
    former_fence = driver.state.fence
    driver.replace_executor()
    driver.answer_renewal(started_ms=6)
    _start(driver)
    driver.answer_renewal(started_ms=5, fence=former_fence)
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_renewal(LISTED, started_ms=6)
    assert driver.state.runs
    assert driver.effects_of(effects.RenewLease)


def test_an_instance_with_an_earlier_start_time_takes_over(
    driver: WorkerDriver,
) -> None:
    """Guard against starts by the capacity of an instance that has ended.

    The clock that tells the start times was set back between the two.
    """
    _start(driver)
    driver.replace_executor(4)
    driver.answer_renewal(started_ms=4)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST
    driver.start('k.0')
    assert driver.effects_of(effects.StartRun)


def test_a_list_tells_of_a_new_instance_with_an_earlier_start_time(
    driver: WorkerDriver,
) -> None:
    """Guard against ends that are compared with those of another instance."""
    _start(driver)
    driver.answer_renewal(started_ms=4)
    assert not driver.state.accepting
    driver.answer_renewal(started_ms=4)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


@pytest.mark.parametrize(
    'odd',
    [
        {'name': 'x2', 'started_ms': 9},
        {'name': 'x2', 'started_ms': 9, 'address': 'other'},
        {'name': 'x2', 'started_ms': 5, 'service': 'unknown'},
        {'started_ms': 2**53},
        {'started_ms': 4},
        {'started_ms': 0},
        {'address': 'other'},
        {'service': 'unknown'},
    ],
)
@pytest.mark.parametrize('verdict', [verdicts.ABSENT, verdicts.UNKNOWN])
def test_an_odd_heartbeat_takes_the_place_of_no_executor(
    driver: WorkerDriver,
    odd: dict[str, Any],
    verdict: str,
) -> None:
    """Guard against runs that are given up and started elsewhere.

    Another writer may name any instance in a heartbeat that is well formed.
    """
    _start(driver)
    driver.answer_renewal(LISTED, started_ms=5)
    executor = driver.state.executor
    driver.send_heartbeat(**odd)
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_probe(
        verdict,
        odd.get('started_ms', 5),
        odd.get('name', 'x1'),
        odd.get('address', 'address'),
    )
    assert not driver.messages_of(work.TaskEnded)
    assert driver.state.executor == executor
    driver.send_heartbeat()
    assert driver.state.accepting
    driver.start('k.0')
    assert driver.effects_of(effects.StartRun)
    driver.tick(5)
    driver.answer_probe(
        verdict,
        odd.get('started_ms', 5),
        odd.get('name', 'x1'),
        odd.get('address', 'address'),
    )
    assert driver.state.candidate is None


def test_the_instance_that_answers_decides_whose_heartbeat_was_odd(
    driver: WorkerDriver,
) -> None:
    """Guard against a start time in the future that hides the executor."""
    driver.send_heartbeat(started_ms=2**53)
    driver.answer_probe(started_ms=5)
    assert driver.state.candidate is None
    assert driver.state.accepting


def test_an_executor_is_found_after_an_odd_first_heartbeat() -> None:
    """Guard against an agent that waits for an executor that never was."""
    driver = WorkerDriver(first_executor='odd')
    driver.fail_renewal()
    driver.send_heartbeat(started_ms=4)
    driver.answer_probe(started_ms=4)
    driver.answer_renewal(started_ms=4)
    assert driver.state.accepting


def test_a_service_that_is_told_twice_is_the_executors(
    driver: WorkerDriver,
) -> None:
    """Guard against an executor that an odd first heartbeat shuts out."""
    for _ in range(2):
        driver.send_heartbeat(service='other')
    heartbeat = driver.state.heartbeat
    assert heartbeat is not None
    assert heartbeat.service == 'other'


def test_an_instance_elsewhere_waits_for_the_end_of_the_executor(
    driver: WorkerDriver,
) -> None:
    """Guard against runs of an executor that lives beside another one."""
    _start(driver)
    driver.answer_renewal(LISTED, started_ms=5)
    driver.send_heartbeat(9, name='x2', address='other')
    driver.answer_probe(started_ms=9, name='x2', address='other')
    assert not driver.messages_of(work.TaskEnded)
    driver.fail_renewal()
    driver.tick(1.3)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST
    assert driver.effects_of(effects.ProbeInstance)
    driver.answer_probe(started_ms=9, name='x2', address='other')
    executor = driver.state.executor
    assert executor is not None
    assert executor.name == 'x2'


def test_a_probe_without_an_answer_is_repeated(driver: WorkerDriver) -> None:
    """Guard against an executor that restarted and is found a beat late."""
    driver.send_heartbeat(started_ms=6)
    assert driver.effects_of(effects.ProbeInstance)
    driver.answer_probe(verdicts.UNKNOWN)
    driver.tick(0.1)
    assert driver.effects_of(effects.ProbeInstance)
    driver.answer_probe()
    driver.answer_renewal(started_ms=6)
    assert driver.state.accepting


def test_an_unanswered_start_of_a_former_instance_is_stopped_in_the_new_one(
    driver: WorkerDriver,
) -> None:
    """Guard against a start that the new instance carries out late."""
    driver.start('j.0')
    driver.answer_renewal(started_ms=6)
    driver.now += 0.1
    driver.answer_renewal(started_ms=6)
    assert not driver.messages_of(work.TaskEnded)
    driver.answer_start('j.0', verdicts.UNKNOWN)
    assert driver.effects_of(effects.StopRun)


def test_a_new_instance_gets_no_tasks_before_its_heartbeat(
    driver: WorkerDriver,
) -> None:
    """Guard against tasks that exceed the capacity of another kind."""
    _start(driver)
    for _ in range(2):
        driver.answer_renewal(started_ms=6)
    driver.start('k.0')
    assert not driver.effects_of(effects.StartRun)
    driver.send_heartbeat(started_ms=6)
    driver.start('k.0', run=2)
    assert driver.effects_of(effects.StartRun)


def test_an_answer_of_a_former_instance_sets_no_clock(
    driver: WorkerDriver,
) -> None:
    """Guard against leases that never expire on a clock that began anew."""
    driver.start('j.0')
    driver.replace_executor(clock_ms=100)
    driver.answer_start('j.0', verdicts.STARTED)
    assert driver.state.lease.estimate_clock_ms(driver.now) == 100


def test_a_former_instance_that_signs_off_late_ends_no_run(
    driver: WorkerDriver,
) -> None:
    """Guard against runs of a new instance that are taken for lost."""
    driver.replace_executor()
    driver.answer_renewal(started_ms=6)
    _start(driver)
    driver.post(events.ExecutorLeft(driver.now, 'x1', 5))
    assert not driver.messages_of(work.TaskEnded)
    assert driver.state.accepting
    driver.post(events.ExecutorLeft(driver.now, 'x1', 6))
    assert not driver.state.accepting
    driver.fail_renewal()
    driver.tick(1.1)
    assert driver.messages_of(work.TaskEnded)[0].outcome == outcomes.LOST


def test_a_refused_token_of_a_former_call_raises_no_token(
    driver: WorkerDriver,
) -> None:
    """Guard against tokens that rise with each call that was overtaken."""
    driver.start('j.0')
    driver.replace_executor()
    fence = driver.state.fence
    driver.answer_start('j.0', verdicts.FENCED)
    assert driver.state.fence == fence


def test_a_fenced_probe_raises_the_fencing_token(driver: WorkerDriver) -> None:
    """Guard against an executor that is never used by a restarted agent."""
    fence = driver.state.fence
    driver.send_heartbeat(started_ms=6)
    driver.answer_probe(verdicts.FENCED)
    driver.tick(0.1)
    probe = driver.effects_of(effects.ProbeInstance)[0]
    assert probe.fence > fence
