"""Play the platform for memory, as DEPLOY.md tells.

A process over its limit is killed, and started again after a short delay.
"""

from __future__ import annotations

import asyncio
import collections
from pathlib import Path

import deployment

_RESTART_S = 0.5
_POLL_S = 0.05
_KB_PER_MB = 1024


def _resident_kb(process_id: int) -> int:
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


async def guard(
    case: deployment.Deployment,
    ends: collections.Counter[str],
) -> None:
    """Kill each process over its memory; count these ends by machine."""
    while True:
        for name in (*case.entries, *case.agents):
            process = case.processes[name]
            if process.poll() is not None:
                continue
            role = 'entry' if name in case.entries else 'agent'
            resident_kb = _resident_kb(process.pid)
            if resident_kb <= deployment.MEMORY_MB[role] * _KB_PER_MB:
                continue
            case.record('over-memory', process=name, resident_kb=resident_kb)
            ends[name] += 1
            case.kill(name)
            loop = asyncio.get_running_loop()
            loop.call_later(_RESTART_S, case.restart, name)
        await asyncio.sleep(_POLL_S)
