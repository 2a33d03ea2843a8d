"""Test that the work of an entry per event does not grow with the fleet."""

from __future__ import annotations

from functools import partial

from entry_driver import NO_CPU
from entry_driver import EntryDriver
from fakes.cost import count_lines
from fakes.fleet import CAPACITY

SMALL_FLEET = 10
# An entry of the target size has some 430 agents (docs/CAPACITY.md).
LARGE_FLEET = 430
# Placement is to stay flat within this factor.
MAX_GROWTH = 2
# A job that needs no less than a blocked one costs a look, not a search.
MAX_LINES_PER_BLOCKED_JOB = 40


def _submission_cost(agents: int) -> int:
    driver = EntryDriver(agents)
    return count_lines(partial(driver.submit, 'j1'))


def _blocked_queue_cost(agents: int) -> int:
    driver = EntryDriver(agents, NO_CPU)
    driver.state.started_at = driver.now
    for number in range(30):
        driver.submit(f'j{number}')
    assert len(driver.state.job_queue) == 30
    return count_lines(partial(driver.report, 'l0', NO_CPU))


def _report_cost(jobs: int) -> int:
    driver = EntryDriver(SMALL_FLEET)
    for number in range(jobs):
        driver.submit(f'j{number}', tasks=1, cpu=1)
    assert len(driver.state.jobs) == jobs
    free = CAPACITY._replace(cpu=CAPACITY.cpu - 100)
    driver.report('l0', free, starts=jobs)
    return count_lines(partial(driver.report, 'l0', free, starts=jobs))


def test_a_submission_costs_the_same_with_many_agents() -> None:
    """Guard against scans of all executors for each task."""
    small = _submission_cost(SMALL_FLEET)
    assert _submission_cost(LARGE_FLEET) <= MAX_GROWTH * small


def test_a_blocked_queue_costs_the_same_with_many_agents() -> None:
    """Guard against a search of the whole fleet at each report."""
    small = _blocked_queue_cost(SMALL_FLEET)
    assert _blocked_queue_cost(LARGE_FLEET) <= MAX_GROWTH * small


def test_a_report_costs_the_same_with_many_jobs() -> None:
    """Guard against a scan of all tasks at each report."""
    small = _report_cost(3)
    assert _report_cost(300) <= MAX_GROWTH * small


def test_a_report_without_new_capacity_places_nothing() -> None:
    """Guard against a placement of the whole queue at each message."""
    driver = EntryDriver(SMALL_FLEET, NO_CPU)
    driver.state.started_at = driver.now
    empty_queue = count_lines(partial(driver.report, 'l0', NO_CPU))
    for number in range(30):
        driver.submit(f'j{number}')
    full_queue = count_lines(partial(driver.report, 'l0', NO_CPU))
    assert full_queue <= MAX_GROWTH * empty_queue


def _search_cost(jobs: int) -> int:
    driver = EntryDriver(SMALL_FLEET, NO_CPU)
    driver.state.started_at = driver.now
    for number in range(jobs):
        driver.submit(f'j{number}')
    free = NO_CPU._replace(cpu=500)
    return count_lines(partial(driver.report, 'l0', free))


def test_jobs_behind_a_blocked_one_are_not_searched_for_again() -> None:
    """Guard against a search for each queued job at each end of a task.

    An entry without room spent a fifth of its time on tasks that fit nowhere,
    as the same task before them had shown.
    """
    added_jobs = 20
    added_cost = _search_cost(added_jobs + 1) - _search_cost(1)
    assert added_cost <= MAX_LINES_PER_BLOCKED_JOB * added_jobs
