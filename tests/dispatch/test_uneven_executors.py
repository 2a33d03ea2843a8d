"""Test placement and moves with executors of different speed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SERVICE

from savoryrudder.dispatch.health import is_avoided
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import AgentView


def _slow_run(driver: EntryDriver, *, sound_executor: bool) -> AgentView:
    link = _starts(driver.submit('j1', tasks=1))[0]
    slow = work.SlowRun('j1.0.0.0', 1, 7, 1000, 1, sound_executor)
    driver.receive(link, slow)
    return driver.state.agents[link]


def test_a_long_run_beside_normal_ones_is_not_the_fault_of_its_executor() -> (
    None
):
    """Guard against sound executors that are avoided for seconds."""
    driver = EntryDriver(8)
    agent = _slow_run(driver, sound_executor=True)
    assert not is_avoided(agent, driver.now)


def test_an_executor_is_avoided_unless_other_runs_show_it_sound() -> None:
    """Guard against slow executors that are taken for sound ones."""
    driver = EntryDriver(8)
    agent = _slow_run(driver, sound_executor=False)
    assert is_avoided(agent, driver.now)


def _starts(effects: list[Any]) -> list[str]:
    return [
        effect.peer
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, work.StartTask)
    ]


def _report(
    driver: EntryDriver,
    link: str,
    slowness: float,
    free_tasks: int,
) -> list[Any]:
    report = work.ExecutorReport(
        link,
        SERVICE,
        (),
        CAPACITY,
        CAPACITY._replace(cpu=1000 * free_tasks),
        accepting=True,
        starts_seen=100,
        slowness=slowness,
    )
    return driver.receive(link, report)


def test_faster_executors_are_preferred() -> None:
    """Guard against a free slow executor before a fast one with less room."""
    driver = EntryDriver(2)
    _report(driver, 'l0', 1.5, 8)
    _report(driver, 'l1', 0.7, 5)
    assert _starts(driver.submit('j1', tasks=2)) == ['l1', 'l1']
