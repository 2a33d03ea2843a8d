"""Provide a console whose entries are simulated by functions."""

from __future__ import annotations

import io
from collections.abc import Callable
from typing import Any

import httpx
import pytest
from trio.testing import MockClock

from savoryrudder.console.application import run
from savoryrudder.console.context import CommandContext

Handler = Callable[[httpx.Request], httpx.Response]


class Console:
    """Run commands against a request handler and record their output."""

    def __init__(self) -> None:
        """Start with entries that refuse connections."""
        self.handler: Handler = refuse_connection
        self.requests: list[httpx.Request] = []
        self.output = ''
        self.errors = ''

    def run(self, *arguments: Any) -> int:
        """Run one command line on a mock clock that skips idle time."""
        output = io.StringIO()
        errors = io.StringIO()
        context = CommandContext(
            {'SAVORYRUDDER_ENTRY': 'http://e1:80,http://e2:80'},
            httpx.MockTransport(self._handle_request),
            output,
            errors,
        )
        clock = MockClock(autojump_threshold=0)
        code = run(
            [str(argument) for argument in arguments], context, clock=clock
        )
        self.output = output.getvalue()
        self.errors = errors.getvalue()
        return code

    def _handle_request(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        return self.handler(request)


def refuse_connection(request: httpx.Request) -> httpx.Response:
    """Fail like an entry that is down."""
    raise httpx.ConnectError('connection refused', request=request)


@pytest.fixture
def console() -> Console:
    """Return a console whose entries refuse connections."""
    return Console()
