"""Stand in for an executor of the users' platform, beside an agent.

It runs tasks under a lease, and writes a JSON line for each start and end on
its standard output. A task works for the milliseconds that its spec names. Run
it with `python stand_ins/executor.py NAME HOST PORT CONTROL_PORT`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import sys
import time
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from typing import Final
from typing import NamedTuple

import fire

_MS_PER_S: Final = 1000
# Of the users' sheets.
_MAX_CONNECTIONS: Final = 64
_LONGEST_LEASE_S: Final = 1
_STOP_S: Final = 0.03
_MAX_LISTED_ENDS: Final = 500
_HEARTBEAT_S: Final = 1.5
_HEARTBEAT_RETRY_S: Final = 0.3
_CHECK_INTERVAL_S: Final = 0.005
# The clock does not start at 0.
_FIRST_CLOCK_MS: Final = 5000
_CAPACITY: Final = MappingProxyType(
    {'cpu': 64_000, 'mem_mb': 131_072, 'gpu': 0},
)


class _Run(NamedTuple):
    """Hold one run of a task."""

    number: int
    ends_at: float


class _Answer(NamedTuple):
    """Hold the status and the fields of a response."""

    status: HTTPStatus
    fields: dict[str, Any]


class Executor:
    """Run tasks under a lease, and list them with their ends."""

    def __init__(self, name: str) -> None:
        """Begin without runs."""
        self.name = name
        self.started_ms = int(time.time() * _MS_PER_S)
        self._booted_at = time.monotonic()
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_numbers = itertools.count(1)
        self._fence = 0
        self._lease_ms = 0
        self._ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the clock of the executor."""
        elapsed_s = time.monotonic() - self._booted_at
        return int(elapsed_s * _MS_PER_S) + _FIRST_CLOCK_MS

    async def answer(
        self,
        path: str,
        intended: str,
        call: dict[str, Any],
    ) -> _Answer:
        """Carry out a call of the agent."""
        if intended != self.name:
            return _Answer(HTTPStatus.MISDIRECTED_REQUEST, {})
        if call['fence'] < self._fence:
            return self._refuse('fence')
        self._fence = call['fence']
        if path == '/api/run-start':
            return self._start(call)
        if path == '/api/run-stop':
            return self._stop(call)
        return await self._list_runs(call)

    async def end_runs(self) -> None:
        """End runs that are done, and all once the lease has expired."""
        while True:
            has_lapsed = self.clock_ms >= self._lease_ms
            now = time.monotonic()
            for task, run in tuple(self._runs.items()):
                if has_lapsed:
                    self._end(task, run.number, 'lapsed')
                elif now >= run.ends_at:
                    self._end(task, run.number, 'done')
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _refuse(self, reason: str) -> _Answer:
        fields = {'clock_ms': self.clock_ms, 'reason': reason}
        return _Answer(HTTPStatus.CONFLICT, fields)

    def _confirm(self) -> _Answer:
        return _Answer(HTTPStatus.OK, {'clock_ms': self.clock_ms})

    def _start(self, call: dict[str, Any]) -> _Answer:
        task, number = call['task'], call['run']
        if call['deadline_ms'] <= self.clock_ms:
            return self._refuse('late')
        self._extend_lease(call['deadline_ms'])
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return self._confirm()
        if present is not None or number <= self._highest.get(task, 0):
            return self._refuse('old')
        work_s = int(call['spec']) / _MS_PER_S
        self._runs[task] = _Run(number, time.monotonic() + work_s)
        self._write('start', task, number, '')
        return self._confirm()

    def _stop(self, call: dict[str, Any]) -> _Answer:
        task, number = call['task'], call['run']
        self._highest[task] = max(self._highest.get(task, 0), number)
        loop = asyncio.get_running_loop()
        loop.call_later(_STOP_S, self._end, task, number, 'stopped')
        return self._confirm()

    async def _list_runs(self, call: dict[str, Any]) -> _Answer:
        acknowledged = call.get('acked_upto', 0)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        self._extend_lease(call.get('deadline_ms', 0))
        wait_s = call.get('wait_ms', 0) / _MS_PER_S
        if wait_s and not self._ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        fields = {
            'clock_ms': self.clock_ms,
            'born': self.started_ms,
            'running': [
                [task, run.number, '', 1, 1000]
                for task, run in self._runs.items()
            ],
            'ended': self._ends[:_MAX_LISTED_ENDS],
        }
        return _Answer(HTTPStatus.OK, fields)

    def _extend_lease(self, lease_ms: int) -> None:
        longest_ms = self.clock_ms + _LONGEST_LEASE_S * _MS_PER_S
        self._lease_ms = max(self._lease_ms, min(lease_ms, longest_ms))

    def _end(self, task: str, number: int, reason: str) -> None:
        run = self._runs.get(task)
        if run is None or run.number != number:
            return
        self._runs.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), number)
        end = [next(self._end_numbers), task, number, reason, '']
        self._ends.append(end)
        self._ended.set()
        self._ended = asyncio.Event()
        self._write('end', task, number, reason)

    def _write(self, event: str, task: str, number: int, reason: str) -> None:
        line = {
            'at': time.monotonic(),
            'event': event,
            'executor': self.name,
            'task': task,
            'run': number,
            'reason': reason,
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()


class _Server:
    """Answer calls over a bounded number of connections."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._free = asyncio.Semaphore(_MAX_CONNECTIONS)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the calls of one connection."""
        async with self._free:
            with contextlib.suppress(
                ConnectionError,
                asyncio.IncompleteReadError,
            ):
                while True:
                    writer.write(await self._answer_next(reader))
                    await writer.drain()
        writer.close()

    async def _answer_next(self, reader: asyncio.StreamReader) -> bytes:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        request_line, *header_lines = head.strip().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in header_lines)
        body = await reader.readexactly(int(headers['content-length']))
        answer = await self._executor.answer(
            request_line.split(' ')[1],
            headers.get('expect-instance', ''),
            json.loads(body),
        )
        return _encode(answer)


def _encode(answer: _Answer) -> bytes:
    content = json.dumps(answer.fields).encode()
    status = f'HTTP/1.1 {answer.status.value} {answer.status.phrase}'
    length = f'content-length: {len(content)}'
    return f'{status}\r\n{length}\r\n\r\n'.encode() + content


async def _send_heartbeats(
    executor: Executor,
    host: str,
    port: int,
    control_port: int,
) -> None:
    sequence = 0
    while True:
        sequence += 1
        fields = {
            'service': 's',
            'address': f'{host}:{port}',
            'zone': 'z',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': dict(_CAPACITY),
            'labels': [],
            'clock_ms': executor.clock_ms,
            'born': executor.started_ms,
            'seq': sequence,
        }
        body = json.dumps(fields).encode()
        is_sent = await _put(executor.name, host, control_port, body)
        await asyncio.sleep(_HEARTBEAT_S if is_sent else _HEARTBEAT_RETRY_S)


async def _put(name: str, host: str, port: int, body: bytes) -> bool:
    """Send a heartbeat; return whether it was acknowledged."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    head = (
        f'PUT /api/instances/{name} HTTP/1.1\r\n'
        f'host: {host}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    status_line = b''
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1):
            writer.write(head.encode() + body)
            status_line = await reader.readline()
    writer.close()
    return b' 200 ' in status_line


async def _run(name: str, host: str, port: int, control_port: int) -> None:
    executor = Executor(name)
    server = _Server(executor)
    await asyncio.start_server(server.serve, host, port)
    await asyncio.gather(
        executor.end_runs(),
        _send_heartbeats(executor, host, port, control_port),
    )


def main(name: str, host: str, port: int, control_port: int) -> None:
    """Run until killed."""
    asyncio.run(_run(name, host, port, control_port))


if __name__ == '__main__':
    fire.Fire(main)
