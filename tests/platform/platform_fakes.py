"""Fake the platform's servers."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import msgspec
from anyio.lowlevel import checkpoint

from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.http_client import Response


class FakeStoreServer:
    """Hold items with one revision counter; requests return at once."""

    address = 'store'

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.history_from = 0
        self.page_size = 2
        self.failure: Response | NoResponse | None = None
        self.leases = {1}
        self.timeouts_s: list[float] = []

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: Any = (),
        progress_timeout_s: float = 0,
    ) -> Response | NoResponse:
        """Respond to a request, with `failure` if it is set."""
        self.timeouts_s.append(timeout_s)
        if self.failure is not None:
            return self.failure
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query))
        fields = msgspec.json.decode(body) if body else {}
        match parts.path.rpartition('/')[-1]:
            case 'kv-key':
                return self._read(query['key'])
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return self._watch(query)
            case 'kv-txn':
                return self._change(fields)
            case 'kv-lease':
                return _ok({'lease': 1, 'ttl_ms': fields['ttl_ms']})
        is_held = int(parts.path.rpartition('/')[-1]) in self.leases
        return _ok({'ttl_ms': 1000}) if is_held else Response(404, b'{}')

    def put(self, key: str, text: str) -> None:
        """Write an item as another client would."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(text.encode()).decode(),
            'revision': self.revision,
            'create_rev': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key: str) -> None:
        """Delete an item as another client would."""
        self.revision += 1
        self.items.pop(key)
        self.events.append(
            {'key': key, 'revision': self.revision, 'deleted': True},
        )

    def _read(self, key: str) -> Response:
        item = self.items.get(key)
        if item is None:
            return Response(404, b'{}')
        return _ok({**item, 'current_rev': self.revision})

    def _range(self, query: dict[str, str]) -> Response:
        matching = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query['prefix']) and key > query.get('after', '')
        ]
        page = matching[: self.page_size]
        return _ok(
            {
                'items': page,
                'more_pages': len(matching) > len(page),
                'current_rev': self.revision,
            },
        )

    def _watch(self, query: dict[str, str]) -> Response:
        after = int(query['after'])
        if after < self.history_from:
            return Response(410, b'{}')
        matching = [
            event
            for event in self.events
            if event['revision'] > after
            and event['key'].startswith(query['prefix'])
        ]
        return _ok({'events': matching, 'current_rev': self.revision})

    def _change(self, fields: dict[str, Any]) -> Response:
        for expected in fields['expect']:
            item = self.items.get(expected['key'], {})
            if item.get('revision', 0) != expected['revision']:
                current = [item] if item else []
                content = msgspec.json.encode({'items': current})
                return Response(412, content)
        for write in fields['set_keys']:
            text = base64.b64decode(write['value']).decode()
            self.put(write['key'], text)
        for key in fields['remove']:
            self.remove(key)
        return _ok({'revision': self.revision})


class FakeExecutorServer:
    """Respond with `response` and record the requests."""

    address = 'executor'

    def __init__(self) -> None:
        """Leave requests without a response at first."""
        self.response: Response | NoResponse = NoResponse('silent', sent=True)
        self.requests: list[Any] = []
        self.max_concurrent = 0
        self._concurrent = 0

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: Any = (),
    ) -> Response | NoResponse:
        """Record a request and return `response`."""
        fields = msgspec.json.decode(body) if body else {}
        self.requests.append((path, fields, headers))
        self._concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self._concurrent)
        await checkpoint()
        self._concurrent -= 1
        return self.response


def _ok(content: dict[str, Any]) -> Response:
    return Response(200, msgspec.json.encode(content))
