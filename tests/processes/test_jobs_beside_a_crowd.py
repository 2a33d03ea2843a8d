"""Run a job on an agent while a crowd meets the entry."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Final

import pytest
import trio
from uuid6 import uuid7

from tests.processes import crowd
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import CROWD
from tests.processes.deployment import CONFIG

if TYPE_CHECKING:
    from tests.processes.deployment import Deployment

ENTRY: Final = 'entry-0'

PLANS: Final = (
    ('head_at_once', crowd.head_at_once()),
    ('many_headers', crowd.many_headers()),
    ('tiny_chunks', crowd.tiny_chunks(BODY_BYTES)),
)


async def _submit_beside(deployment: Deployment, plan: crowd.Plan) -> int:
    port = int(deployment.urls[ENTRY].rpartition(':')[2])
    address = crowd.Address(
        '127.0.0.1',
        port,
        b'POST /v1/jobs HTTP/1.1',
        b'GET /metrics HTTP/1.1',
    )
    clients = crowd.Crowd(address, plan, CROWD)
    await clients.send()
    answered = await trio.to_thread.run_sync(
        deployment.submit,
        ENTRY,
        str(uuid7()),
    )
    clients.close()
    return answered.status_code


@pytest.mark.parametrize(
    'plan',
    [pytest.param(case[1], id=case[0]) for case in PLANS],
)
def test_a_job_is_run_beside_a_crowd(
    deployment: Deployment,
    plan: crowd.Plan,
) -> None:
    """Guard against a job that is lost, or an unexpected error, by a crowd."""
    deployment.start(1, 1)
    deployment.apply(CONFIG)
    deployment.wait_usable(ENTRY, 1)
    status = trio.run(_submit_beside, deployment, plan)
    assert status == HTTPStatus.OK
    log = (deployment.folder / f'{ENTRY}.log').read_text()
    assert 'request-failed' not in log
