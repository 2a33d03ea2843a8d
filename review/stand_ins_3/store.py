"""Stand in for the platform's metadata store, as PROTOCOL.md tells."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

from http11 import Reply
from http11 import Request


class Store:
    """Keep keys with revisions and leases in memory."""

    def __init__(self) -> None:
        """Begin with no keys."""
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write a key; the operator's writes come here, too."""
        self.revision += 1
        former = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create_rev': former['create_rev'] if former else self.revision,
            'lease': lease,
        }
        self._items[key] = item
        self._tell(item)

    def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'deleted': True}
            self._tell(event)

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (ends_at, _) in tuple(self._leases.items()):
                if ends_at <= now:
                    self._end(lease)
            await asyncio.sleep(0.05)

    async def handle(self, request: Request) -> Reply:
        """Answer a call."""
        path = request.path
        if path == '/api/kv-key':
            item = self._items.get(request.query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'current_rev': self.revision}
        if path == '/api/kv-range':
            return 200, self._range(request.query)
        if path == '/api/kv-watch':
            return 200, await self._watch(request.query)
        if path == '/api/kv-txn':
            return self._transact(request.json())
        return self._handle_lease(request)

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get('after', '')
        items = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(query['prefix']) and key > after
        ]
        return {
            'items': items[:500],
            'more_pages': len(items) > 500,
            'current_rev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> Reply:
        expected = body.get('expect', [])
        current = [
            self._items.get(row['key'], {'key': row['key'], 'revision': 0})
            for row in expected
        ]
        pairs = zip(expected, current, strict=True)
        if any(row['revision'] != item['revision'] for row, item in pairs):
            return 412, {'items': current}
        for row in body.get('set_keys', []):
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, {}
        for row in body.get('set_keys', []):
            content = base64.b64decode(row['value'])
            self.put(row['key'], content, row.get('lease', 0))
        for key in body.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    def _handle_lease(self, request: Request) -> Reply:
        if request.path == '/api/kv-lease':
            ttl_ms = request.json()['ttl_ms']
            lease = len(self._leases) + self.revision + 1000
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {'lease': lease, 'ttl_ms': ttl_ms}
        lease = int(request.path.rpartition('/')[2])
        if lease not in self._leases:
            return 404, {}
        _, ttl_ms = self._leases[lease]
        if request.method == 'DELETE':
            self._end(lease)
        else:
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {'ttl_ms': ttl_ms}

    def _end(self, lease: int) -> None:
        self._leases.pop(lease)
        for key, item in tuple(self._items.items()):
            if item['lease'] == lease:
                self.remove(key)

    def _tell(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
