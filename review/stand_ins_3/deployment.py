"""Start a small deployment of the project's programs on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
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

import executor
import http11
import store

ROOT = Path(__file__).parents[2]
ZONES = ('zale', 'vic', 'bezigrad')
FRONT, READY, CONTROL, APP, STORE = 8161, 8167, 8166, 8165, 8169
_METRICS = 9464
_LINKS = 7720
_PORTS = (FRONT, READY, CONTROL, APP, STORE, _METRICS, _LINKS)
_START_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Of the machines on the sheets.
MEMORY_MB = {'entry': 300, 'agent': 168}

# The bounds of both sheets in SYSTEM.md.
CONFIG_DEADLINE_S = 2.0
ACK_TIMEOUT_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.05
RESEND_S = 1.3

_ORDINARY = {
    'spec': 'work_ms=400',
    'best_effort': True,
    'steps': [{'count': 2, 'cpu': 2000, 'mem_mb': 64, 'estimate_ms': 400}],
}


class NotRunError(Exception):
    """Raised when a case could not be run."""


class Deployment:
    """Run entries and agents as processes beside stand-ins."""

    def __init__(
        self,
        folder: Path,
        sides: dict[str, int],
        cpu: int,
    ) -> None:
        """Describe three entries, and the agents of each service."""
        self.store = store.Store()
        self.entries: list[str] = []
        self.agents: list[str] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._events: list[dict[str, Any]] = []
        self.queue = {'host': 'nony24.example', 'prefix': '/lohu930/'}
        self.killed: set[str] = set()
        self.stand_ins: list[subprocess.Popen[bytes]] = []
        self._folder = folder
        self._sides = sides
        self._cpu = cpu
        self._roles: dict[str, str] = {}
        self._began_at = time.monotonic()
        self._network = _find_network(3 + sum(sides.values()) + 1)
        self._tasks: list[asyncio.Task[Any]] = []
        self._names = list(sides)

    @property
    def events(self) -> list[dict[str, Any]]:
        """Return what was recorded here and by the executors, in order."""
        events = list(self._events)
        for path in self._folder.glob('*.jsonl'):
            lines = path.read_text().split('\n')
            events.extend(json.loads(line) for line in lines[:-1])
        return sorted(events, key=lambda event: float(event['t']))

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def record(self, event: str, **fields: Any) -> None:
        """Record what was sent, answered or run."""
        entry = {'t': round(self.now(), 3), 'event': event, **fields}
        self._events.append(entry)

    def address_of(self, number: int) -> str:
        """Return the loopback address of a machine."""
        return f'{self._network}.{number}'

    async def start(self) -> None:
        """Start all programs; wait until the entries take jobs."""
        store_host = self.address_of(250)
        await http11.serve(store_host, STORE, self.store.handle)
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        self.configure(1, self._names[0])
        number = 0
        for zone in ZONES:
            number += 1
            name = f'edge-{zone}-1'
            self.entries.append(name)
            self._start_process('entry', name, zone, self.address_of(number))
        for service, count in self._sides.items():
            for index in range(count):
                number += 1
                self._start_side(service, index, self.address_of(number))
        await self._wait_ready()

    def configure(self, version: int, service: str) -> None:
        """Write a configuration whose route leads to a service, if any."""
        route = {
            'name': 'r-3hwrr6x',
            **self.queue,
            'kind': 'unsafe',
            'timeout_ms': 20_000,
            'target_duration_ms': 60,
            'priority': 0,
            'service': service,
            'attempts': 4,
            'stretch': 1.6,
        }
        services = [
            {'name': name, 'health_path': '/healthz', 'admission_check': False}
            for name in self._names
        ]
        limits = {'max_header_bytes': 16_384, 'max_body_bytes': 262_144}
        body = {
            'version': version,
            'routes': [route] if service else [],
            'services': services,
            'limits': limits,
        }
        self.store.put('op/config', json.dumps(body).encode())
        self.record('configuration-acknowledged', version=version, to=service)

    async def ask(
        self,
        entry: int,
        method: str,
        job: str,
        body: Any = None,
        leave_after_s: float = 60,
        deadline_ms: int = 20_000,
    ) -> http11.Response:
        """Send a client's request to an entry; record it and its answer."""
        self.record('request', to=self.entries[entry], method=method, job=job)
        answer = await http11.send(
            (self.address_of(entry + 1), FRONT),
            method,
            self.queue['prefix'] + job,
            {'Host': self.queue['host'], 'Deadline-Ms': str(deadline_ms)},
            body,
            leave_after_s,
        )
        self.record(
            'answer',
            by=self.entries[entry],
            method=method,
            job=job,
            status=answer.status,
            text=answer.text,
        )
        return answer

    def add_steady_clients(self) -> None:
        """Send an ordinary job to each entry, whose client stays."""
        for entry in range(len(self.entries)):
            request = self.ask(entry, 'POST', secrets.token_hex(8), _ORDINARY)
            self._tasks.append(asyncio.create_task(request))

    def freeze(self, name: str) -> None:
        """Stop a process, as a machine that freezes does."""
        self.record('frozen', process=name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Continue a process."""
        self.record('thawed', process=name)
        self.processes[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.killed.add(name)
        self.processes[name].kill()
        self.processes[name].wait()

    def restart(self, name: str) -> None:
        """Start a process that has ended again, with the same settings."""
        self.record('restarted', process=name)
        self.killed.discard(name)
        self.processes[name] = self._spawn(name)

    def starts(self, job: str) -> list[dict[str, Any]]:
        """Return the recorded starts of a job's tasks."""
        return [
            event
            for event in self.events
            if event['event'] == 'start' and event['task'].startswith(job)
        ]

    def runs_at(self, job: str, moment: float) -> list[str]:
        """Return the tasks of a job that ran at a moment."""
        running: dict[str, str] = {}
        for event in self.events:
            if event['t'] > moment:
                break
            if event['event'] not in {'start', 'end'}:
                continue
            if not event['task'].startswith(job):
                continue
            key = '{executor} {task} {run}'.format(**event)
            if event['event'] == 'start':
                running[key] = event['task']
            else:
                running.pop(key, None)
        return sorted(running.values())

    def close(self) -> None:
        """End all processes that were started."""
        for process in (*self.processes.values(), *self.stand_ins):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def _start_side(self, service: str, index: int, host: str) -> None:
        zone = ZONES[index % len(ZONES)]
        name = f'side-{service}-{index}'
        self.agents.append(name)
        self._start_process('agent', name, zone, host)
        settings = executor.Settings(
            f'i-{service}-{index}',
            service,
            zone,
            host,
            APP,
            CONTROL,
            f'r1-{index}',
            self._cpu,
            self._began_at,
        )
        path = self._folder / f'{settings.name}.jsonl'
        with path.open('wb') as output:
            self.stand_ins.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        str(Path(executor.__file__)),
                        json.dumps(settings._asdict()),
                    ],
                    stdout=output,
                ),
            )

    def _start_process(
        self, role: str, name: str, zone: str, host: str
    ) -> None:
        path = self._folder / f'{name}.conf'
        path.write_text(self._settings(role, name, zone, host))
        self._roles[name] = role
        self.processes[name] = self._spawn(name)

    def _spawn(self, name: str) -> subprocess.Popen[bytes]:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        passed = ('PATH', 'HOME', 'LANG')
        environment = {
            key: os.environ[key] for key in passed if key in os.environ
        }
        path = self._folder / f'{name}.conf'
        environment['SAVORYRUDDER_BOOT'] = str(path)
        environment['PYTHONPATH'] = 'target/deps'
        with (self._folder / f'{name}.log').open('ab') as log:
            return subprocess.Popen(
                deploy['roles'][self._roles[name]]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _settings(self, role: str, name: str, zone: str, host: str) -> str:
        lines = [
            f'node_name={name}',
            f'role={role}',
            f'ip={host}',
            f'zone={zone}',
            'region=ljubljana',
            *(f'zones.{known}=ljubljana' for known in ZONES),
            f'port_range={_LINKS},{_LINKS + 15}',
            'bootstrap=true',
            'discovery=local',
            'entry=vip',
            'heartbeat_ms=1500',
            'bounds.contact_ms=3000',
            'bounds.grace_s=6',
            'bounds.config_deadline_ms=2000',
            'bounds.hold_max_ms=1000',
            'bounds.stop_ms=50',
            'bounds.cancel_ms=3000',
            'bounds.resend_ms=1300',
            'orders=call',
            f'platform.address={self.address_of(250)}:{STORE}',
            'platform.form=kv',
            f'listen.control={host}:{CONTROL}',
        ]
        if role == 'entry':
            lines.extend(
                (
                    'machine_class=edge',
                    'serves=edge',
                    f'listen.front={host}:{FRONT}',
                    f'listen.ready={host}:{READY}',
                    f'limits.memory_mb={MEMORY_MB[role]}',
                    'limits.max_fds=4100',
                ),
            )
        else:
            lines.extend(
                (
                    'machine_class=side',
                    'serves=side',
                    f'app={host}:{APP}',
                    f'limits.memory_mb={MEMORY_MB[role]}',
                    'limits.max_fds=4096',
                ),
            )
        return '\n'.join(lines) + '\n'

    async def _wait_ready(self) -> None:
        latest = time.monotonic() + _START_S
        hosts = [self.address_of(index + 1) for index in range(len(ZONES))]
        while True:
            answers = [
                await http11.send((host, READY), 'GET', '/api/ready', {})
                for host in hosts
            ]
            if all(answer.status == 200 for answer in answers):
                break
            if time.monotonic() > latest:
                raise NotRunError('the entries are not ready')
            await asyncio.sleep(0.1)
        # Traffic starts 12 s after the machines; all are linked sooner here.
        await asyncio.sleep(4)
        self.record('ready')


def _find_network(machines: int) -> str:
    """Return three parts of loopback addresses whose ports are free."""
    for _ in range(50):
        network = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        numbers = (*range(1, machines + 1), 250)
        if all(_is_free(f'{network}.{number}') for number in numbers):
            return network
    raise NotRunError('no free loopback addresses')


def _is_free(host: str) -> bool:
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


Check = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(check: Check, sides: dict[str, int], cpu: int = 64_000) -> None:
    """Run a case, write its record, and exit with its result.

    `check` gets the deployment and whether the disruption happens, and returns
    what broke the rule. The folder of the case is the working directory.
    """
    # An early end, such as by `timeout`, ends the processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Path.cwd() / 'record.txt'
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), sides, cpu)
        try:
            status, notes = asyncio.run(_run(deployment, check, has_trouble))
        finally:
            deployment.close()
        lines = [json.dumps(event) for event in deployment.events]
        kept = os.environ.get('KEEP_LOGS')
        verdict = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[status]
        record.write_text('\n'.join((*lines, f'rule {verdict}', *notes, '')))
        if kept:
            for log in Path(folder).glob('*.log'):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
    print(f'rule {verdict}', *notes, sep='\n')
    sys.exit(status)


async def _run(
    deployment: Deployment,
    check: Check,
    has_trouble: bool,
) -> tuple[int, list[str]]:
    try:
        await asyncio.wait_for(deployment.start(), 40)
        broken = await asyncio.wait_for(check(deployment, has_trouble), 105)
    except (NotRunError, TimeoutError) as error:
        return NOT_RUN, [f'{error!r}']
    ended = [
        name
        for name, process in deployment.processes.items()
        if process.poll() is not None and name not in deployment.killed
    ]
    if ended:
        return NOT_RUN, [f'ended by themselves: {ended}']
    return (BROKEN if broken else HELD), broken
