"""Send odd data through the sockets of the platform's programs.

Reports, requests, answers of the store, registered entries and settings are
drawn from a seed. No process may end by itself, and no call may fail for an
error that nobody expects.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

import pytest

from tests.processes.deployment import TIMEOUT_S
from tests.processes.odd_store import ADDRESSES
from tests.processes.odd_store import ODD_PARTS
from tests.processes.odd_store import OddStore
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import Program

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

ROUNDS = 120
RELOAD_EVERY = 20
SEEDS = (1, 2)
ODD_SETTINGS = (
    'platform.address=fe80::1%\u00e9:80',
    'platform.address=nohost',
    'bounds.hold_max_ms=x',
    'zone=',
    'no line of a setting',
)


@pytest.fixture
def host() -> str:
    """Return a loopback address that no other process of the tests uses."""
    number = os.getpid()
    return f'127.77.{number // 250 % 250}.{number % 250 + 1}'


@pytest.fixture(params=SEEDS)
def seed(request: pytest.FixtureRequest) -> int:
    """Return the seed of what is drawn."""
    return int(request.param)


@pytest.fixture
def store(seed: int, host: str) -> Iterator[OddStore]:
    """Provide a store that answers oddly."""
    odd_store = OddStore(seed, host)
    yield odd_store
    odd_store.close()


def _draw_report(rng: random.Random) -> tuple[str, str, bytes]:
    report: dict[str, Any] = {
        'service': 's',
        'address': rng.choice(ADDRESSES),
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': rng.choice(('ready', 'draining')),
        'cold_remaining_ms': 0,
        'seq': rng.randrange(2**53),
        'clock_ms': rng.randrange(2**53),
        'born': rng.randrange(2**53),
        'capacity': {'cpu': 1000, 'mem_mb': 100, 'gpu': 0},
        'labels': ['a'],
    }
    if not rng.randrange(4):
        report[rng.choice(list(report))] = rng.choice(ODD_PARTS)
    name = quote(rng.choice(('i-1', 'i-2', '\u00e9', 'a b', '\0')), safe='')
    method = rng.choice(('PUT', 'PUT', 'PUT', 'DELETE'))
    content = b'' if method == 'DELETE' else json.dumps(report).encode()
    return method, f'/api/instances/{name}', content


def _draw_request(rng: random.Random) -> tuple[str, str, bytes]:
    job: dict[str, Any] = {
        'spec': 's',
        'best_effort': True,
        'steps': [{'count': 1, 'cpu': 100}],
    }
    if not rng.randrange(2):
        job[rng.choice(list(job))] = rng.choice(ODD_PARTS)
    path = rng.choice(('/p/0123456789abcdef', '/p/', '/', '/%00%ff', '/p/x'))
    method = rng.choice(('POST', 'POST', 'GET', 'DELETE', 'PUT'))
    return method, path, json.dumps(job).encode()


@pytest.mark.parametrize('role', ['agent', 'entry'])
def test_odd_data_ends_no_program(
    tmp_path: Path,
    store: OddStore,
    host: str,
    seed: int,
    role: str,
) -> None:
    """Guard against programs that end by what others send or leave."""
    rng = random.Random(seed)
    program = Program(tmp_path, role, store.address, host)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(program.kill)
        program.wait_until_serving()
        _send_rounds(program, rng, role)
        metrics = program.read_metrics()
        program.process.terminate()
        status = program.process.wait(TIMEOUT_S)
    assert status == 0, program.output.read_text()
    assert 'unexpected_errors' not in metrics
    assert 'request-failed' not in program.output.read_text()


def _send_rounds(program: Program, rng: random.Random, role: str) -> None:
    port = CONTROL_PORT if role == 'agent' else FRONT_PORT
    draw = _draw_report if role == 'agent' else _draw_request
    for number in range(ROUNDS):
        program.send(port, *draw(rng))
        if number % RELOAD_EVERY == 0:
            program.write_settings(rng.choice(ODD_SETTINGS))
            program.process.send_signal(signal.SIGHUP)
        if number % RELOAD_EVERY == RELOAD_EVERY // 2:
            program.write_settings('')
            program.process.send_signal(signal.SIGHUP)
        assert program.process.poll() is None, program.output.read_text()
