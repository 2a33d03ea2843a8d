"""Kill entries while executors leave a share of the orders unanswered."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import PREFIX
from deployment import Deployment
from deployment import find_overlaps
from deployment import job_body
from deployment import record_overlaps
from deployment import run_case
from deployment import step
from deployment import trouble

_ROUNDS = 8
_JOBS = 45
_TASK_MS = 2500
# Callers send a job again this long after they got no answer (`resend_ms`).
_RESEND_S = 1.3
_RESTART_S = 0.5
# The share x of the orders, their delay, and the length of the disruption.
_SHARE = float(os.environ.get('SHARE', '0.5'))
_LATE_S = (2.0, 12.0)
_DISRUPTION_S = 2.5


async def play(deployment: Deployment) -> bool:
    """Return whether a task had two runs at a time."""
    await deployment.start(entries=2, agents=9)
    names = ('entry-1', 'entry-2')
    for number in range(_ROUNDS):
        killed = names[number % 2]
        await _play_round(deployment, number, killed, names[1 - number % 2])
        await deployment.wait_ready(names)
    overlaps = find_overlaps(deployment.executors)
    record_overlaps(deployment.record, overlaps)
    return bool(overlaps)


async def _play_round(
    deployment: Deployment,
    number: int,
    killed: str,
    other: str,
) -> None:
    callers = []
    for index in range(_JOBS):
        job = f'5c0e7a21d94b{number:02x}{index:02x}'
        callers.append(
            asyncio.create_task(_call(deployment, job, killed, other))
        )
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    if trouble():
        if os.environ.get('LATE', '1') != '0':
            _lose_orders(deployment)
        deployment.send_signal(killed, signal.SIGKILL)
        await asyncio.sleep(_RESTART_S)
        deployment.launch(killed)
    await asyncio.gather(*callers)


def _lose_orders(deployment: Deployment) -> None:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _DISRUPTION_S

    def draw(path: str, body: dict[str, Any]) -> float | None:
        if loop.time() > ends_at or random.random() > _SHARE:
            return None
        return random.uniform(*_LATE_S)

    for executor in deployment.executors.values():
        executor.late_orders = draw


async def _call(
    deployment: Deployment,
    job: str,
    first: str,
    other: str,
) -> None:
    body = job_body(step(2, _TASK_MS), work_ms=_TASK_MS)
    for entry in (first, other, other):
        response = await deployment.request(
            'POST', entry, PREFIX + job, body, 8
        )
        if response is not None and response.status != 502:
            return
        await asyncio.sleep(_RESEND_S)


run_case(FOLDER, play)
