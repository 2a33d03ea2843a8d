"""Send liveness reports of another writer to two agents."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-2'))

import rig as rigs  # noqa: E402

import stand_ins  # noqa: E402
from stand_ins import call  # noqa: E402

# No address of an executor, but the library takes it for one of IPv6.
ODD_ADDRESS = 'fe80::1%\u00e9:8080'
REPORTS = 3
RESTART_S = 4
# Processes that end by themselves so often, on two machines, are a fault.
MAX_OWN_EXITS = 2


async def play(rig, has_trouble):
    """Return the agents that ended by themselves."""
    beside = asyncio.create_task(
        rig.post(rig.entries[0], rigs.new_id(), work_ms=9000),
    )
    for _ in range(REPORTS):
        await asyncio.sleep(RESTART_S)
        if has_trouble:
            for executor in rig.executors:
                await _send_odd_report(rig, executor)
    await asyncio.sleep(RESTART_S)
    await beside
    return [
        f'{agent.name} ended by itself {len(agent.own_exits)} times'
        for agent in rig.agents
        if len(agent.own_exits) > MAX_OWN_EXITS
    ]


async def _send_odd_report(rig, executor):
    report = {
        'service': stand_ins.SERVICE,
        'address': ODD_ADDRESS,
        'zone': executor.zone,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'capacity': stand_ins.CAPACITY,
        'labels': ['a'],
        'clock_ms': 5,
        'seq': 1,
        'born': executor.born + 1,
    }
    status, _ = await call(
        executor.control,
        'PUT',
        '/api/instances/i-0dd0dd0d',
        json.dumps(report).encode(),
        [('host', executor.control)],
    )
    rig.record('other writer', f'report to {executor.control}: {status}')


rigs.run_case(FOLDER, ['shah-alam', 'petaling'], 2, play)
