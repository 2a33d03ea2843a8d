"""Run a stand-in store in the test's process."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
import trio

from savoryrudder.store.http import HttpStore
from stand_ins.store import StandInStore
from stand_ins.store import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

CLIENT_TIMEOUT_S = 20


class StoreFixture(NamedTuple):
    """Hold a client and the stand-in store that it calls."""

    client: HttpStore
    stand_in: StandInStore


@contextlib.asynccontextmanager
async def _open_store(
    timeout_s: float = CLIENT_TIMEOUT_S,
) -> AsyncIterator[StoreFixture]:
    stop = trio.Event()
    stand_in = StandInStore()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        url = 'http://{0}:{1}'.format(*listener.getsockname())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, stand_in, listener, stop)
            client = HttpStore(url, timeout_s)
            yield StoreFixture(client, stand_in)
            await client.close()
            stop.set()


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on trio."""
    return 'trio'


@pytest.fixture
def open_store() -> Callable[
    ..., contextlib.AbstractAsyncContextManager[StoreFixture]
]:
    """Return a function that starts a stand-in store with a client."""
    return _open_store
