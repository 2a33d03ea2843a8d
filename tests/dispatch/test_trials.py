"""Check how an entry uses an executor on trial."""

from __future__ import annotations

from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE
from fakes.fleet import job_of

from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker import outcomes

TASKS = 6


def _report_trial(driver: EntryDriver, starts_seen: int) -> list[Send]:
    report = work.ExecutorReport(
        'l0',
        SERVICE,
        (),
        CAPACITY,
        CAPACITY,
        accepting=True,
        starts_seen=starts_seen,
        on_trial=True,
    )
    return driver.receive('l0', report)


def _starts_of(effects: list[Send]) -> list[work.StartTask]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    ]


def test_an_executor_on_trial_gets_one_task_at_a_time() -> None:
    """Guard against thousands of starts that it refuses, and gets again.

    The entry's event loop was busy with them for a second, and lost its agents.
    """
    driver = EntryDriver(agents=1)
    _report_trial(driver, starts_seen=0)
    job = job_of('j', TASKS, cpu=1000, estimate_ms=2000)
    sent = _starts_of(driver.submit_job(job))
    assert len(sent) == 1
    assert not _starts_of(_report_trial(driver, starts_seen=1))
    first = sent[0]
    ended = work.TaskEnded(
        first.task,
        first.run,
        outcomes.DONE,
        'executor',
        100,
        first.job_number,
    )
    assert len(_starts_of(driver.receive('l0', ended))) == 1
