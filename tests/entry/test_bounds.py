"""Check the bounds on what an entry keeps, and for how long."""

from __future__ import annotations

import random

import pytest

from savoryrudder.entry.draining import is_ready
from savoryrudder.entry.effects import DisconnectPeer
from savoryrudder.entry.partitions import expire_awaited_agents
from savoryrudder.entry.peers import remove_stale_peers
from savoryrudder.entry.state import EntryIdentity
from savoryrudder.entry.state import EntryState
from savoryrudder.entry.state import OwnedPartition
from savoryrudder.entry.state import PeerLink
from savoryrudder.entry.submissions import create_submission
from savoryrudder.entry.submissions import drop_submission
from savoryrudder.entry.submissions import settle_task
from savoryrudder.entry.turn import Turn
from savoryrudder.policy.model import Limits
from savoryrudder.policy.model import Policy
from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import TaskSpec

RETENTION_S = 600


@pytest.fixture
def state() -> EntryState:
    """Return the state of a new entry."""
    identity = EntryIdentity('e1#a', 'link', 'http', 'zale', RETENTION_S, 2)
    return EntryState(identity, random.Random(1))


def test_kept_results_count_as_held_bytes(state: EntryState) -> None:
    """Guard against kept results that escape the memory limit."""
    turn = Turn(state, 100, 100)
    job = Job(
        'shop',
        'key',
        'pane',
        'normal',
        1000,
        (TaskSpec('cut', b'12345'),),
        b'digest',
        '',
    )
    submission = create_submission(turn, bytes(16), job)
    assert state.payload_bytes == 5
    submission.tasks[0].result = b'123456789'
    settle_task(turn, submission, 0, 'complete', '')
    assert state.payload_bytes == 9
    drop_submission(turn, submission)
    assert state.payload_bytes == 0


def test_doubt_ends_with_the_retention_window(state: EntryState) -> None:
    """Guard against a partition that stays in doubt forever."""
    state.owned[0] = OwnedPartition(1, 100, 100, {}, roster_incomplete=True)
    expire_awaited_agents(Turn(state, 100 + RETENTION_S, 0))
    assert state.owned[0].roster_incomplete
    expire_awaited_agents(Turn(state, 101 + RETENTION_S, 0))
    assert not state.owned[0].roster_incomplete


def test_an_entry_without_the_partition_map_is_not_ready(
    state: EntryState,
) -> None:
    """Guard against callers sent to an entry that can only refuse them."""
    state.policy = Policy({}, {}, {}, Limits(1, 1, 1))
    assert not is_ready(state)


def test_a_replaced_peer_is_not_dialled_forever(state: EntryState) -> None:
    """Guard against leaking one dialler for every replaced entry."""
    state.peers['e2#a'] = PeerLink('e2#a', 'left', heard_at=0)
    state.peers['e3#a'] = PeerLink('e3#a', 'same', heard_at=0)
    state.peers['e3#b'] = PeerLink('e3#b', 'same', 's1', heard_at=200)
    turn = Turn(state, 200, 0)
    remove_stale_peers(turn)
    assert turn.effects == [DisconnectPeer('left')]
    assert list(state.peers) == ['e3#b']
