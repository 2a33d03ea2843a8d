"""Send an agent a liveness report of another writer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

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
from executor import Executor
from http_messages import call
from http_messages import encode_request

JOB = '5c0e7a21d94b36f8'
LATER_JOB = '5c0e7a21d94b36f9'
_TASK_MS = 4000


async def play(deployment: Deployment) -> bool:
    """Return whether a task had two runs at a time."""
    await deployment.start(entries=2, agents=3)
    body = job_body(step(2, _TASK_MS), work_ms=_TASK_MS)
    submitted = asyncio.create_task(
        deployment.request('POST', 'entry-1', PREFIX + JOB, body, 15)
    )
    await asyncio.sleep(1)
    busy = next(e for e in deployment.executors.values() if e.running)
    if trouble():
        await _send_odd_report(deployment, busy)
    await submitted
    overlaps = find_overlaps(deployment.executors)
    record_overlaps(deployment.record, overlaps)
    # For the record: does the agent use its executor afterwards?
    runs_before = len(busy.history)
    wide = job_body(step(24, 200), work_ms=200)
    await deployment.request('POST', 'entry-1', PREFIX + LATER_JOB, wide, 5)
    runs = len(busy.history) - runs_before
    deployment.record(f'{busy.name} ran {runs} tasks of a later job of 24')
    return bool(overlaps)


async def _send_odd_report(deployment: Deployment, busy: Executor) -> None:
    # Like a report of another program: fields are missing, and one is of
    # another type.
    report = busy.report_body()
    for field in ('zone', 'slots', 'cold_remaining_ms'):
        report.pop(field)
    report['version'] = 7
    report['address'] = busy.address.replace(':8080', ':8099')
    report['born'] = int(time.time() * 1000)
    request = encode_request(
        'PUT', '/api/instances/i-other', busy.control, report
    )
    answer = await call(busy.control, request, 1)
    deployment.record(f'report of another writer at {busy.control}: {report}')
    deployment.record(f'answer to the report: {answer}')


run_case(FOLDER, play)
