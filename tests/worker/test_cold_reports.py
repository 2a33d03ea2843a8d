"""Check that an agent tells whether its executor is slow after its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.protocol import work

if TYPE_CHECKING:
    from worker_driver import WorkerDriver


def test_entries_hear_whether_the_executor_is_cold(
    driver: WorkerDriver,
) -> None:
    """Guards against placement that does not know of a slow executor."""
    driver.send_heartbeat(cold=True)
    assert driver.messages_of(work.ExecutorReport)[0].cold
    driver.send_heartbeat(cold=True)
    assert not driver.messages_of(work.ExecutorReport)
    driver.send_heartbeat()
    assert not driver.messages_of(work.ExecutorReport)[0].cold
