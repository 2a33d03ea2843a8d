"""Answer the calls of a process to the platform's store oddly."""

from __future__ import annotations

import base64
import json
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any
from typing import Final

MEMBERS: Final = 'savoryrudder/members/'
CONFIGURATION: Final = 'op/config'
ODD_PARTS: Final = (
    None,
    True,
    -1,
    1.5,
    2**62,
    '',
    'x' * 300,
    '\u00e9\u3002\u0000',
    [],
    [[]],
    {},
    {'a': [1]},
)
# Nobody listens there; what is not loopback is no address.
ADDRESSES: Final = (
    '127.0.0.1:1',
    '[::1]:1',
    '::1:1',
    '[::1:1',
    'fe80::1%\u00e9:1',
    'fe80::1%{0}:1'.format('a' * 70),
    '[fe80::1%a..b]:1',
    '127.0.0.1:99999',
    '127.0.0.1:0',
    '127.1:1',
    '\U0001f600:1',
    'ipc:///tmp/x',
    ':',
    '',
)
_ANSWER_DELAY_S: Final = 0.01


class _Handler(BaseHTTPRequestHandler):
    """Answer the calls of one connection."""

    protocol_version = 'HTTP/1.1'
    server: OddStore

    def do_GET(self) -> None:
        """Answer a read."""
        self._answer()

    def do_POST(self) -> None:
        """Answer a write or a renewal."""
        self._answer()

    def do_DELETE(self) -> None:
        """Answer the end of a lease."""
        self._answer()

    def log_message(self, *arguments: Any) -> None:
        """Write no log."""

    def _answer(self) -> None:
        self.rfile.read(int(self.headers['content-length']))
        time.sleep(_ANSWER_DELAY_S)
        answer = self.server.draw_answer(self.path)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        self.send_response(status)
        self.send_header('content-length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class OddStore(ThreadingHTTPServer):
    """Serve drawn answers on loopback, from a seed."""

    daemon_threads = True

    def __init__(self, seed: int, host: str) -> None:
        """Listen on a free port of a loopback address."""
        super().__init__((host, 0), _Handler)
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._revision = 1
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where the store listens."""
        host, port = self.server_address[:2]
        return f'{host!s}:{port}'

    def close(self) -> None:
        """Stop listening."""
        self.shutdown()
        self.server_close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Pass over a connection that its process has closed."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)

    def draw_answer(self, path: str) -> tuple[int, bytes] | None:
        """Return a status and a body; None closes the connection."""
        with self._lock:
            rng = self._rng
            self._revision += 1
            kind = rng.randrange(8)
            if kind == 0:
                return None
            if kind == 1:
                return 200, rng.choice((b'', b'\xff', b'[' * 5000, b'{"a":'))
            status = rng.choice((200, 200, 200, 404, 410, 412, 503))
            return status, json.dumps(self._draw_body(path)).encode()

    def _draw_body(self, path: str) -> dict[str, Any]:
        items = [self._draw_item(path) for _ in range(3)]
        body: dict[str, Any] = {
            'items': items,
            'events': items,
            'current_rev': self._revision,
            'revision': self._revision,
            'more_pages': False,
            'lease': 1,
            'ttl_ms': 6000,
        }
        if not self._rng.randrange(4):
            body[self._rng.choice(list(body))] = self._rng.choice(ODD_PARTS)
            body['more_pages'] = False
        return body

    def _draw_item(self, path: str) -> dict[str, Any]:
        rng = self._rng
        if 'members' in path:
            key = f'{MEMBERS}{rng.randrange(5)}'
            entry: dict[str, Any] = {
                'name': rng.choice(('e1', '', '\u00e9' * 40)),
                'address': rng.choice(ADDRESSES),
                'zone': rng.choice(('z', '')),
            }
        else:
            key = CONFIGURATION
            entry = {'version': self._revision, 'routes': []}
        if not rng.randrange(4):
            entry[rng.choice(list(entry))] = rng.choice(ODD_PARTS)
        content = json.dumps(entry).encode()
        if not rng.randrange(6):
            content = rng.choice((b'', b'\xff', b'[' * 5000, b'9' * 5000))
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self._revision,
            'lease': 0,
        }
