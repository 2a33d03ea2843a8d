"""A sign-off that a partition held up arrives after the executor is back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-2'))

import rig as rigs  # noqa: E402

import stand_ins  # noqa: E402

RELAY_PORT = 8171
# One of them leaves and is cut off, within the shares that the pages name.
EXECUTORS = 7
WORK_MS = 9000
# Two tasks fill an executor, and a quarter of all room stays free.
JOBS = 9
CPU = 30_000
# `drain_ms` and a little longer, from the first report that it is draining.
DRAIN_S = 2.0 + stand_ins.HEARTBEAT_S + 0.3
CUT_S = 1.7
# TCP sends again 0.2, 0.6, 1.4 and 3 s after the first attempt.
HELD_S = 3.1
OBSERVED_S = 6


async def play(rig, has_trouble):
    """Return the times at which two runs of a task went on."""
    entry = rig.entries[0]
    executor = rig.executors[0]
    relay = stand_ins.Relay(executor.control)
    await relay.listen(executor.host, RELAY_PORT)
    executor.control = f'{executor.host}:{RELAY_PORT}'
    executor.state = 'draining'
    await asyncio.sleep(DRAIN_S)
    if has_trouble:
        rig.record('network', f'{executor.name} is cut off from its agent')
        relay.cut(HELD_S)
    sign_off = asyncio.create_task(executor.sign_off())
    await asyncio.sleep(0.2)
    executor.end()
    await asyncio.sleep(CUT_S)
    relay.heal()
    rig.record('network', 'the path is whole')
    executor.start_again()
    await asyncio.sleep(0.8)
    jobs = [rigs.new_id() for _ in range(JOBS)]
    posted = [
        asyncio.create_task(rig.post(entry, job, work_ms=WORK_MS, cpu=CPU))
        for job in jobs
    ]
    for job in jobs:
        await rig.wait_running(job)
    if not executor.runs:
        raise rigs.CannotRunError(f'no task runs on {executor.name}')
    await asyncio.sleep(OBSERVED_S)
    for task in (*posted, sign_off):
        task.cancel()
    return [text for job in jobs for text in rigs.find_overlaps(rig, job)]


rigs.run_case(FOLDER, ['shah-alam', 'petaling'], EXECUTORS, play)
