"""Test how an agent gives up a link for which it chose another entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from worker_driver import DEMAND
from worker_driver import LINK

from savoryrudder.protocol import work
from savoryrudder.utils.effects import CloseLink
from savoryrudder.worker import events

if TYPE_CHECKING:
    from worker_driver import WorkerDriver


def _retire(driver: WorkerDriver, *links: str) -> None:
    driver.post(events.LinksRetired(driver.now, links))


def _is_closed(driver: WorkerDriver) -> bool:
    return any(isinstance(effect, CloseLink) for effect in driver.effects)


def test_an_entry_is_told_before_its_link_is_closed(
    driver: WorkerDriver,
) -> None:
    """Guard against tasks that are sent to a link while it closes."""
    _retire(driver, LINK)
    assert not driver.messages_of(work.ExecutorReport)[0].accepting
    driver.tick(0.1)
    assert not _is_closed(driver)
    driver.tick(0.6)
    assert _is_closed(driver)


def test_a_link_with_a_run_stays_open(driver: WorkerDriver) -> None:
    """Guard against runs that are stopped because their link retires."""
    driver.start('j.0')
    driver.answer_start('j.0', 'started')
    _retire(driver, LINK)
    driver.tick(0.9)
    assert not _is_closed(driver)


def test_a_start_that_crosses_the_retirement_is_accepted(
    driver: WorkerDriver,
) -> None:
    """Guard against a refusal of what the entry could not know."""
    _retire(driver, LINK)
    driver.receive(work.StartTask(1, 'j.0', 1, 's', DEMAND, 200, False))
    assert 'j.0' in driver.state.runs


def test_a_link_that_is_chosen_again_accepts_tasks(
    driver: WorkerDriver,
) -> None:
    """Guard against an entry that never gets its executors back."""
    _retire(driver, LINK)
    _retire(driver)
    assert driver.messages_of(work.ExecutorReport)[0].accepting
    driver.tick(1)
    assert not _is_closed(driver)
