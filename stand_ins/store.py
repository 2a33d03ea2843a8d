"""Stand in for the key-value store of the platform.

Prints the bound address as its first line. Run it with
`python stand_ins/store.py --port 0 [--snapshot FILE]`.
"""

from __future__ import annotations

import contextlib
import functools
import json
import os
import signal
import socket
import sys
from collections import Counter
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple

import anyio
import fire
import trio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_hypercorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from starlette.requests import Request
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

_MAX_VALUE_BYTES: Final = 1_000_000
_EXPIRY_INTERVAL_S: Final = 0.05
_KEEP_ALIVE_TIMEOUT_S: Final = 60
_GRACEFUL_TIMEOUT_S: Final = 0.2
_MS_PER_S: Final = 1000
# Number of deletions kept; a watch that starts before the oldest of them is
# answered at once.
_MAX_DELETIONS: Final = 10_000


class StoredValue(NamedTuple):
    """Hold the version, value and lease of a key."""

    version: int
    value: str
    lease: str


class Content:
    """Hold keys under one version counter; save them on each change."""

    def __init__(self, snapshot: Path | None) -> None:
        """Load the snapshot file, if there is one."""
        self.version = 0
        self.entries: dict[str, StoredValue] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self._deletions: dict[str, int] = {}
        self._history_start = 0
        self._snapshot = snapshot
        self._changed = anyio.Event()
        if snapshot is not None and snapshot.exists():
            self._load(json.loads(snapshot.read_text()))

    def describe(self, key: str) -> dict[str, Any]:
        """Return a key in the format of the HTTP interface."""
        stored = self.entries.get(key)
        if stored is None:
            return {'key': key, 'version': 0, 'value': None}
        return {'key': key, 'version': stored.version, 'value': stored.value}

    def put(self, key: str, value: str, lease: str) -> int:
        """Write a key and return its version."""
        self.version += 1
        self.entries[key] = StoredValue(self.version, value, lease)
        self._deletions.pop(key, None)
        self._publish()
        return self.version

    def delete(self, key: str) -> int:
        """Delete a key and return the version of the deletion."""
        self.version += 1
        if self.entries.pop(key, None) is not None:
            self._deletions[key] = self.version
        if len(self._deletions) > _MAX_DELETIONS:
            oldest = next(iter(self._deletions))
            self._history_start = self._deletions.pop(oldest)
        self._publish()
        return self.version

    def grant(self, ttl_s: float) -> str:
        """Create a lease."""
        self.version += 1
        lease = f'lease-{self.version}'
        self.leases[lease] = (ttl_s, anyio.current_time() + ttl_s)
        self._publish()
        return lease

    def renew(self, lease: str) -> float:
        """Extend a lease and return its time to live in seconds."""
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, anyio.current_time() + ttl_s)
        return ttl_s

    def revoke(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        self.leases.pop(lease, None)
        leased_keys = [
            key for key, stored in self.entries.items() if stored.lease == lease
        ]
        for key in leased_keys:
            self.delete(key)

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        now = anyio.current_time()
        expired = [name for name, (_, end) in self.leases.items() if end <= now]
        for lease in expired:
            self.revoke(lease)

    def has_changed(self, prefix: str, after: int) -> bool:
        """Return whether a key below a prefix changed after a version."""
        if after < self._history_start or after > self.version:
            return True
        versions = [
            stored.version
            for key, stored in self.entries.items()
            if key.startswith(prefix)
        ]
        versions.extend(
            version
            for key, version in self._deletions.items()
            if key.startswith(prefix)
        )
        return max(versions, default=0) > after

    async def wait_change(self) -> None:
        """Wait for the next change of any key."""
        await self._changed.wait()

    def _publish(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        if self._snapshot is None:
            return
        temporary = self._snapshot.with_suffix('.new')
        document = {
            'version': self.version,
            'held': self.entries,
            'leases': {name: ttl for name, (ttl, _) in self.leases.items()},
        }
        temporary.write_text(json.dumps(document))
        temporary.replace(self._snapshot)

    def _load(self, document: dict[str, Any]) -> None:
        self.version = document['version']
        self._history_start = self.version
        self.entries = {
            key: StoredValue(*stored)
            for key, stored in document['held'].items()
        }
        # As after a change of leader, each lease gets its full time to live.
        now = anyio.current_time()
        self.leases = {
            name: (ttl_s, now + ttl_s)
            for name, ttl_s in document['leases'].items()
        }


class Faults:
    """Hold the faults requested by tests."""

    def __init__(self) -> None:
        """Start without faults."""
        self.down_until = float(0)
        self.slow_ms = float(0)
        self.lose_answers = 0

    def update(self, requested: dict[str, Any]) -> None:
        """Update the faults named in a request."""
        down_s = requested.get('down_s')
        if down_s is not None:
            self.down_until = anyio.current_time() + float(down_s)
        self.slow_ms = float(requested.get('slow_ms', self.slow_ms))
        self.lose_answers = int(
            requested.get('lose_answers', self.lose_answers)
        )

    def take_lost_answer(self) -> bool:
        """Return whether to lose the answer to this write; count it down."""
        if self.lose_answers:
            self.lose_answers -= 1
            return True
        return False


class LostAnswer(Response):
    """Close the connection before the body of the response."""

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the head of a response without its body."""
        head = {
            'type': 'http.response.start',
            'status': int(HTTPStatus.OK),
            'headers': [(b'content-length', b'1')],
        }
        await send(head)


class StandInStore:
    """Serve the store over HTTP."""

    def __init__(self, snapshot: Path | None = None) -> None:
        """Start with the content of the snapshot, if there is one."""
        self.content = Content(snapshot)
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    def application(self) -> Starlette:
        """Return the ASGI application."""
        key = '/v1/keys/{key:path}'
        lease_path = '/v1/leases/{lease}'
        routes = [
            self._route(key, 'GET', 'read', self._read),
            self._route(key, 'PUT', 'write', self._write),
            self._route(key, 'DELETE', 'write', self._delete),
            self._route('/v1/leases', 'POST', 'lease', self._grant),
            self._route(f'{lease_path}/renew', 'POST', 'lease', self._renew),
            self._route(lease_path, 'DELETE', 'lease', self._revoke),
            self._route('/v1/watch', 'GET', 'watch', self._watch),
            Route('/faults', self._set_faults, methods=['POST']),
            Route('/faults/calls', self._report_calls),
        ]
        return Starlette(routes=routes)

    async def expire_leases(self) -> None:
        """Revoke expired leases until cancelled."""
        while True:
            self.content.expire()
            await anyio.sleep(_EXPIRY_INTERVAL_S)

    def _route(
        self,
        path: str,
        method: str,
        kind: str,
        handler: Callable[[Request], Awaitable[Response]],
    ) -> Route:
        handler_with_faults = functools.partial(
            self._handle_with_faults, kind, handler
        )
        return Route(path, handler_with_faults, methods=[method])

    async def _handle_with_faults(
        self,
        kind: str,
        handler: Callable[[Request], Awaitable[Response]],
        request: Request,
    ) -> Response:
        self.calls[kind] += 1
        self.content.expire()
        if anyio.current_time() < self.faults.down_until:
            return Response(status_code=HTTPStatus.SERVICE_UNAVAILABLE)
        await anyio.sleep(self.faults.slow_ms / _MS_PER_S)
        response = await handler(request)
        may_lose_answer = kind in {'write', 'lease'}
        if may_lose_answer and self.faults.take_lost_answer():
            return LostAnswer()
        return response

    async def _read(self, request: Request) -> Response:
        return JSONResponse(self.content.describe(request.path_params['key']))

    async def _write(self, request: Request) -> Response:
        key = request.path_params['key']
        body = await request.json()
        if len(body['value'].encode()) > _MAX_VALUE_BYTES:
            return Response(status_code=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        lease = body.get('lease', '')
        if lease and lease not in self.content.leases:
            return Response(status_code=HTTPStatus.GONE)
        current = self.content.describe(key)
        if current['version'] != body['expected']:
            return JSONResponse(current, HTTPStatus.CONFLICT)
        version = self.content.put(key, body['value'], lease)
        return JSONResponse({'version': version})

    async def _delete(self, request: Request) -> Response:
        key = request.path_params['key']
        current = self.content.describe(key)
        if current['version'] != int(request.query_params['expected']):
            return JSONResponse(current, HTTPStatus.CONFLICT)
        return JSONResponse({'version': self.content.delete(key)})

    async def _grant(self, request: Request) -> Response:
        ttl_s = float((await request.json())['ttl_s'])
        lease = self.content.grant(ttl_s)
        return JSONResponse({'lease': lease, 'ttl_s': ttl_s})

    async def _renew(self, request: Request) -> Response:
        lease = request.path_params['lease']
        if lease not in self.content.leases:
            return Response(status_code=HTTPStatus.GONE)
        ttl_s = self.content.renew(lease)
        return JSONResponse({'lease': lease, 'ttl_s': ttl_s})

    async def _revoke(self, request: Request) -> Response:
        lease = request.path_params['lease']
        if lease not in self.content.leases:
            return Response(status_code=HTTPStatus.GONE)
        self.content.revoke(lease)
        return JSONResponse({'lease': lease, 'ttl_s': 0})

    async def _watch(self, request: Request) -> Response:
        prefix = request.query_params.get('prefix', '')
        after = int(request.query_params.get('after', 0))
        wait_s = float(request.query_params.get('wait', 0))
        if after:
            with anyio.move_on_after(wait_s):
                while not self.content.has_changed(prefix, after):
                    await self.content.wait_change()
        entries = [
            self.content.describe(key)
            for key in sorted(self.content.entries)
            if key.startswith(prefix)
        ]
        return JSONResponse(
            {'version': self.content.version, 'entries': entries},
        )

    async def _set_faults(self, request: Request) -> Response:
        self.faults.update(await request.json())
        return Response(status_code=HTTPStatus.NO_CONTENT)

    async def _report_calls(self, request: Request) -> Response:
        return JSONResponse(dict(self.calls))


async def serve(
    store: StandInStore,
    listening: socket.socket,
    stop: trio.Event,
) -> None:
    """Serve on a bound socket until the event is set."""
    config = Config()
    # hypercorn closes the descriptor it is given.
    config.bind = [f'fd://{os.dup(listening.fileno())}']
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = _GRACEFUL_TIMEOUT_S
    config.loglevel = 'critical'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.expire_leases)
        await serve_hypercorn(
            store.application(),
            config,
            shutdown_trigger=stop.wait,
            mode='asgi',
        )
        nursery.cancel_scope.cancel()


async def _run(host: str, port: int, snapshot: str) -> None:
    stop = trio.Event()
    store = StandInStore(Path(snapshot) if snapshot else None)
    with contextlib.ExitStack() as cleanup:
        signals = cleanup.enter_context(
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT),
        )
        listening = cleanup.enter_context(socket.create_server((host, port)))
        host, port = listening.getsockname()[:2]
        sys.stdout.write(f'{host}:{port}\n')
        sys.stdout.flush()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, store, listening, stop)
            await anext(aiter(signals))
            stop.set()


def main(host: str = '127.0.0.1', port: int = 0, snapshot: str = '') -> None:
    """Serve the store until SIGTERM."""
    trio.run(_run, host, port, snapshot)


if __name__ == '__main__':
    fire.Fire(main)
