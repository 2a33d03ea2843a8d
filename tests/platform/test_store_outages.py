"""Test how soon a process hears from the store after it was silent.

Time is virtual. The fake store answers like that of the platform, but not
during outages, and never a request that was there then.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import anyio
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from platform_fakes import FakeStoreServer
from trio.testing import MockClock

from savoryrudder.daemon.membership import MEMBERS_PREFIX
from savoryrudder.daemon.membership import RETRY_S
from savoryrudder.daemon.membership import Registration
from savoryrudder.daemon.membership import watch_prefix
from savoryrudder.platform import store as platform_store
from savoryrudder.platform.configuration import CONFIGURATION_KEY
from savoryrudder.platform.http_client import NoResponse
from savoryrudder.platform.store import PlatformStore
from savoryrudder.platform.store import longest_watch_s
from savoryrudder.protocol.members import Member

if TYPE_CHECKING:
    from savoryrudder.platform.http_client import Response
    from savoryrudder.store.interface import KeyValue

POLL_S = 0.01
START_S = 6.0
MEMBER = Member('entry-1', '10.0.0.1:7720', 'zone')
# `contact_ms` of the deployments, and the time that an answer takes on them.
LIMITS_S = ((3.0, 0.1), (4.0, 0.3))
REGISTRATION_LIMIT_S = 2.5


class SilentStoreServer(FakeStoreServer):
    """Answer after a delay, unless an outage comes between."""

    def __init__(self, begins_s: float, ends_s: float, answer_s: float) -> None:
        """Be silent between two times of the virtual clock."""
        super().__init__()
        self._begins_s = begins_s
        self._ends_s = ends_s
        self._answer_s = answer_s

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: Any = (),
        progress_timeout_s: float = 0,
    ) -> Response | NoResponse:
        """Respond to a request that the store answers within its time."""
        arrived_s = anyio.current_time()
        with anyio.move_on_after(timeout_s):
            await self._wait_for_change(path)
            await anyio.sleep(self._answer_s)
            if self._is_silent(arrived_s):
                await anyio.sleep_forever()
            return await super().request(method, path, body, timeout_s)
        return NoResponse('request timed out', sent=True)

    def _is_silent(self, arrived_s: float) -> bool:
        now = anyio.current_time()
        return arrived_s < self._ends_s and now > self._begins_s

    async def _wait_for_change(self, path: str) -> None:
        parts = urlsplit(path)
        if not parts.path.endswith('kv-watch'):
            return
        query = dict(parse_qsl(parts.query))
        with anyio.move_on_after(int(query['wait_ms']) / 1000):
            while not any(
                event['revision'] > int(query['after'])
                for event in self.events
                if event['key'].startswith(query['prefix'])
            ):
                await anyio.sleep(POLL_S)


async def _follow(
    server: SilentStoreServer,
    store: PlatformStore,
    news_limit_s: float,
    changes_s: float,
) -> float:
    heard_s: dict[str | None, float] = {}
    server.put(CONFIGURATION_KEY, 'old')
    on_change = partial(_record, heard_s)
    wait_s = longest_watch_s(news_limit_s)
    async with anyio.create_task_group() as group:
        group.start_soon(
            partial(watch_prefix, store, CONFIGURATION_KEY, wait_s, on_change),
        )
        # Other calls share the client, and get no answer either.
        group.start_soon(Registration(store, MEMBER).run)
        group.start_soon(
            partial(watch_prefix, store, MEMBERS_PREFIX, 5, lambda _: None),
        )
        await anyio.sleep(changes_s)
        server.put(CONFIGURATION_KEY, 'new')
        await anyio.sleep(4 * news_limit_s)
        group.cancel_scope.cancel()
    return heard_s['new']


def _record(
    heard_s: dict[str | None, float],
    entries: tuple[KeyValue, ...],
) -> None:
    heard_s.setdefault(entries[0].value, anyio.current_time())


def _play(follow: Any, server: SilentStoreServer, *arguments: float) -> float:
    store = PlatformStore('store')
    store._client = server
    return float(
        anyio.run(
            partial(follow, server, store, *arguments),
            backend='trio',
            backend_options={'clock': MockClock(autojump_threshold=0)},
        ),
    )


@settings(max_examples=100, deadline=None)
@given(
    begins_s=st.floats(0.5, START_S),
    lasts_s=st.floats(0.05, 6),
    limit=st.sampled_from(LIMITS_S),
)
@example(begins_s=4.3, lasts_s=2.5, limit=LIMITS_S[0])
def test_a_change_after_an_outage_is_heard_of_in_time(
    begins_s: float,
    lasts_s: float,
    limit: tuple[float, float],
) -> None:
    """Guard against a silent call that holds the only path to news.

    Whatever moment it began, entries know a change that the store acknowledged
    as it came back.
    """
    news_limit_s, answer_s = limit
    ends_s = begins_s + lasts_s
    server = SilentStoreServer(begins_s, ends_s, answer_s)
    heard_s = _play(_follow, server, news_limit_s, ends_s)
    assert heard_s - ends_s < news_limit_s


async def _register(
    server: SilentStoreServer,
    store: PlatformStore,
    ends_s: float,
) -> float:
    async with anyio.create_task_group() as group:
        group.start_soon(Registration(store, MEMBER).run)
        await anyio.sleep(ends_s)
        # The lease has expired in the outage.
        key = f'{MEMBERS_PREFIX}{MEMBER.name}'
        if key in server.items:
            server.remove(key)
        server.leases.clear()
        while key not in server.items:
            await anyio.sleep(POLL_S)
        group.cancel_scope.cancel()
    return anyio.current_time()


@settings(max_examples=60, deadline=None)
@given(begins_s=st.floats(0.5, START_S), lasts_s=st.floats(6, 12))
def test_an_entry_is_registered_soon_after_an_outage(
    begins_s: float,
    lasts_s: float,
) -> None:
    """Guard against an entry that is taken for gone while it lives."""
    ends_s = begins_s + lasts_s
    server = SilentStoreServer(begins_s, ends_s, 0.01)
    registered_s = _play(_register, server, ends_s)
    assert registered_s - ends_s < REGISTRATION_LIMIT_S


@pytest.mark.parametrize('limit_s', [limit for limit, _ in LIMITS_S])
def test_a_watch_and_what_follows_it_fit_into_the_limit(limit_s: float) -> None:
    """Guard against waits that each are short, and together are not."""
    silent_watch_s = longest_watch_s(limit_s) + platform_store._TIMEOUT_S
    silent_call_s = max(silent_watch_s, platform_store._RETRY_TIMEOUT_S)
    assert silent_call_s + RETRY_S < limit_s
