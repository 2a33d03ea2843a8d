"""Run the programs of the platform's roles as separate processes."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from typing import TYPE_CHECKING
from typing import Final

import httpx

from tests.processes.deployment import TIMEOUT_S

if TYPE_CHECKING:
    from pathlib import Path

CONTROL_PORT: Final = 8166
FRONT_PORT: Final = 8161
READY_PORT: Final = 8167
METRICS_PORT: Final = 9464
LINK_PORT: Final = 7720
_LINK_PORTS: Final = 16
POLL_INTERVAL_S: Final = 0.05


class Program:
    """Run one role of the platform on a loopback address of its own."""

    def __init__(
        self,
        folder: Path,
        role: str,
        store: str,
        host: str,
        name: str = 'node-1',
    ) -> None:
        """Start the process; its files are named after it."""
        self.host = host
        self.name = name
        self.output = folder / f'{name}.log'
        self._role = role
        self._settings = folder / f'{name}.conf'
        self._store = store
        self.write_settings('')
        self.output.write_bytes(b'')
        self.process = self._spawn()

    def write_settings(self, odd: str) -> None:
        """Write the settings file with an odd line at its end."""
        lines = (
            f'node_name={self.name}',
            'zone=z',
            f'ip={self.host}',
            f'port_range={LINK_PORT},{LINK_PORT + _LINK_PORTS - 1}',
            f'platform.address={self._store}',
            f'listen.control={self.host}:{CONTROL_PORT}',
            f'listen.front={self.host}:{FRONT_PORT}',
            f'listen.ready={self.host}:{READY_PORT}',
            odd,
        )
        self._settings.write_text('\n'.join(lines), encoding='utf-8')

    def wait_until_serving(self) -> None:
        """Wait until the last of its servers, that of metrics, answers."""
        deadline = time.monotonic() + TIMEOUT_S
        while not self._is_serving():
            assert self.process.poll() is None, self.output.read_text()
            assert time.monotonic() < deadline
            time.sleep(POLL_INTERVAL_S)

    def read_metrics(self) -> str:
        """Return the metrics of the process."""
        return self.send(METRICS_PORT, 'GET', '/metrics', b'').text

    def send(
        self,
        port: int,
        method: str,
        path: str,
        content: bytes,
    ) -> httpx.Response:
        """Send a request on a new connection and return the response."""
        with httpx.Client(timeout=TIMEOUT_S, trust_env=False) as client:
            return client.request(
                method,
                f'http://{self.host}:{port}{path}',
                content=content,
                headers={'deadline-ms': '50'},
            )

    def kill(self) -> None:
        """End the process, if it runs."""
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Start the process again, which has ended."""
        self.process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            'SAVORYRUDDER_BOOT': str(self._settings),
        }
        with self.output.open('ab') as output:
            return subprocess.Popen(
                [sys.executable, '-m', 'savoryrudder.platform', self._role],
                env=environment,
                stdout=output,
                stderr=output,
            )

    def _is_serving(self) -> bool:
        try:
            return self.read_metrics() != ''
        except httpx.TransportError:
            return False
