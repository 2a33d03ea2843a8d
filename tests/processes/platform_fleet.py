"""Run entries, agents and stand-ins of executors as separate processes."""

from __future__ import annotations

import base64
import json
import subprocess
import sys
import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from pathlib import Path
from typing import Any
from typing import Final
from typing import NamedTuple

import httpx
from uuid6 import uuid7

from savoryrudder.protocol.members import Member
from savoryrudder.protocol.members import encode_member
from tests.processes.calm_store import QUEUE_HOST
from tests.processes.calm_store import QUEUE_PREFIX
from tests.processes.calm_store import CalmStore
from tests.processes.deployment import TIMEOUT_S
from tests.processes.odd_store import MEMBERS
from tests.processes.platform_program import CONTROL_PORT
from tests.processes.platform_program import FRONT_PORT
from tests.processes.platform_program import LINK_PORT
from tests.processes.platform_program import Program

_EXECUTOR: Final = Path(__file__).parents[2] / 'stand_ins' / 'executor.py'
_EXECUTOR_PORT: Final = 8165
_STORE_NUMBER: Final = 250
_MAX_CLIENTS: Final = 64
_RETRY_S: Final = 0.2
_OK: Final = HTTPStatus.OK.value


class JobShape(NamedTuple):
    """Describe the only step of a job."""

    tasks: int
    cpu: int
    work_ms: int


ORDINARY_JOB: Final = JobShape(2, 200, 100)


class MemberStore(CalmStore):
    """Serve a configuration with one queue, and registered entries."""

    def __init__(self, host: str, entries: dict[str, str]) -> None:
        """Listen on a free port; `entries` holds hosts by name."""
        super().__init__(host)
        self._members = [
            _member_item(name, entry_host)
            for name, entry_host in entries.items()
        ]

    def draw_answer(self, path: str) -> tuple[int, bytes] | None:
        """Return a status and a body."""
        answer = super().draw_answer(path)
        if answer is None or 'kv-range' not in path or 'members' not in path:
            return answer
        status, content = answer
        body = json.loads(content)
        body['items'] = self._members
        return status, json.dumps(body).encode()


class PlatformFleet:
    """Run entries, and agents with executors, on loopback addresses."""

    def __init__(
        self,
        folder: Path,
        network: str,
        entries: int,
        agents: int,
    ) -> None:
        """Start all processes; `network` is three parts of an address."""
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.executors: list[subprocess.Popen[bytes]] = []
        self._folder = folder
        self._clients = ThreadPoolExecutor(_MAX_CLIENTS)
        hosts = {
            f'e{number}': f'{network}.{number + 1}' for number in range(entries)
        }
        self._store = MemberStore(f'{network}.{_STORE_NUMBER}', hosts)
        for name, entry_host in hosts.items():
            self.entries.append(self._start('entry', name, entry_host))
        for number in range(agents):
            host = f'{network}.{entries + number + 1}'
            self.agents.append(self._start('agent', f'a{number}', host))
            self.executors.append(self._start_executor(f'x{number}', host))

    def wait_until_serving(self) -> None:
        """Wait until each entry answers an ordinary job."""
        for program in (*self.entries, *self.agents):
            program.wait_until_serving()
        for entry, _ in enumerate(self.entries):
            self.serve_ordinary_job(entry)

    def serve_ordinary_job(self, entry: int) -> None:
        """Send ordinary jobs to an entry until one is answered."""
        limit = time.monotonic() + TIMEOUT_S
        while self.submit(entry, ORDINARY_JOB) != _OK:
            if time.monotonic() > limit:
                raise TimeoutError('no ordinary job was answered')
            time.sleep(_RETRY_S)

    def submit(self, entry: int, shape: JobShape) -> int:
        """Submit a job; return the status of its answer, 0 for none."""
        host = self.entries[entry].host
        step = {
            'count': shape.tasks,
            'cpu': shape.cpu,
            'mem_mb': 1,
            'estimate_ms': shape.work_ms,
        }
        job = {
            'spec': str(shape.work_ms),
            'best_effort': True,
            'steps': [step],
        }
        try:
            response = httpx.post(
                f'http://{host}:{FRONT_PORT}{QUEUE_PREFIX}{uuid7().hex[-16:]}',
                json=job,
                headers={
                    'host': QUEUE_HOST,
                    'deadline-ms': str(TIMEOUT_S * 1000),
                },
                timeout=TIMEOUT_S,
                trust_env=False,
            )
        except httpx.TransportError:
            return 0
        return response.status_code

    def submit_in_background(self, entry: int, shape: JobShape) -> Future[int]:
        """Submit a job in a thread."""
        return self._clients.submit(self.submit, entry, shape)

    def count_runs(self) -> int:
        """Return how many runs the executors have started and not ended."""
        events = [event['event'] for event in self.read_runs()]
        return events.count('start') - events.count('end')

    def read_runs(self) -> list[dict[str, Any]]:
        """Return the starts and ends of runs, in the order of time."""
        events: list[dict[str, Any]] = []
        for path in self._folder.glob('x*.runs'):
            lines = path.read_text().split('\n')
            events.extend(json.loads(line) for line in lines[:-1])
        return sorted(events, key=lambda event: float(event['at']))

    def wait_for_runs(self, least: int, most: int) -> None:
        """Wait until the number of runs is within bounds."""
        limit = time.monotonic() + TIMEOUT_S
        while not least <= self.count_runs() <= most:
            if time.monotonic() > limit:
                raise TimeoutError(f'{self.count_runs()} runs')
            time.sleep(_RETRY_S)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of a program."""
        lines = (self._folder / f'{name}.log').read_text().split('\n')
        return [json.loads(line) for line in lines[:-1]]

    def close(self) -> None:
        """End all processes."""
        for program in (*self.entries, *self.agents):
            program.kill()
        for executor in self.executors:
            executor.kill()
            executor.wait()
        self._clients.shutdown()
        self._store.close()

    def _start(self, role: str, name: str, host: str) -> Program:
        return Program(self._folder, role, self._store.address, host, name)

    def _start_executor(self, name: str, host: str) -> subprocess.Popen[bytes]:
        command = [
            sys.executable,
            str(_EXECUTOR),
            name,
            host,
            str(_EXECUTOR_PORT),
            str(CONTROL_PORT),
        ]
        with (self._folder / f'{name}.runs').open('wb') as output:
            return subprocess.Popen(command, stdout=output)


def _member_item(name: str, host: str) -> dict[str, Any]:
    member = Member(name, f'{host}:{LINK_PORT}', 'z')
    content = base64.b64encode(encode_member(member).encode())
    return {
        'key': f'{MEMBERS}{name}',
        'value': content.decode(),
        'revision': 1,
        'lease': 0,
    }
