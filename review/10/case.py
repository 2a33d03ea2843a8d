"""Submit one wide job beside another job of the same entry."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-2'))

import rig as rigs  # noqa: E402

from stand_ins import call  # noqa: E402

WIDE_TASKS = 9000
USUAL_TASKS = 32
OBSERVED_S = 20
POLL_S = 1
# The platform takes a node out of rotation after two misses.
MAX_SILENCE_S = 2


async def play(rig, has_trouble):
    """Return the times for which the entry did not answer the platform."""
    entry = rig.entries[0]
    beside = asyncio.create_task(
        rig.post(entry, rigs.new_id(), work_ms=6000),
    )
    await asyncio.sleep(0.5)
    tasks = WIDE_TASKS if has_trouble else USUAL_TASKS
    wide = asyncio.create_task(
        rig.post(entry, rigs.new_id(), work_ms=400, count=tasks, cpu=10),
    )
    until = rig.record.now() + OBSERVED_S
    silences_s = []
    while rig.record.now() < until:
        asked_at = rig.record.now()
        status, _ = await call(
            f'{entry.host}:{rigs.READY_PORT}',
            'GET',
            '/api/ready',
            headers=[('host', entry.host)],
        )
        silence_s = rig.record.now() - asked_at
        silences_s.append(silence_s)
        rig.record('platform', f'ready: {status} after {silence_s:.2f} s')
        await asyncio.sleep(max(0, POLL_S - silence_s))
    await asyncio.gather(beside, wide)
    return [
        f'{entry.name} answered nothing for {silence_s:.1f} s'
        for silence_s in silences_s
        if silence_s > MAX_SILENCE_S
    ]


rigs.run_case(FOLDER, ['shah-alam', 'petaling'], 2, play)
