"""Start and stop the processes of a deployment on loopback."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import httpx

if TYPE_CHECKING:
    from collections.abc import Callable

_ROOT: Final = Path(__file__).parents[2]
# Bounds the waits of a test that hangs; no assertion depends on it.
TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.05
_KILL_TIMEOUT_S: Final = 20

CONFIG: Final = """
[services.pane]
default_deadline_ms = 8000
slots = 4
memory_mb = 1000
[services.pane.operations.cutting-plan]
idempotent = false
expected_ms = 100

[clients.shop]
rate = 10000
burst = 20000
concurrent = 20000
highest_urgency = "critical"
lifetime_s = 3600
"""


class Deployment:
    """Run a store, upstreams, agents and entries as separate processes."""

    def __init__(self, folder: Path) -> None:
        """Use a folder for settings, logs and output."""
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.urls: dict[str, str] = {}
        self.links: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self.http = httpx.Client(timeout=TIMEOUT_S, trust_env=False)
        self.store_url = ''

    def start_store(self, port: int = 0) -> None:
        """Start the store; a restart keeps its keys and, if given, its port."""
        self._spawn(
            'store',
            [
                sys.executable,
                str(_ROOT / 'stand_ins/store.py'),
                '--port',
                str(port),
                '--snapshot',
                str(self.folder / 'store.json'),
            ],
        )
        self.store_url = f'http://{self._first_line("store")}'

    def start_entry(self, name: str, **settings: Any) -> None:
        """Start an entry and wait until it listens."""
        self._start_daemon(
            'entry',
            name,
            {
                'entry': name,
                'zone': 'Zale',
                'http_address': '127.0.0.1:0',
                'link_address': '127.0.0.1:0',
                'store_url': self.store_url,
                'balancer_delay_s': 0.2,
                **settings,
            },
        )
        listening = self.wait_log(name, 'listening')
        self.urls[name] = listening['http']
        self.links[name] = listening['link']

    def start_agent(self, name: str, **settings: Any) -> None:
        """Start an agent, and its upstream unless that is running."""
        upstream = f'{name}-upstream'
        if upstream not in self.processes:
            self._spawn(
                upstream,
                [
                    sys.executable,
                    str(_ROOT / 'stand_ins/upstream.py'),
                    '--port',
                    '0',
                ],
            )
            self.upstreams[name] = f'http://{self._first_line(upstream)}'
        self._start_daemon(
            'agent',
            name,
            {
                'agent': name,
                'service': 'pane',
                'zone': 'Zale',
                'entries': list(self.links.values()),
                'upstream_url': self.upstreams[name],
                'http_address': '127.0.0.1:0',
                'slots': 4,
                'memory_mb': 1000,
                'operations': ['cutting-plan'],
                **settings,
            },
        )

    def wait_revision(self, entry: str, revision: int) -> None:
        """Wait until a revision is in force at an entry."""
        self.wait(
            lambda: self.status(entry)['revision'] == revision,
            f'revision {revision} at {entry}',
        )

    def start(self, entries: int, agents: int) -> None:
        """Start all processes, apply the configuration and wait for links."""
        self.start_store()
        for number in range(entries):
            self.start_entry(f'entry-{number}')
        for number in range(agents):
            self.start_agent(f'agent-{number}')
        self.apply(CONFIG)
        for name in self.urls:
            self.wait_usable(name, agents)

    def apply(self, text: str, expected: int | None = None) -> httpx.Response:
        """Apply a configuration through the first entry.

        Without `expected`, the current revision is expected.
        """
        url = next(iter(self.urls.values()))
        if expected is None:
            expected = self.http.get(f'{url}/v1/config').json()['revision']
        return self.http.post(
            f'{url}/v1/config',
            json={
                'text': text,
                'expected_revision': expected,
                'author': 'test',
                'token': os.urandom(8).hex(),
            },
        )

    def submit(
        self,
        entry: str,
        key: str,
        tasks: int = 1,
        run_ms: int = 50,
        wait: float = 20,
    ) -> httpx.Response:
        """Submit a job whose tasks run for `run_ms`; wait for its answer."""
        body = {
            'service': 'pane',
            'tasks': [
                {'operation': 'cutting-plan', 'payload': {'run_ms': run_ms}}
                for _ in range(tasks)
            ],
        }
        return self.http.post(
            f'{self.urls[entry]}/v1/jobs',
            params={'wait': wait},
            headers={'Client': 'shop', 'Idempotency-Key': key},
            json=body,
        )

    def starts(self) -> Counter[str]:
        """Count the starts of each task over all upstreams."""
        counts: Counter[str] = Counter()
        for url in self.upstreams.values():
            counts.update(self.http.get(f'{url}/starts').json())
        return counts

    def status(self, entry: str) -> dict[str, Any]:
        """Return the status that an entry reports."""
        answer = self.http.get(f'{self.urls[entry]}/v1/status')
        status: dict[str, Any] = answer.json()
        return status

    def wait_usable(self, entry: str, agents: int) -> None:
        """Wait until an entry owns partitions and is linked to all agents."""
        self.wait(
            lambda: self._is_usable(self.status(entry), agents),
            f'{entry} with {agents} agents',
        )

    def wait(self, condition: Callable[[], Any], description: str) -> None:
        """Poll until a condition holds."""
        limit = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > limit:
                raise TimeoutError(f'still waiting for {description}')
            time.sleep(_POLL_INTERVAL_S)

    def wait_log(self, name: str, line_name: str) -> dict[str, Any]:
        """Wait for a log line with this name and return its fields."""
        path = self.folder / f'{name}.log'
        self.wait(
            lambda: path.exists() and f'"{line_name}"' in path.read_text(),
            f'{line_name} in the log of {name}',
        )
        fields: dict[str, Any] = next(
            json.loads(line)
            for line in path.read_text().splitlines()
            if f'"{line_name}"' in line
        )
        return fields

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.urls.pop(name, None)
        self.links.pop(name, None)

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes, also those that are stopped by a signal."""
        self.http.close()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(_KILL_TIMEOUT_S)

    def _is_usable(self, status: dict[str, Any], agents: int) -> bool:
        return (
            len(status['agents']) == agents
            and any(agent['credits'] for agent in status['agents'])
            and status['revision'] > 0
            and status['partitions']['owned'] > 0
        )

    def _start_daemon(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
    ) -> None:
        log = self.folder / f'{name}.log'
        log.unlink(missing_ok=True)
        lines = [
            f'{key} = {json.dumps(setting)}'
            for key, setting in {**settings, 'log_file': str(log)}.items()
        ]
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines))
        code = 'from savoryrudder.daemon.main import main; main()'
        self._spawn(name, [sys.executable, '-c', code, role, str(path)])

    def _spawn(self, name: str, command: list[str]) -> None:
        output = (self.folder / f'{name}.out').open('wb')
        self.processes[name] = subprocess.Popen(
            command,
            stdout=output,
            stderr=subprocess.STDOUT,
            cwd=_ROOT,
        )
        output.close()

    def _first_line(self, name: str) -> str:
        path = self.folder / f'{name}.out'
        self.wait(
            lambda: path.read_text().count('\n'),
            f'the address of {name}',
        )
        return path.read_text().splitlines()[0]
