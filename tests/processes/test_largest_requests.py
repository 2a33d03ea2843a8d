"""Send a single request of the largest legal size to each listener, in calm."""

from __future__ import annotations

import json
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Final

import httpx
import pytest

from tests.processes.calm_store import QUEUE_HOST
from tests.processes.calm_store import QUEUE_PREFIX
from tests.processes.crowd_meeting import BODY_BYTES
from tests.processes.crowd_meeting import LIMITS
from tests.processes.deployment import TIMEOUT_S
from tests.processes.platform_program import FRONT_PORT
from tests.processes.test_uncontrolled_clients import run_platform
from tests.processes.test_uncontrolled_clients import run_product

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PRODUCT_BODY_BYTES: Final = 16 * 1024 * 1024
PIECE_BYTES: Final = 100
REASONS_WITHOUT_EXECUTORS: Final = frozenset(
    ('no executor is available', 'no room in time'),
)


def _pad(body: object, size: int) -> bytes:
    return json.dumps(body).encode().ljust(size)


def _pieces(content: bytes) -> Iterator[bytes]:
    """Yield the small pieces of a body without an announced length."""
    for begin in range(0, len(content), PIECE_BYTES):
        yield content[begin : begin + PIECE_BYTES]


@pytest.mark.parametrize('in_pieces', [False, True])
def test_the_largest_job_is_read_whole(
    tmp_path: Path,
    loopback_host: str,
    *,
    in_pieces: bool,
) -> None:
    """Guard against limits that a single legal request meets."""
    job = {'spec': 's', 'best_effort': True, 'steps': [{'count': 1}]}
    content = _pad(job, BODY_BYTES)
    send = partial(
        httpx.post,
        f'http://{loopback_host}:{FRONT_PORT}{QUEUE_PREFIX}0123456789abcdef',
        content=_pieces(content) if in_pieces else content,
        headers={'host': QUEUE_HOST},
        timeout=TIMEOUT_S,
        trust_env=False,
    )
    with run_platform(tmp_path, 'entry', loopback_host, LIMITS):
        answered = send()
    # The entry has no executors. A job that it has read and queued is refused
    # so, at once or when it can no longer start in time.
    assert answered.json()['error'] in REASONS_WITHOUT_EXECUTORS


@pytest.mark.parametrize('in_pieces', [False, True])
def test_the_largest_request_to_the_product_is_read_whole(
    tmp_path: Path,
    *,
    in_pieces: bool,
) -> None:
    """Guard against limits that a single legal request meets."""
    content = _pad({'odd': 1}, PRODUCT_BODY_BYTES)
    with run_product(tmp_path) as target:
        answered = httpx.post(
            f'http://127.0.0.1:{target.address.port}/v1/jobs',
            content=_pieces(content) if in_pieces else content,
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    # The body is no job, which the application says once it has read it.
    assert answered.status_code == HTTPStatus.BAD_REQUEST
