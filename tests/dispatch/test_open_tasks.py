"""Check that the tasks an entry holds are bounded."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Any

import pytest
from entry_driver import EntryDriver
from fakes.fleet import job_of

from savoryrudder.dispatch import answers
from savoryrudder.dispatch import effects
from savoryrudder.dispatch import events
from savoryrudder.dispatch.admission import MAX_OPEN_TASKS

if TYPE_CHECKING:
    from collections.abc import Iterable

TASKS = 1000
JOBS = 2 * MAX_OPEN_TASKS // TASKS


def _submit_many(entry: EntryDriver) -> list[answers.Answer]:
    """Submit jobs whose tasks need nothing; return the refusals."""
    done = itertools.chain.from_iterable(
        entry.submit_job(job_of(f'{number:016x}', TASKS, 0, 0))
        for number in range(JOBS)
    )
    return _answers_of(done)


def _answers_of(done: Iterable[Any]) -> list[answers.Answer]:
    return [reply.answer for reply in done if isinstance(reply, effects.Reply)]


@pytest.mark.parametrize('agents', [0, 1])
def test_tasks_that_need_nothing_are_bounded(agents: int) -> None:
    """Guard against an entry that ends for want of memory for tasks.

    Tasks without work are never predicted to wait, and all jobs are queued in
    the first moments of an entry.
    """
    entry = EntryDriver(agents)
    if not agents:
        entry.state.started_at = entry.now
    refusals = _submit_many(entry)
    assert entry.state.open_tasks == MAX_OPEN_TASKS
    assert len(refusals) == JOBS - MAX_OPEN_TASKS // TASKS
    assert {refusal.verdict for refusal in refusals} == {answers.UNAVAILABLE}
    assert all(refusal.retry_after_s for refusal in refusals)


def test_jobs_are_accepted_again_once_others_have_ended() -> None:
    """Guard against tasks that count after their jobs have ended."""
    entry = EntryDriver(0)
    entry.state.started_at = entry.now
    _submit_many(entry)
    for number in range(JOBS):
        entry.post(events.CallerDisconnected(entry.now, number + 1))
    assert not entry.state.open_tasks
    assert not entry.state.jobs
    entry.submit('f' * 16, tasks=4)
    assert entry.state.open_tasks == 4


def test_a_full_entry_does_not_refuse_what_it_has_accepted() -> None:
    """Guard against a refusal that says of a running job that it never runs."""
    entry = EntryDriver(1)
    entry.submit_job(job_of('0' * 16, TASKS, 0, 0))
    _submit_many(entry)
    again = entry.submit_job(job_of('0' * 16, TASKS, 0, 0))
    assert not _answers_of(again)
