"""Run the project's programs on loopback with stand-ins of the platform.

The programs are started with the commands of deploy/system.toml and settings
like those of a small deployment. Each machine has a loopback address of its
own.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import stand_ins
from stand_ins import Executor
from stand_ins import Store
from stand_ins import call

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / 'deploy' / 'system.toml'
DEPENDENCIES = ROOT / 'target' / 'deps'
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

READY_PORT = 8167
LINK_PORTS = (7720, 7735)
METRICS_PORT = 9464
CANCEL_MS = 3000
STOP_MS = 50
CONFIG_DEADLINE_MS = 2000
GRACE_S = 6


class CannotRunError(Exception):
    """Report that the case could not run."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, who, what):
        """Write one line."""
        self._file.write(f'{self.now():9.3f} {who}: {what}\n')
        self._file.flush()


# The machines


class Program:
    """Run one program of the deploy file; the platform restarts it."""

    def __init__(self, rig, role, name, zone, host):
        self.rig = rig
        self.role = role
        self.name = name
        self.zone = zone
        self.host = host
        self.process = None
        # Exits that nobody asked for, as (time, exit status).
        self.own_exits = []
        self.is_wanted = True
        self.settings = rig.folder / f'{name}.conf'
        self.output = rig.folder / f'{name}.log'
        self.write_settings()

    @property
    def front(self):
        """Return the address for callers."""
        return f'{self.host}:{stand_ins.FRONT_PORT}'

    def write_settings(self):
        """Write the settings file, as the platform does."""
        self.settings.write_text(self._settings_text())

    def _settings_text(self):
        is_entry = self.role == 'entry'
        lines = {
            'node_name': self.name,
            'role': self.role,
            'machine_class': 'edge' if is_entry else 'side',
            'serves': 'edge' if is_entry else 'side',
            'ip': self.host,
            'zone': self.zone,
            'region': 'my-central',
            'port_range': '{0},{1}'.format(*LINK_PORTS),
            'bootstrap': 'true',
            'heartbeat_ms': int(stand_ins.HEARTBEAT_S * 1000),
            'bounds.contact_ms': 3000,
            'bounds.grace_s': GRACE_S,
            'bounds.hold_max_ms': stand_ins.HOLD_MAX_MS,
            'bounds.stop_ms': STOP_MS,
            'bounds.cancel_ms': CANCEL_MS,
            'orders': 'call',
            'platform.address': f'{self.rig.store_host}:{stand_ins.STORE_PORT}',
            'platform.form': 'kv',
        }
        if is_entry:
            lines['listen.front'] = f'{self.host}:{stand_ins.FRONT_PORT}'
            lines['listen.ready'] = f'{self.host}:{READY_PORT}'
        else:
            lines['listen.control'] = f'{self.host}:{stand_ins.CONTROL_PORT}'
            lines['app'] = f'{self.host}:{stand_ins.APP_PORT}'
            lines['service'] = stand_ins.SERVICE
        return ''.join(f'{name}={text}\n' for name, text in lines.items())

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SAVORYRUDDER_BOOT'] = str(self.settings)
        with self.output.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.rig.commands[self.role]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.rig.record('platform', f'started {self.name}')
        self.rig.tasks.append(asyncio.create_task(self._watch(self.process)))

    async def _watch(self, process):
        status = await process.wait()
        if not self.is_wanted:
            return
        self.own_exits.append((self.rig.record.now(), status))
        self.rig.record(
            'platform', f'{self.name} ended by itself with status {status}'
        )
        await asyncio.sleep(0.5)
        if self.is_wanted:
            await self.start()

    def send(self, number):
        """Send a signal to the process."""
        self.rig.record('platform', f'{number.name} to {self.name}')
        self.process.send_signal(number)


class Rig:
    """Hold a small deployment."""

    def __init__(self, folder, zones, agents):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.tasks = []
        self.commands = _read_commands()
        network = _free_network(len(zones) + agents)
        self.store_host = f'{network}.9'
        self.store = Store()
        self.entries = [
            Program(
                self,
                'entry',
                f'edge-{zone}-{number}',
                zone,
                f'{network}.{10 + number}',
            )
            for number, zone in enumerate(zones)
        ]
        self.agents = []
        self.executors = []
        for number in range(agents):
            zone = zones[number % len(zones)]
            host = f'{network}.{100 + number}'
            agent = Program(self, 'agent', f'side-{zone}-{number}', zone, host)
            self.agents.append(agent)
            self.executors.append(
                Executor(
                    self.record,
                    f'executor-{number}',
                    zone,
                    host,
                    f'{host}:{stand_ins.CONTROL_PORT}',
                )
            )

    @property
    def programs(self):
        """Return all programs."""
        return [*self.entries, *self.agents]

    async def start(self):
        """Start everything and wait until all entries serve."""
        await self.store.listen(self.store_host, stand_ins.STORE_PORT)
        for executor in self.executors:
            await executor.listen(executor.host, stand_ins.APP_PORT)
            self.tasks.append(asyncio.create_task(executor.beat()))
            self.tasks.append(asyncio.create_task(executor.watch()))
        for program in self.programs:
            await program.start()

    async def wait_ready(self, limit_s=30):
        """Wait until the entries are ready and run a job on each agent."""
        until = time.monotonic() + limit_s
        for entry in self.entries:
            while True:
                status, _ = await call(
                    f'{entry.host}:{READY_PORT}',
                    'GET',
                    '/api/ready',
                    headers=[('host', entry.host)],
                    limit_s=1,
                )
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRunError(f'{entry.name} is not ready')
                await asyncio.sleep(0.2)
        # Agents and entries find each other within a few seconds.
        await asyncio.sleep(4)
        for entry in self.entries:
            status, answer = await self.post(entry, new_id(), work_ms=100)
            if status != 200:
                raise CannotRunError(f'{entry.name}: {status} {answer}')

    async def post(
        self,
        entry,
        job,
        *,
        work_ms,
        count=1,
        cpu=6000,
        estimate_ms=None,
        wait_ms=30000,
        limit_s=60,
        prefix=stand_ins.PREFIX,
    ):
        """Submit a best-effort job and return the answer."""
        body = {
            'spec': json.dumps({'work_ms': work_ms}),
            'steps': [
                {
                    'count': count,
                    'cpu': cpu,
                    'mem_mb': 4,
                    'estimate_ms': estimate_ms or work_ms,
                },
            ],
            'best_effort': True,
        }
        headers = [('host', stand_ins.HOST), ('deadline-ms', str(wait_ms))]
        self.record('client', f'POST {prefix}{job} to {entry.name}')
        status, answer = await call(
            entry.front,
            'POST',
            prefix + job,
            json.dumps(body).encode(),
            headers,
            limit_s,
        )
        self.record('client', f'POST {job}: {status} {answer}')
        return status, answer

    async def ask(self, entry, method, job):
        """Query or cancel a job and return the answer."""
        self.record('client', f'{method} {job} to {entry.name}')
        status, answer = await call(
            entry.front,
            method,
            stand_ins.PREFIX + job,
            headers=[('host', stand_ins.HOST), ('deadline-ms', '2000')],
            limit_s=5,
        )
        self.record('client', f'{method} {job}: {status} {answer}')
        return status, answer

    def runs_of(self, job):
        """Return the runs of a job's tasks on all executors."""
        return [
            row
            for executor in self.executors
            for row in executor.history
            if row[0].startswith(f'{job}.')
        ]

    async def wait_running(self, job, limit_s=5):
        """Wait until a task of a job runs."""
        until = time.monotonic() + limit_s
        while not any(row[3] is None for row in self.runs_of(job)):
            if time.monotonic() > until:
                raise CannotRunError(f'{job} does not run')
            await asyncio.sleep(0.01)

    async def close(self):
        """End all processes that were started."""
        for program in self.programs:
            program.is_wanted = False
            process = program.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for program in self.programs:
            if program.process is not None:
                await program.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get('KEEP_LOGS'):
            self.record('rig', f'logs in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_overlaps(rig, job):
    """Return the pairs of runs of one task that went on at the same time."""
    runs = sorted(rig.runs_of(job), key=lambda row: row[2])
    now = rig.record.now()
    overlaps = []
    for number, first in enumerate(runs):
        first_end = first[3] or now
        for second in runs[number + 1 :]:
            if second[0] == first[0] and second[2] < first_end:
                overlap_s = min(first_end, second[3] or now) - second[2]
                overlaps.append(
                    f'run {first[1]} on {first[5]} and run {second[1]} on '
                    f'{second[5]} of {first[0]} went on together for '
                    f'{overlap_s:.2f} s',
                )
    return overlaps


def new_id():
    """Return the identifier of a new job."""
    return f'{random.randrange(2**64):016x}'


def _read_commands():
    if not (DEPENDENCIES / 'savoryrudder').is_dir():
        raise CannotRunError('run the build of deploy/system.toml first')
    roles = tomllib.loads(DEPLOY.read_text())['roles']
    return {name: role['run'] for name, role in roles.items()}


def _free_network(machines):
    ports = (
        stand_ins.FRONT_PORT,
        stand_ins.APP_PORT,
        stand_ins.CONTROL_PORT,
        READY_PORT,
        stand_ins.STORE_PORT,
        METRICS_PORT,
        LINK_PORTS[0],
    )
    for _ in range(20):
        network = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        hosts = [8, 9, *range(10, 10 + machines), *range(100, 100 + machines)]
        if all(
            _is_free(f'{network}.{host}', port)
            for host in hosts
            for port in ports
        ):
            return network
    raise CannotRunError('no free loopback addresses')


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run_case(folder, zones, agents, play):
    """Play a case and exit with its status.

    `play(rig, has_trouble)` returns the sentences that tell how the rule was
    broken; none if it held.
    """

    async def _play():
        rig = Rig(folder, zones, agents)
        try:
            async with asyncio.timeout(110):
                await rig.start()
                await rig.wait_ready()
                has_trouble = os.environ.get('TROUBLE', '1') != '0'
                rig.record('rig', f'trouble: {has_trouble}')
                breaks = await play(rig, has_trouble)
            for text in breaks:
                rig.record('check', f'BROKEN: {text}')
            if not breaks:
                rig.record('check', 'held')
            return BROKEN if breaks else HELD
        finally:
            await rig.close()

    try:
        sys.exit(asyncio.run(_play()))
    except (CannotRunError, TimeoutError, OSError) as error:
        sys.stderr.write(f'cannot run: {error!r}\n')
        sys.exit(COULD_NOT_RUN)
