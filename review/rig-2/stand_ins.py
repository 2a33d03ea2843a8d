"""Stand in for the platform's store, executors and clients over HTTP.

They follow PROTOCOL.md and need nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

FRONT_PORT = 8161
APP_PORT = 8165
CONTROL_PORT = 8166
STORE_PORT = 8169

# The bounds of sites/kpf-cutdesk.toml, as DEPLOY.md prints them.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'
CAPACITY = {'cpu': 64000, 'mem_mb': 131072, 'gpu': 0}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-3hwrr6x',
            'host': HOST,
            'prefix': PREFIX,
            'kind': 'unsafe',
            'timeout_ms': 30000,
            'target_duration_ms': 60,
            'priority': 0,
            'service': SERVICE,
            'attempts': 4,
            'stretch': 1.6,
        },
    ],
    'services': [
        {
            'name': SERVICE,
            'health_path': '/healthz',
            'max_conns': 64,
            'protocol': 'h1',
            'tls': False,
            'admission_check': False,
            'spare': False,
        },
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    first = (await reader.readline()).decode('latin-1').strip()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode('latin-1').strip()
        if not line:
            break
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


class Server:
    """Serve HTTP/1.1 with kept connections."""

    async def listen(self, host, port):
        """Begin to serve at an address, and end what was open at another."""
        former = getattr(self, 'server', None)
        self.writers = getattr(self, 'writers', set())
        self.server = await asyncio.start_server(self._serve, host, port)
        if former is not None:
            former.close()
            for writer in tuple(self.writers):
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(' ', 2)
                fields = json.loads(body) if body else {}
                status, answer = await self.handle(
                    method, urlsplit(target), headers, fields
                )
                content = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n%s'
                    % (status, len(content), content)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has gone, or the rig is closed.
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=(), limit_s=60):
    """Send a request on a new connection; return status and body."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            content = b'' if body is None else body
            lines = [
                f'{method} {path} HTTP/1.1',
                'content-type: application/json',
                f'content-length: {len(content)}',
                *(f'{name}: {text}' for name, text in headers),
            ]
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode() + content)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, repr(error)
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, 'connection closed'
    first, _, answer = message
    return int(first.split(' ')[1]), answer.decode()


# The platform's store


class Store(Server):
    """Hold items with one revision counter, leases and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.put('op/config', json.dumps(CONFIGURATION).encode(), 0)

    def put(self, key, value, lease):
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get('create_rev', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_rev': created,
            'lease': lease,
        }
        self._tell(self.items[key])

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'deleted': True}
            self._tell(event)

    def _tell(self, event):
        self.events.append(dict(event))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        """End the leases that have run out."""
        now = time.monotonic()
        for lease, (until, _) in tuple(self.leases.items()):
            if until <= now:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def handle(self, method, url, headers, fields):
        """Answer a call."""
        self.expire()
        query = dict(parse_qsl(url.query))
        name = url.path.removeprefix('/api/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'current_rev': self.revision}
            return 200, {**item, 'current_rev': self.revision}
        if name == 'kv-range':
            found = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in found],
                'more_pages': False,
                'current_rev': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._change(fields)
        if name == 'kv-lease':
            lease = random.randrange(1, 2**40)
            ttl_s = fields['ttl_ms'] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'lease': lease, 'ttl_ms': fields['ttl_ms']}
        action, _, lease_text = name.partition('/')
        lease = int(lease_text)
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        if action == 'kv-lease-end':
            self._end(lease)
        else:
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {'ttl_ms': int(ttl_s * 1000)}

    async def _watch(self, query):
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        after = int(query['after'])
        while True:
            self.expire()
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                continue

    def _change(self, fields):
        expected = [
            (row['key'], row['revision'])
            if isinstance(row, dict)
            else tuple(row)
            for row in fields.get('expect', ())
        ]
        for key, revision in expected:
            if self.items.get(key, {'revision': 0})['revision'] != revision:
                absent = {'revision': 0, 'value': ''}
                return 412, {
                    'items': [
                        {'key': key, **self.items.get(key, absent)}
                        for key, _ in expected
                    ],
                }
        for written in fields.get('set_keys', ()):
            lease = written.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            if written['key'].startswith(('op/', 'servers/')):
                return 403, {}
            content = base64.b64decode(written['value'])
            self.put(written['key'], content, lease)
        for key in fields.get('remove', ()):
            self.remove(key)
        return 200, {'revision': self.revision}


# An executor


class Executor(Server):
    """Run tasks under a lease, as PROTOCOL.md tells.

    The `spec` of a job is JSON with the duration of a task, `work_ms`.
    """

    def __init__(self, record, name, zone, host, control):
        self.record = record
        self.name = name
        self.id = f'i-{random.randrange(2**32):08x}'
        self.zone = zone
        self.host = host
        self.control = control
        self.is_up = True
        self.state = 'ready'
        # Tells of a start for how long it is left unanswered and not carried
        # out (seconds), or 0.
        self.delay_of_start = lambda executor, fields: 0
        self.runs = {}
        # Rows of task, run, time of start, time of end, how it ended, name of
        # the executor, for the check.
        self.history = []
        self._boot()

    def _boot(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_until_ms = 0
        self.ends = []
        self.end_number = 0
        self.highest_ended = {}
        self.changed = asyncio.Event()
        self.sequence = 0

    def end(self):
        """End, with all that runs."""
        for task in tuple(self.runs):
            self._end(task, 'lost with its executor')
        self.is_up = False
        self.record(self.name, f'{self.id} ended')

    def start_again(self):
        """Start again under the same id, without knowing of before."""
        self._boot()
        self.state = 'ready'
        self.is_up = True
        self.record(self.name, f'{self.id} started again')
        # An executor reports itself as soon as it has started.
        self.first_beat = asyncio.create_task(self._beat_once())

    async def sign_off(self):
        """Send the call that comes before a planned end."""
        self.record(self.name, f'DELETE of {self.id} sent')
        status, _ = await call(
            self.control,
            'DELETE',
            f'/api/instances/{self.id}',
            headers=[('host', self.control)],
        )
        self.record(self.name, f'DELETE of {self.id}: {status}')

    def clock_ms(self):
        """Return the executor's own clock."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def beat(self):
        """Send heartbeats to the agent until cancelled."""
        while True:
            status = await self._beat_once() if self.is_up else 0
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _beat_once(self):
        self.sequence += 1
        body = {
            'service': SERVICE,
            'address': f'{self.host}:{APP_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_remaining_ms': 0,
            'capacity': CAPACITY,
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms(),
            'seq': self.sequence,
            'born': self.born,
        }
        status, _ = await call(
            self.control,
            'PUT',
            f'/api/instances/{self.id}',
            json.dumps(body).encode(),
            [('host', self.control)],
            limit_s=1,
        )
        return status

    async def watch(self):
        """End runs whose time or lease is over, until cancelled."""
        while True:
            self._advance()
            await asyncio.sleep(0.005)

    def _advance(self):
        now_ms = self.clock_ms()
        for task, run in tuple(self.runs.items()):
            if run['ends_ms'] <= min(now_ms, self.lease_until_ms):
                self._end(task, 'done')
            elif now_ms > self.lease_until_ms:
                self._end(task, 'lapsed')

    def _end(self, task, how):
        run = self.runs.pop(task)
        highest = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(highest, run['run'])
        self.end_number += 1
        self.ends.append([self.end_number, task, run['run'], how, ''])
        run['row'][3] = self.record.now()
        run['row'][4] = how
        self.record(self.name, f'run {run["run"]} of {task} ended {how}')
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, url, headers, fields):
        """Answer a call of the agent."""
        if not self.is_up:
            raise ConnectionResetError
        self._advance()
        if headers.get('expect-instance', self.id) != self.id:
            return 421, {}
        if url.path == '/healthz':
            return 200, {}
        if fields.get('fence', 0) < self.fence:
            return 409, {'clock_ms': self.clock_ms(), 'reason': 'fence'}
        self.fence = fields.get('fence', 0)
        if url.path == '/api/hold':
            return await self._hold(fields)
        if url.path == '/api/run-start':
            delay_s = self.delay_of_start(self, fields)
            if delay_s:
                await self._start_late(fields, delay_s)
            return self._start(fields)
        if url.path == '/api/run-stop':
            return self._stop(fields)
        return 400, {}

    def _extend(self, deadline_ms):
        latest_ms = self.clock_ms() + HOLD_MAX_MS
        granted_ms = min(deadline_ms, latest_ms)
        self.lease_until_ms = max(self.lease_until_ms, granted_ms)

    async def _start_late(self, fields, delay_s):
        # The time of a late grant counts from its arrival (fleetbench kinds).
        await asyncio.sleep(delay_s)
        if fields.get('fence', 0) < self.fence:
            self.record(self.name, f'late start of {fields["task"]}: fence')
        else:
            self.fence = fields.get('fence', 0)
            late = {**fields, 'deadline_ms': self.clock_ms() + HOLD_MAX_MS}
            status, _ = self._start(late)
            self.record(self.name, f'late start of {fields["task"]}: {status}')
        raise ConnectionResetError

    def _start(self, fields):
        clock_ms = self.clock_ms()
        task, number = fields['task'], fields['run']
        running = self.runs.get(task)
        if running is not None and running['run'] == number:
            return 200, {'clock_ms': clock_ms}
        if fields['deadline_ms'] <= clock_ms:
            return 409, {'clock_ms': clock_ms, 'reason': 'late'}
        self._extend(fields['deadline_ms'])
        is_old = number <= self.highest_ended.get(task, 0)
        if is_old or running is not None:
            return 409, {'clock_ms': clock_ms, 'reason': 'old'}
        work_ms = json.loads(fields['spec'])['work_ms']
        row = [task, number, self.record.now(), None, 'runs', self.name]
        self.history.append(row)
        self.runs[task] = {
            'run': number,
            'began_ms': clock_ms,
            'ends_ms': clock_ms + work_ms,
            'row': row,
        }
        self.record(self.name, f'run {number} of {task} started')
        return 200, {'clock_ms': clock_ms}

    def _stop(self, fields):
        task, number = fields['task'], fields['run']
        running = self.runs.get(task)
        if running is not None and running['run'] == number:
            self._end(task, 'stopped')
        highest = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(highest, number)
        return 200, {'clock_ms': self.clock_ms()}

    async def _hold(self, fields):
        if fields.get('deadline_ms'):
            self._extend(fields['deadline_ms'])
        acknowledged = fields.get('acked_upto', 0)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        if not self.ends and fields.get('wait_ms'):
            try:
                await asyncio.wait_for(
                    self.changed.wait(), fields['wait_ms'] / 1000
                )
            except TimeoutError:
                pass
        clock_ms = self.clock_ms()
        return 200, {
            'clock_ms': clock_ms,
            'born': self.born,
            'running': [
                [task, run['run'], '', self._percent(run, clock_ms), 1]
                for task, run in self.runs.items()
            ],
            'ended': self.ends[:500],
        }

    def _percent(self, run, clock_ms):
        span_ms = max(run['ends_ms'] - run['began_ms'], 1)
        return min(99, 100 * (clock_ms - run['began_ms']) // span_ms)


class Relay:
    """Forward connections; while the path is cut, hold back what is sent."""

    def __init__(self, address):
        self.address = address
        self.held_until = None

    async def listen(self, host, port):
        """Begin to forward."""
        self.server = await asyncio.start_server(self._forward, host, port)

    def cut(self, held_s):
        """Cut the path: what is sent from now on arrives after a time.

        TCP sends it again at intervals that double, so that it arrives later
        than what is sent on a new connection once the path is back.
        """
        self.held_until = time.monotonic() + held_s

    def heal(self):
        """Let new connections pass."""
        self.held_until = None

    async def _forward(self, reader, writer):
        held_until = self.held_until
        host, _, port = self.address.rpartition(':')
        try:
            if held_until is not None:
                await asyncio.sleep(held_until - time.monotonic())
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                _copy(reader, far_writer),
                _copy(far_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()


async def _copy(reader, writer):
    while True:
        received = await reader.read(65536)
        if not received:
            break
        writer.write(received)
        await writer.drain()
    writer.close()
