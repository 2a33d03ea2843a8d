"""Stand in for an executor beside an agent, as PROTOCOL.md tells.

A task works for the milliseconds that its spec names, `work_ms=900`, with one
number for each step of the job. Run as a program with its settings in JSON, it
writes a line for each start and end.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import time
from typing import Any
from typing import NamedTuple

import http11

HOLD_MAX_S = 1.0
# `max_conns` of a service, the channels of an executor on the sheets.
MAX_CHANNELS = 64
_HEARTBEAT_S = 1.5
_STOP_S = 0.03
_PAGE = 500


class Settings(NamedTuple):
    """Describe an executor and the agent beside it."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    control_port: int
    rack: str
    cpu: int = 32_000
    # The steady time at which the case began.
    began_at: float = 0


class _Run(NamedTuple):
    number: int
    started_at: float
    work_s: float


class Executor:
    """Run tasks under a lease, and list them with their ends."""

    def __init__(self, settings: Settings) -> None:
        """Begin a boot."""
        self.settings = settings
        self._booted_at = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._sequence = itertools.count(1)
        self._fence = 0
        self._lease_ms = 0
        self._change = asyncio.Event()

    async def run(self) -> None:
        """Serve calls and send heartbeats until cancelled."""
        settings = self.settings
        await http11.serve(
            settings.host,
            settings.port,
            self.handle,
            MAX_CHANNELS,
        )
        await asyncio.gather(self._work(), self._beat())

    async def handle(self, request: http11.Request) -> http11.Reply:
        """Answer a call of the agent."""
        if request.path == '/healthz':
            return 200, {}
        intended = request.headers.get('expect-instance')
        if intended not in {None, self.settings.name}:
            return 421, {}
        body = request.json()
        fence = body.get('fence', 0)
        if fence < self._fence:
            return self._refuse('fence')
        self._fence = fence
        if request.path == '/api/run-start':
            return self._start(body)
        if request.path == '/api/run-stop':
            return self._stop(body)
        if request.path == '/api/hold':
            return await self._hold(body)
        return 400, {}

    def _record(self, event: str, **fields: Any) -> None:
        moment = round(time.monotonic() - self.settings.began_at, 3)
        line = {'t': moment, 'event': event, **fields}
        sys.stdout.write(json.dumps(line) + '\n')
        sys.stdout.flush()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._booted_at) * 1000) + 5000

    def _refuse(self, reason: str) -> http11.Reply:
        return 409, {'clock_ms': self._clock_ms(), 'reason': reason}

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + int(HOLD_MAX_S * 1000)
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict[str, Any]) -> http11.Reply:
        task, number = body['task'], body['run']
        if body['deadline_ms'] <= self._clock_ms():
            return self._refuse('late')
        self._extend(body['deadline_ms'])
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return 200, {'clock_ms': self._clock_ms()}
        if number <= self._highest.get(task, 0) or present is not None:
            return self._refuse('old')
        step = int(task.split('.')[2])
        # What follows the times is of no interest.
        times = body['spec'].removeprefix('work_ms=').partition(' ')[0]
        works = times.split(',')
        work_s = int(works[min(step, len(works) - 1)]) / 1000
        self._runs[task] = _Run(number, time.monotonic(), work_s)
        self._record(
            'start',
            executor=self.settings.name,
            service=self.settings.service,
            task=task,
            run=number,
        )
        return 200, {'clock_ms': self._clock_ms()}

    def _stop(self, body: dict[str, Any]) -> http11.Reply:
        task, number = body['task'], body['run']
        self._highest[task] = max(self._highest.get(task, 0), number)
        present = self._runs.get(task)
        if present is not None and present.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(_STOP_S, self._end, task, number, 'stopped')
        return 200, {'clock_ms': self._clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> http11.Reply:
        acknowledged = body.get('acked_upto', 0)
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        if body.get('wait_ms') and not self._ended:
            try:
                await asyncio.wait_for(
                    self._change.wait(),
                    body['wait_ms'] / 1000,
                )
            except TimeoutError:
                pass
        return 200, {
            'clock_ms': self._clock_ms(),
            'born': self._born_ms,
            'running': [
                [task, run.number, '', self._percent(run), 1000]
                for task, run in self._runs.items()
            ],
            'ended': self._ended[:_PAGE],
        }

    def _percent(self, run: _Run) -> int:
        elapsed_s = time.monotonic() - run.started_at
        return min(int(100 * elapsed_s / run.work_s), 99)

    def _end(self, task: str, number: int, how: str) -> None:
        present = self._runs.get(task)
        if present is None or present.number != number:
            return
        self._runs.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), number)
        self._ended.append([next(self._numbers), task, number, how, ''])
        self._change.set()
        self._change = asyncio.Event()
        self._record(
            'end',
            executor=self.settings.name,
            task=task,
            run=number,
            how=how,
        )

    async def _work(self) -> None:
        while True:
            now = time.monotonic()
            has_lapsed = self._clock_ms() >= self._lease_ms
            for task, run in tuple(self._runs.items()):
                if has_lapsed:
                    self._end(task, run.number, 'lapsed')
                elif now - run.started_at >= run.work_s:
                    self._end(task, run.number, 'done')
            await asyncio.sleep(0.005)

    async def _beat(self) -> None:
        settings = self.settings
        address = (settings.host, settings.control_port)
        while True:
            body = {
                'service': settings.service,
                'address': f'{settings.host}:{settings.port}',
                'zone': settings.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'capacity': {
                    'cpu': settings.cpu,
                    'mem_mb': 131_072,
                    'gpu': 0,
                },
                'labels': ['a', settings.rack],
                'clock_ms': self._clock_ms(),
                'born': self._born_ms,
                'seq': next(self._sequence),
            }
            path = f'/api/instances/{settings.name}'
            sent = await http11.send(address, 'PUT', path, {}, body, 1)
            # Without an acknowledgement it is sent again soon.
            await asyncio.sleep(_HEARTBEAT_S if sent.status == 200 else 0.3)


if __name__ == '__main__':
    described = Settings(**json.loads(sys.argv[1]))
    asyncio.run(Executor(described).run())
