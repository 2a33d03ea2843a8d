"""Kill, freeze and stop real processes during traffic."""

from __future__ import annotations

import itertools
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from tests.processes.deployment import CONFIG
from tests.processes.deployment import PATIENCE_S

if TYPE_CHECKING:
    import httpx

    from tests.processes.deployment import Deployment


_UNAVAILABLE: Final = 503


def _assert_single_starts(deployment: Deployment) -> None:
    doubled = {
        key: count for key, count in deployment.starts().items() if count > 1
    }
    assert not doubled


def _keep_submitting(
    deployment: Deployment,
    entry: str,
    worker: int,
    stopping: threading.Event,
    answers: list[httpx.Response],
) -> None:
    for number in itertools.count():
        if stopping.is_set():
            return
        answers.append(
            deployment.submit(entry, f'{worker}-{number}', tasks=2),
        )


def _resubmit_until_answered(
    deployment: Deployment,
    entry: str,
    key: str,
    **job: int,
) -> dict[str, Any]:
    """Submit a job again as long as its outcome is said to be unknown."""
    while True:
        response = deployment.submit(entry, key, **job)
        answer: dict[str, Any] = response.json()
        if response.status_code != _UNAVAILABLE:
            return answer
        assert answer['outcome'] == 'unknown', answer
        time.sleep(float(response.headers['retry-after']))


def test_whole_path_serves_through_every_entry(
    deployment: Deployment,
) -> None:
    """Guard against a call that fails because it reached the wrong entry."""
    deployment.start(entries=2, agents=2)
    for number in range(10):
        for entry in ('entry-0', 'entry-1'):
            answer = deployment.submit(entry, f'key-{number}').json()
            assert answer['status'] == 'complete', answer
    assert len(deployment.starts()) == 10
    _assert_single_starts(deployment)


def test_resubmission_after_the_loss_of_an_entry(
    deployment: Deployment,
) -> None:
    """Guard against a second start when an entry is killed mid-job."""
    deployment.start(entries=2, agents=3)
    with ThreadPoolExecutor(8) as pool:
        for number in range(8):
            pool.submit(
                deployment.submit,
                'entry-0',
                f'key-{number}',
                tasks=3,
                run_ms=1500,
            )
        deployment.wait(lambda: len(deployment.starts()) >= 4, 'some starts')
        deployment.kill('entry-0')
        answers = list(
            pool.map(
                lambda index: _resubmit_until_answered(
                    deployment,
                    'entry-1',
                    f'key-{index}',
                    tasks=3,
                    run_ms=1500,
                ),
                range(8),
            ),
        )
    assert {answer['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)


def test_loss_of_an_agent_is_answered_truthfully(
    deployment: Deployment,
) -> None:
    """Guard against a lost, doubled or invented answer after a kill."""
    deployment.start(entries=1, agents=2)
    with ThreadPoolExecutor(8) as pool:
        answers = [
            pool.submit(
                deployment.submit,
                'entry-0',
                f'key-{number}',
                run_ms=1500,
                wait=30,
            )
            for number in range(8)
        ]
        deployment.wait(lambda: len(deployment.starts()) == 8, 'all starts')
        deployment.kill('agent-0')
        found = [answer.result().json() for answer in answers]
    failed = [answer for answer in found if answer['status'] == 'failed']
    assert 0 < len(failed) < 8
    assert {answer['outcome'] for answer in failed} == {'unknown'}
    _assert_single_starts(deployment)


def test_frozen_entry_starts_nothing_after_takeover(
    deployment: Deployment,
) -> None:
    """Guard against a former owner that wakes up and goes on."""
    deployment.start(entries=2, agents=2)
    with ThreadPoolExecutor(12) as pool:
        early = [
            pool.submit(
                deployment.submit,
                'entry-0',
                f'key-{number}',
                tasks=4,
                run_ms=700,
                wait=1,
            )
            for number in range(6)
        ]
        deployment.wait(lambda: deployment.starts(), 'a start')
        deployment.signal('entry-0', signal.SIGSTOP)
        late = [
            pool.submit(
                _resubmit_until_answered,
                deployment,
                'entry-1',
                f'key-{number}',
                tasks=4,
                run_ms=700,
            )
            for number in range(6)
        ]
        answers = [answer.result() for answer in late]
        deployment.signal('entry-0', signal.SIGCONT)
        for answer in early:
            assert answer.result().status_code in {200, 202, 503}
    assert {answer['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)


def test_store_restart_during_traffic(deployment: Deployment) -> None:
    """Guard against refusals while the store is away for a short time."""
    deployment.start(entries=2, agents=2)
    port = int(deployment.store_url.rpartition(':')[2])
    deployment.kill('store')
    with ThreadPoolExecutor(4) as pool:
        answers = list(
            pool.map(
                lambda number: deployment.submit(
                    f'entry-{number % 2}',
                    f'key-{number}',
                    run_ms=800,
                ).json(),
                range(40),
            ),
        )
    assert {answer['status'] for answer in answers} == {'complete'}
    deployment.start_store(port)
    deployment.wait(
        lambda: deployment.status('entry-0')['store'] == 'up',
        'the store',
    )
    assert deployment.submit('entry-1', 'after').json()['status'] == 'complete'
    _assert_single_starts(deployment)


def test_planned_stops_cut_off_no_request(deployment: Deployment) -> None:
    """Guard against requests lost when an agent and an entry are stopped."""
    deployment.start(entries=2, agents=3)
    stopping = threading.Event()
    answers: list[httpx.Response] = []
    with ThreadPoolExecutor(8) as pool:
        workers = [
            pool.submit(
                _keep_submitting,
                deployment,
                'entry-1',
                worker,
                stopping,
                answers,
            )
            for worker in range(4)
        ]
        held = [
            pool.submit(
                deployment.submit,
                'entry-0',
                f'held-{number}',
                tasks=2,
                run_ms=900,
            )
            for number in range(4)
        ]
        deployment.wait(lambda: len(answers) > 8, 'traffic')
        assert deployment.stop('agent-0') == 0
        assert deployment.stop('entry-0') == 0
        stopping.set()
        for worker in workers:
            worker.result()
        answers.extend(answer.result() for answer in held)
    assert {answer.json()['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)


def test_two_operators_apply_at_once(deployment: Deployment) -> None:
    """Guard against a change that silently overwrites another."""
    deployment.start(entries=2, agents=1)
    revision = deployment.status('entry-0')['revision']
    with ThreadPoolExecutor(2) as pool:
        outcomes = list(
            pool.map(
                lambda number: deployment.apply(
                    f'{CONFIG}\n# operator {number}\n',
                    revision,
                ),
                range(2),
            ),
        )
    assert sorted(outcome.status_code for outcome in outcomes) == [200, 409]
    winner = min(outcomes, key=lambda outcome: outcome.status_code).json()
    for entry in ('entry-0', 'entry-1'):
        deployment.wait_revision(entry, winner['revision'])


def test_an_operator_drains_an_agent(deployment: Deployment) -> None:
    """Guard against a drain that is accepted and never carried out."""
    deployment.start(entries=1, agents=2)
    answer = deployment.http.post(
        f'{deployment.urls["entry-0"]}/v1/drain',
        json={'agent': 'agent-0'},
    )
    assert answer.status_code == 202
    assert deployment.processes.pop('agent-0').wait(PATIENCE_S) == 0
    assert deployment.submit('entry-0', 'after').json()['status'] == 'complete'


def test_an_entry_that_joins_later_gets_agents(
    deployment: Deployment,
) -> None:
    """Guard against a new entry that owns keys but has no agent for them."""
    deployment.start(entries=1, agents=2)
    stopping = threading.Event()
    answers: list[httpx.Response] = []
    with ThreadPoolExecutor(4) as pool:
        for worker in range(3):
            pool.submit(
                _keep_submitting,
                deployment,
                'entry-0',
                worker,
                stopping,
                answers,
            )
        deployment.wait(lambda: len(answers) > 5, 'traffic')
        deployment.start_entry('entry-1')
        try:
            deployment.wait_usable('entry-1', 2)
        finally:
            stopping.set()
    for number in range(8):
        answers.append(deployment.submit('entry-1', f'joined-{number}'))
    assert {answer.json()['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)
