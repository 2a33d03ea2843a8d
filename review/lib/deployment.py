"""Run a small deployment of separate processes on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any

from executor import Executor
from http_messages import Response
from http_messages import call
from http_messages import encode_request
from platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
PREFIX = '/cut/'
_METRICS_PORT = 9464
_READY_TIMEOUT_S = 25.0
_PLAY_TIMEOUT_S = 110
_CANNOT_RUN = 2
_ZONES = ('zone-1', 'zone-2', 'zone-3')
# Bounds of the site kpf-cutdesk.
_BOUNDS = (
    ('contact_ms', 3000),
    ('ack_timeout_ms', 4000),
    ('drain_ms', 2000),
    ('grace_s', 6),
    ('config_deadline_ms', 2000),
    ('hold_max_ms', 1000),
    ('stop_ms', 50),
    ('cancel_ms', 3000),
)


class CannotRunError(Exception):
    """Raised when the deployment does not come up."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Begin a new record."""
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write a line."""
        print(f'{self.now():8.3f} {line}', file=self._file, flush=True)

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started_at

    def at(self, moment: float) -> float:
        """Return a moment of the steady clock as time since the start."""
        return moment - self._started_at


class Deployment:
    """Start entries and agents with the commands of the deploy file."""

    def __init__(self, record: Record) -> None:
        """Choose free addresses."""
        self.record = record
        self.store = PlatformStore()
        self.executors: dict[str, Executor] = {}
        self.fronts: dict[str, str] = {}
        self._readiness: dict[str, str] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        with (ROOT / 'deploy/system.toml').open('rb') as deploy_file:
            self._roles = tomllib.load(deploy_file)['roles']
        self._network = _find_free_network()
        self._machines = 0
        self._store_address = f'{self.new_ip()}:8169'

    async def start(self, entries: int, agents: int) -> None:
        """Start all programs and wait until they take jobs."""
        host, _, port = self._store_address.rpartition(':')
        await self.store.start(host, int(port))
        self.write_configuration(1)
        for number in range(1, entries + 1):
            self.start_entry(f'entry-{number}', _ZONES[(number - 1) % 3])
        for number in range(1, agents + 1):
            await self.start_agent(f'agent-{number}', _ZONES[(number - 1) % 3])
        await self.wait_ready(self.fronts)

    def write_configuration(self, version: int) -> None:
        """Write the operator's configuration."""
        queue = {
            'name': 'cut',
            'host': HOST,
            'prefix': PREFIX,
            'service': 'pane',
            'priority': 0,
            'attempts': 4,
            'stretch': 1.6,
            'target_duration_ms': 2000,
        }
        self.store.write(
            'op/config',
            {
                'version': version,
                'routes': [queue],
                'services': [{'name': 'pane', 'admission_check': False}],
                'limits': {},
            },
        )

    def start_entry(self, name: str, zone: str) -> None:
        """Start the entry of a new machine."""
        ip = self.new_ip()
        self.fronts[name] = f'{ip}:8161'
        self._readiness[name] = f'{ip}:8167'
        self._write_settings(
            name,
            zone,
            ip,
            {
                'listen.front': f'{ip}:8161',
                'listen.ready': f'{ip}:8167',
            },
        )
        self.launch(name)

    async def start_agent(self, name: str, zone: str) -> None:
        """Start the agent of a new machine, and its executor."""
        ip = self.new_ip()
        control = f'{ip}:8166'
        self._write_settings(name, zone, ip, {'listen.control': control})
        self.launch(name)
        executor = Executor(
            f'i-{name}', f'{ip}:8080', control, zone, self.record
        )
        self.executors[name] = executor
        await executor.start()

    def launch(self, name: str) -> None:
        """Start the process of a machine with its present settings."""
        role = 'entry' if name.startswith('entry') else 'agent'
        command = self._roles[role]['run'].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        environment = {
            variable: os.environ[variable]
            for variable in ('PATH', 'HOME', 'LANG')
            if variable in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['SAVORYRUDDER_BOOT'] = str(self._settings_path(name))
        with (self._folder / f'{name}.log').open('ab') as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f'{name} is started')

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record(f'{number.name} to {name}')
        self._processes[name].send_signal(number)

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a machine's process, None while it runs."""
        return self._processes[name].poll()

    def log_of(self, name: str) -> str:
        """Return what the processes of a machine have written."""
        return (self._folder / f'{name}.log').read_text(encoding='utf-8')

    async def wait_ready(self, entries: Any) -> None:
        """Wait until entries report ready and know all executors."""
        ends_at = time.monotonic() + _READY_TIMEOUT_S
        for name in entries:
            while not await self.is_ready(name):
                if time.monotonic() > ends_at:
                    raise CannotRunError(f'{name} does not get ready')
                await asyncio.sleep(0.1)
        # Entries warm up, and reports of all executors arrive.
        await asyncio.sleep(3)

    async def is_ready(self, name: str) -> bool:
        """Ask an entry as the platform's balancer does."""
        address = self._readiness[name]
        request = encode_request('GET', '/api/ready', address)
        response = await call(address, request, 1)
        return response is not None and response.status == 200

    async def request(
        self,
        method: str,
        entry: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = 10,
        address: str = '',
    ) -> Response | None:
        """Send a caller's request to an entry and record both ends of it."""
        headers = {'Deadline-Ms': str(int(timeout_s * 1000))}
        self.record(f'client sends {method} {path} to {entry}')
        response = await call(
            address or self.fronts[entry],
            encode_request(method, path, HOST, body, headers),
            timeout_s,
        )
        text = f'{response.status} {response.body}' if response else 'nothing'
        self.record(f'client gets for {method} {path} from {entry}: {text}')
        return response

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        if os.environ.get('KEEP_LOGS'):
            print(self._folder)
            return
        shutil.rmtree(self._folder)

    def new_ip(self) -> str:
        """Return the address of a new machine."""
        self._machines += 1
        return f'{self._network}.{self._machines}'

    def _settings_path(self, name: str) -> Path:
        return self._folder / f'{name}.conf'

    def _write_settings(
        self,
        name: str,
        zone: str,
        ip: str,
        listen: dict[str, str],
    ) -> None:
        fields = {
            'node_name': name,
            'ip': ip,
            'zone': zone,
            'port_range': '7720,7735',
            'platform.address': self._store_address,
            'platform.form': 'kv',
            'orders': 'call',
            'heartbeat_ms': '1500',
            **listen,
            **{f'bounds.{bound}': str(limit) for bound, limit in _BOUNDS},
        }
        lines = [f'{field}={text}' for field, text in fields.items()]
        self._settings_path(name).write_text('\n'.join(lines) + '\n')


def job_body(*steps: dict[str, Any], work_ms: int) -> dict[str, Any]:
    """Return a job that need not be stored."""
    return {'spec': str(work_ms), 'steps': list(steps), 'best_effort': True}


def step(count: int, estimate_ms: int, **fields: Any) -> dict[str, Any]:
    """Return a step of a job."""
    return {
        'count': count,
        'cpu': fields.pop('cpu', 6200),
        'mem_mb': 64,
        'estimate_ms': estimate_ms,
        **fields,
    }


def find_overlaps(
    executors: dict[str, Executor],
) -> list[tuple[str, float, float, str]]:
    """Return tasks with two runs at a time: name, from, to, executors."""
    runs_by_task: dict[str, list[tuple[float, float, str]]] = {}
    now = time.monotonic()
    for executor in executors.values():
        for task, _, started_at, ended_at, _ in executor.history:
            run = (started_at, ended_at, executor.name)
            runs_by_task.setdefault(task, []).append(run)
        for present in executor.running.values():
            run = (present.started_at, now, executor.name)
            runs_by_task.setdefault(present.task, []).append(run)
    overlaps = []
    for task, runs in runs_by_task.items():
        runs.sort()
        for former, later in zip(runs, runs[1:], strict=False):
            until = min(former[1], later[1])
            if later[0] < until:
                names = f'{former[2]} and {later[2]}'
                overlaps.append((task, later[0], until, names))
    return overlaps


def record_overlaps(
    record: Record,
    overlaps: list[tuple[str, float, float, str]],
) -> None:
    """Write down which tasks had two runs at a time."""
    for task, since, until, names in overlaps:
        record(
            f'{task} had two runs at a time, on {names}, '
            f'from {record.at(since):.3f} for {until - since:.3f} s'
        )


def trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    folder: Path,
    play: Callable[[Deployment], Awaitable[bool]],
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(folder / 'record.txt')
    sys.exit(asyncio.run(_run(record, play)))


async def _run(
    record: Record,
    play: Callable[[Deployment], Awaitable[bool]],
) -> int:
    deployment = None
    try:
        async with asyncio.timeout(_PLAY_TIMEOUT_S):
            deployment = Deployment(record)
            is_broken = await play(deployment)
    except Exception as error:
        # Whatever fails here says nothing about the rule.
        record(f'the case could not run: {error!r}')
        return _CANNOT_RUN
    finally:
        if deployment is not None:
            deployment.close()
    record('the rule was broken' if is_broken else 'the rule held')
    return int(is_broken)


def _find_free_network() -> str:
    # The metrics of each process need the same port, so that each machine has
    # an address of its own.
    for _ in range(100):
        network = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.1', _METRICS_PORT))
            except OSError:
                continue
        return network
    raise CannotRunError('no free addresses')
