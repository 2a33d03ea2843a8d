"""Test on how many executors the tasks of a job are placed."""

from __future__ import annotations

from collections import Counter
from typing import Any

from entry_driver import EntryDriver
from fakes.fleet import CAPACITY

from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

AGENTS = 10


def _starts(effects: list[Any]) -> Counter[str]:
    return Counter(
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    )


def test_a_job_is_placed_on_few_executors_while_there_is_room() -> None:
    """Guard against jobs that any slow executor of the fleet delays."""
    driver = EntryDriver(AGENTS)
    starts = _starts(driver.submit('j1', tasks=8, cpu=500))
    assert starts.total() == 8
    assert len(starts) == 1


def test_a_job_is_spread_before_executors_are_nearly_full() -> None:
    """Guard against a full executor beside idle ones."""
    driver = EntryDriver(AGENTS)
    starts = _starts(driver.submit('j1', tasks=8, cpu=2000))
    assert starts.total() == 8
    assert max(starts.values()) * 2000 <= CAPACITY.cpu * 3 / 4


def test_a_job_uses_the_last_room_of_all_executors() -> None:
    """Guard against tasks that wait beside free processors."""
    driver = EntryDriver(AGENTS)
    starts = _starts(driver.submit('j1', tasks=40, cpu=2000))
    assert starts.total() == 40
