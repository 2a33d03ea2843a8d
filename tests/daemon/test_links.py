"""Check that links carry messages and end with their first fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savoryrudder.daemon.join import JoinRequest
from savoryrudder.daemon.links import LinkDialler
from savoryrudder.daemon.links import LinkListener
from savoryrudder.protocol.codec import PROTOCOL_VERSION
from savoryrudder.protocol.messages import Demand
from savoryrudder.protocol.messages import Grant

if TYPE_CHECKING:
    from conftest import Recorder

    from savoryrudder.daemon.session import LinkTiming

pytestmark = pytest.mark.anyio
REVISION = 3


async def test_messages_pass_both_ways(
    timing: LinkTiming,
    at_entry: Recorder,
    at_agent: Recorder,
) -> None:
    """Guard against lost or reordered messages on a healthy link."""
    listener = LinkListener('127.0.0.1:0', 'e1', at_entry, lambda: 3, timing)
    async with anyio.create_task_group() as group:
        address = await group.start(listener.run)
        request = JoinRequest(PROTOCOL_VERSION, 'a1', 'agent')
        dialler = LinkDialler(address, request, at_agent, lambda: 2, timing)
        group.start_soon(dialler.run)
        await at_entry.wait_for(lambda one: one.kind == 'up')
        await at_agent.wait_for(lambda one: one.kind == 'up')
        assert listener.send('a1', Demand(4))
        assert dialler.send('e1', Grant(1))
        assert dialler.send('e1', Grant(2))
        await at_agent.wait_for(lambda one: one.detail == Demand(4))
        await at_entry.wait_for(lambda one: one.detail == Grant(2))
        group.cancel_scope.cancel()
    details = [one.detail for one in at_entry.of_kind('message')]
    assert details.index(Grant(1)) < details.index(Grant(2))
