"""Stand in for the platform's metadata store (PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from http_messages import Request
from http_messages import Response
from http_messages import Server

_MS_PER_S = 1000


class PlatformStore:
    """Keep keys, leases and the history of changes in memory."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Serve the store."""
        await Server(self._handle).start(host, port)
        asyncio.get_running_loop().create_task(self._expire())

    def write(self, key: str, content: dict[str, Any]) -> None:
        """Write a key as the operator does."""
        self._put(key, base64.b64encode(json.dumps(content).encode()).decode())

    def _put(self, key: str, text: str, lease: int = 0) -> None:
        self._revision += 1
        former = self._items.get(key, {})
        self._items[key] = {
            'key': key,
            'value': text,
            'revision': self._revision,
            'create_rev': former.get('create_rev', self._revision),
            'lease': lease,
        }
        self._publish(self._items[key])

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._publish(
                {'key': key, 'revision': self._revision, 'deleted': True}
            )

    def _publish(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at) in tuple(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in tuple(self._items.items()):
            if item['lease'] == lease:
                self._remove(key)

    async def _handle(self, request: Request) -> Response:
        path = request.path
        if path == '/api/kv-key':
            return self._read(request.query['key'])
        if path == '/api/kv-range':
            return self._range(request.query)
        if path == '/api/kv-watch':
            return await self._watch(request.query)
        if path == '/api/kv-txn':
            return self._change(request.json())
        if path == '/api/kv-lease':
            return self._grant(request.json()['ttl_ms'])
        name, _, lease_text = path.rpartition('/')
        lease = int(lease_text)
        if lease not in self._leases:
            return Response(404, {})
        if name == '/api/kv-keep':
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return Response(200, {'ttl_ms': int(ttl_s * _MS_PER_S)})
        self._end_lease(lease)
        return Response(200, {'ttl_ms': 0})

    def _read(self, key: str) -> Response:
        item = self._items.get(key)
        if item is None:
            return Response(404, {})
        return Response(200, {**item, 'current_rev': self._revision})

    def _range(self, query: dict[str, str]) -> Response:
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query['prefix'])
        ]
        return Response(
            200,
            {
                'items': items,
                'current_rev': self._revision,
                'more_pages': False,
            },
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['wait_ms']) / _MS_PER_S
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                body = {'events': events, 'current_rev': self._revision}
                return Response(200, body)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _change(self, body: dict[str, Any]) -> Response:
        absent = {'revision': 0}
        for row in body['expect']:
            found = self._items.get(row['key'], absent)
            if found['revision'] != row['revision']:
                items = [
                    self._items.get(key, {'key': key, **absent})
                    for key in (entry['key'] for entry in body['expect'])
                ]
                return Response(412, {'items': items})
        for change in body.get('set_keys', ()):
            lease = change.get('lease', 0)
            if lease and lease not in self._leases:
                return Response(404, {})
        for change in body.get('set_keys', ()):
            self._put(change['key'], change['value'], change.get('lease', 0))
        for key in body.get('remove', ()):
            self._remove(key)
        return Response(200, {'revision': self._revision})

    def _grant(self, ttl_ms: int) -> Response:
        lease = self._revision * 1000 + len(self._leases) + 1
        ttl_s = ttl_ms / _MS_PER_S
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return Response(200, {'lease': lease, 'ttl_ms': ttl_ms})
