"""Test the HTTP interface for callers on a running deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.processes.deployment import TIMEOUT_S

if TYPE_CHECKING:
    import httpx

    from tests.processes.deployment import Deployment


def _request_job(
    deployment: Deployment,
    method: str,
    key: str,
    wait: float = 0,
) -> httpx.Response:
    return deployment.http.request(
        method,
        f'{deployment.urls["entry-0"]}/v1/jobs/{key}',
        params={'wait': wait},
        headers={'Client': 'shop'},
    )


def test_jobs_are_fetched_cancelled_and_refused(
    deployment: Deployment,
) -> None:
    """Guard against an interface that differs from docs/api.md."""
    deployment.start(entries=1, agents=1)
    running = deployment.submit('entry-0', 'slow', run_ms=1500, wait=0)
    assert running.status_code == 202
    assert running.json() == {'status': 'running'}
    fetched = _request_job(deployment, 'GET', 'slow', TIMEOUT_S)
    assert fetched.status_code == 200
    assert fetched.json()['status'] == 'complete'
    resubmitted = deployment.submit('entry-0', 'slow', run_ms=1500)
    assert resubmitted.json() == fetched.json()
    conflict = deployment.submit('entry-0', 'slow', run_ms=7)
    assert conflict.status_code == 409
    assert conflict.json()['reason'] == 'key-conflict'
    absent = _request_job(deployment, 'GET', 'absent')
    assert absent.status_code == 404
    assert absent.headers['content-type'] == 'application/problem+json'
    deployment.submit('entry-0', 'many', tasks=40, run_ms=500, wait=0)
    _request_job(deployment, 'DELETE', 'many')
    cancelled = _request_job(deployment, 'GET', 'many', TIMEOUT_S).json()
    assert cancelled['status'] == 'failed'
    assert cancelled['reason'] == 'cancelled'
    assert not any('result' in task for task in cancelled['tasks'])
    assert deployment.starts().total() < 41


def test_invalid_requests_name_every_error(deployment: Deployment) -> None:
    """Guard against answers that report only the first error."""
    deployment.start(entries=1, agents=1)
    url = f'{deployment.urls["entry-0"]}/v1/jobs'
    body = {'service': 'pane', 'urgency': 'now', 'tasks': []}
    response = deployment.http.post(url, json=body)
    assert response.status_code == 400
    problem = response.json()
    assert problem['reason'] == 'invalid-request'
    for field in ('Client', 'Idempotency-Key', 'body.tasks', 'body.urgency'):
        assert field in problem['detail']
    malformed = deployment.http.post(url, content=b'{"service": 3}')
    assert malformed.status_code == 400
    unknown = deployment.http.post(
        url,
        json={'service': 'glass', 'tasks': [{'operation': 'cut'}]},
        headers={'Client': 'shop', 'Idempotency-Key': 'unknown'},
    )
    assert unknown.status_code == 422
    assert unknown.json()['outcome'] == 'not-run'
