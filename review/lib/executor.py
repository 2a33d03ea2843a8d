"""Stand in for an executor (PROTOCOL.md, "Running tasks").

The text of a job holds the duration of its tasks in milliseconds.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http_messages import Request
from http_messages import Response
from http_messages import Server
from http_messages import call
from http_messages import encode_request

_MS_PER_S = 1000
_HEARTBEAT_S = 1.5
_HOLD_MAX_MS = 1000
_STOP_S = 0.03
_STEP_S = 0.005
_MAX_PERCENT = 99


@dataclass
class Run:
    """Track a run of a task."""

    task: str
    number: int
    started_at: float
    work_s: float
    stops_at: float = float('inf')

    def percent(self, now: float) -> int:
        """Return the progress in percent."""
        share = (now - self.started_at) / self.work_s
        return min(int(share * 100), _MAX_PERCENT)


# Tells for each order how many seconds later it is carried out; the caller
# gets no answer then. None: it is carried out and answered at once.
LateOrders = Callable[[str, dict[str, Any]], float | None]


class Executor:
    """Run tasks and report to the agent on the same machine."""

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        zone: str,
        record: Callable[[str], None],
        cpu: int = 64_000,
    ) -> None:
        """Create an executor that `start` starts."""
        self.name = name
        self.address = address
        self.control = control
        self.zone = zone
        self.born_ms = 0
        self.draining = False
        # By how much the machine's time of day is ahead.
        self.clock_offset_s = 0.0
        self.late_orders: LateOrders = lambda path, body: None
        # Rows of task, run number, start, end, how it ended.
        self.history: list[tuple[str, int, float, float, str]] = []
        self.running: dict[str, Run] = {}
        self.capacity = {'cpu': cpu, 'mem_mb': 131_072, 'gpu': 0}
        self.labels = ['a', 'r1-1']
        self._record = record
        self._started_at = 0.0
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._acknowledged = 0
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._highest_ended: dict[str, int] = {}
        self._end_listed = asyncio.Event()

    async def start(self) -> None:
        """Serve orders and report until the program ends."""
        await self._boot()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._report()),
            loop.create_task(self._advance()),
        ]

    async def restart(self, down_s: float) -> None:
        """Crash, and start again under the same name after a while."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        now = time.monotonic()
        for run in self.running.values():
            row = (run.task, run.number, run.started_at, now, 'crashed')
            self.history.append(row)
        self.running.clear()
        self._record(f'{self.name} crashes')
        await asyncio.sleep(down_s)
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._acknowledged = 0
        self._ended = []
        self._end_count = 0
        self._highest_ended = {}
        await self.start()

    async def _boot(self) -> None:
        time_of_day_s = time.time() + self.clock_offset_s
        self.born_ms = int(time_of_day_s * _MS_PER_S)
        self._started_at = time.monotonic()
        self._record(f'{self.name} boots: born {self.born_ms}, {self.capacity}')
        host, _, port = self.address.rpartition(':')
        self._server = Server(self._handle)
        await self._server.start(host, int(port))

    def report_body(self) -> dict[str, Any]:
        """Return the liveness report that is due."""
        self._sequence += 1
        return {
            'service': 'pane',
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'capacity': self.capacity,
            'labels': self.labels,
            'clock_ms': self._clock_ms(),
            'seq': self._sequence,
            'born': self.born_ms,
        }

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * _MS_PER_S) + 1000

    async def _report(self) -> None:
        while True:
            request = encode_request(
                'PUT',
                f'/api/instances/{self.name}',
                self.control,
                self.report_body(),
            )
            response = await call(self.control, request, 1)
            answered = response is not None and response.status == 200
            await asyncio.sleep(_HEARTBEAT_S if answered else 0.3)

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(_STEP_S)
            now = time.monotonic()
            if self.running and self._clock_ms() >= self._deadline_ms:
                for run in tuple(self.running.values()):
                    self._end(run, 'lapsed')
            for run in tuple(self.running.values()):
                if now >= run.stops_at:
                    self._end(run, 'stopped')
                elif now >= run.started_at + run.work_s:
                    self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        now = time.monotonic()
        self.running.pop(run.task)
        self.history.append((run.task, run.number, run.started_at, now, how))
        self._record(f'{self.name} ended {run.task} run {run.number}: {how}')
        former = self._highest_ended.get(run.task, 0)
        self._highest_ended[run.task] = max(former, run.number)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ''])
        self._end_listed.set()
        self._end_listed = asyncio.Event()

    async def _handle(self, request: Request) -> Response | None:
        body = request.json()
        if request.headers.get('expect-instance', self.name) != self.name:
            return Response(421, {'clock_ms': self._clock_ms()})
        late_s = self.late_orders(request.path, body)
        if late_s is not None:
            self._record(
                f'{self.name} leaves {request.path} {body.get("task", "")} '
                f'unanswered and carries it out {late_s:.2f} s later'
            )
            asyncio.get_running_loop().call_later(
                late_s, self._carry_out, request.path, body
            )
            return None
        response = self._carry_out(request.path, body)
        if request.path == '/api/hold' and response.status == 200:
            return await self._list_runs(body.get('wait_ms', 0))
        return response

    def _carry_out(self, path: str, body: dict[str, Any]) -> Response:
        fence = body.get('fence', 0)
        if fence < self._fence:
            return self._conflict('fence')
        self._fence = fence
        if path == '/api/run-start':
            return self._start_run(body)
        if path == '/api/run-stop':
            return self._stop_run(body)
        if path == '/api/hold':
            self._extend(body.get('deadline_ms', 0))
            self._acknowledged = max(self._acknowledged, body['acked_upto'])
            self._ended = [
                end for end in self._ended if end[0] > self._acknowledged
            ]
            return self._ok()
        return Response(404, {})

    def _ok(self) -> Response:
        return Response(
            200, {'clock_ms': self._clock_ms(), 'born': self.born_ms}
        )

    def _conflict(self, reason: str) -> Response:
        return Response(409, {'clock_ms': self._clock_ms(), 'reason': reason})

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + _HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start_run(self, body: dict[str, Any]) -> Response:
        task = body['task']
        number = body['run']
        if body['deadline_ms'] <= self._clock_ms():
            return self._conflict('late')
        self._extend(body['deadline_ms'])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self._ok()
        if present is not None or number <= self._highest_ended.get(task, 0):
            return self._conflict('old')
        work_s = int(body['spec']) / _MS_PER_S
        self.running[task] = Run(task, number, time.monotonic(), work_s)
        self._record(f'{self.name} starts {task} run {number}')
        return self._ok()

    def _stop_run(self, body: dict[str, Any]) -> Response:
        task = body['task']
        run = self.running.get(task)
        if run is not None and run.number == body['run']:
            run.stops_at = min(run.stops_at, time.monotonic() + _STOP_S)
        elif run is None:
            former = self._highest_ended.get(task, 0)
            self._highest_ended[task] = max(former, body['run'])
        return self._ok()

    async def _list_runs(self, wait_ms: int) -> Response:
        if wait_ms and not self._ended:
            try:
                await asyncio.wait_for(
                    self._end_listed.wait(), wait_ms / _MS_PER_S
                )
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [run.task, run.number, '', run.percent(now), 0]
            for run in self.running.values()
        ]
        return Response(
            200,
            {
                'clock_ms': self._clock_ms(),
                'born': self.born_ms,
                'running': running,
                'ended': self._ended[:500],
            },
        )
