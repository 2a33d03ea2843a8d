"""Answer the calls of a process to the platform's store as its pages say."""

from __future__ import annotations

import base64
import json
import time
from typing import Any
from typing import Final

from tests.processes.odd_store import CONFIGURATION
from tests.processes.odd_store import OddStore

QUEUE_HOST: Final = 'queue.example'
QUEUE_PREFIX: Final = '/p/'
_WATCH_WAIT_S: Final = 0.5


class CalmStore(OddStore):
    """Serve a configuration with one queue, and no registered entries."""

    def __init__(self, host: str) -> None:
        """Listen on a free port of a loopback address."""
        super().__init__(0, host)

    def draw_answer(self, path: str) -> tuple[int, bytes] | None:
        """Return a status and a body."""
        if 'kv-watch' in path:
            time.sleep(_WATCH_WAIT_S)
        body: dict[str, Any] = {
            'items': [],
            'events': [],
            'current_rev': 1,
            'revision': 1,
            'more_pages': False,
            'lease': 1,
            'ttl_ms': 6000,
        }
        if 'op' in path:
            body['items'] = [self._configuration_item()]
        return 200, json.dumps(body).encode()

    def _configuration_item(self) -> dict[str, Any]:
        route = {
            'name': 'r',
            'host': QUEUE_HOST,
            'prefix': QUEUE_PREFIX,
            'service': 's',
        }
        content = json.dumps({'version': 1, 'routes': [route]}).encode()
        return {
            'key': CONFIGURATION,
            'value': base64.b64encode(content).decode(),
            'revision': 1,
            'lease': 0,
        }
