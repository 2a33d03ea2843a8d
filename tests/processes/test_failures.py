"""Kill, freeze and stop processes during traffic."""

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
from tests.processes.deployment import TIMEOUT_S

if TYPE_CHECKING:
    import httpx

    from tests.processes.deployment import Deployment


_UNAVAILABLE: Final = 503


def _assert_single_starts(deployment: Deployment) -> None:
    duplicates = {
        key: count for key, count in deployment.starts().items() if count > 1
    }
    assert not duplicates


def _keep_submitting(
    deployment: Deployment,
    entry: str,
    worker: int,
    stop: threading.Event,
    answers: list[httpx.Response],
) -> None:
    for number in itertools.count():
        if stop.is_set():
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
    """Resubmit a job while its outcome is reported as unknown."""
    while True:
        response = deployment.submit(entry, key, **job)
        answer: dict[str, Any] = response.json()
        if response.status_code != _UNAVAILABLE:
            return answer
        assert answer['outcome'] == 'unknown', answer
        time.sleep(float(response.headers['retry-after']))


def test_every_entry_serves_every_key(
    deployment: Deployment,
) -> None:
    """Guard against a request that fails because another entry owns its key."""
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
    """Guard against a second start when an entry is killed during a job."""
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


def test_loss_of_an_agent_is_reported_as_unknown(
    deployment: Deployment,
) -> None:
    """Guard against a lost, duplicate or false answer after a kill."""
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
        answered = [answer.result().json() for answer in answers]
    failed = [answer for answer in answered if answer['status'] == 'failed']
    assert 0 < len(failed) < 8
    assert {answer['outcome'] for answer in failed} == {'unknown'}
    _assert_single_starts(deployment)


def test_frozen_entry_starts_nothing_after_takeover(
    deployment: Deployment,
) -> None:
    """Guard against starts by a former owner that is resumed."""
    deployment.start(entries=2, agents=2)
    with ThreadPoolExecutor(12) as pool:
        submissions = [
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
        resubmissions = [
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
        answers = [answer.result() for answer in resubmissions]
        deployment.signal('entry-0', signal.SIGCONT)
        for answer in submissions:
            assert answer.result().status_code in {200, 202, 503}
    assert {answer['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)


def test_store_restart_during_traffic(deployment: Deployment) -> None:
    """Guard against refusals during a short outage of the store."""
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


def test_graceful_stops_interrupt_no_request(deployment: Deployment) -> None:
    """Guard against requests lost when an agent and an entry stop."""
    deployment.start(entries=2, agents=3)
    stop = threading.Event()
    answers: list[httpx.Response] = []
    with ThreadPoolExecutor(8) as pool:
        workers = [
            pool.submit(
                _keep_submitting,
                deployment,
                'entry-1',
                worker,
                stop,
                answers,
            )
            for worker in range(4)
        ]
        waiting_answers = [
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
        stop.set()
        for worker in workers:
            worker.result()
        answers.extend(answer.result() for answer in waiting_answers)
    assert {answer.json()['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)


def test_concurrent_configuration_changes(deployment: Deployment) -> None:
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
    applied = min(outcomes, key=lambda outcome: outcome.status_code).json()
    for entry in ('entry-0', 'entry-1'):
        deployment.wait_revision(entry, applied['revision'])


def test_drain_request_stops_an_agent(deployment: Deployment) -> None:
    """Guard against a drain that is accepted but not carried out."""
    deployment.start(entries=1, agents=2)
    answer = deployment.http.post(
        f'{deployment.urls["entry-0"]}/v1/drain',
        json={'agent': 'agent-0'},
    )
    assert answer.status_code == 202
    assert deployment.processes.pop('agent-0').wait(TIMEOUT_S) == 0
    assert deployment.submit('entry-0', 'after').json()['status'] == 'complete'


def test_new_entry_links_to_agents(
    deployment: Deployment,
) -> None:
    """Guard against a new entry that owns keys but has no agents."""
    deployment.start(entries=1, agents=2)
    stop = threading.Event()
    answers: list[httpx.Response] = []
    with ThreadPoolExecutor(4) as pool:
        for worker in range(3):
            pool.submit(
                _keep_submitting,
                deployment,
                'entry-0',
                worker,
                stop,
                answers,
            )
        deployment.wait(lambda: len(answers) > 5, 'traffic')
        deployment.start_entry('entry-1')
        try:
            deployment.wait_usable('entry-1', 2)
        finally:
            stop.set()
    for number in range(8):
        answers.append(deployment.submit('entry-1', f'joined-{number}'))
    assert {answer.json()['status'] for answer in answers} == {'complete'}
    _assert_single_starts(deployment)
