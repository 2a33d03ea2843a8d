"""Choose the entry that a job is handed to.

Every entry that knows of one with room may hand it jobs, and none sees what the
others do. So jobs are spread over all suitable entries by their room, and the
last announcement of an entry counts for less the older it is.
"""

from __future__ import annotations

import hashlib
from math import log
from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

if TYPE_CHECKING:
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.jobs.model import JobRequest

# Jobs go to entries that are less busy, and have this many times the free
# capacity that a job needs: others may hand them jobs at the same time.
_MAX_PEER_BUSY_SHARE: Final = 0.6
_PEER_CAPACITY_FACTOR: Final = 1.25
# An entry announces large changes within this time, if it is not too busy. So
# the part of its room that may be taken since grows until then, to the limit.
_FULL_AGE_S: Final = 0.5
_MAX_TAKEN_PART: Final = 0.25
# An entry that refused a job gets none for this time.
_REFUSAL_PAUSE_S: Final = 0.5
# A float holds them exactly.
_DIGEST_BYTES: Final = 6


class PeerRoom(NamedTuple):
    """Hold how much another entry can probably take, in millicores."""

    link: str
    peer: PeerView
    is_local: bool
    free_cpu: float
    load_age_s: float


def choose_peer(
    state: DispatchState,
    now: float,
    service: str,
    job: JobRequest,
) -> PeerRoom | None:
    """Return the entry to hand a job to, or None.

    An entry in the zone goes first, as a job sends its content to another one.
    """
    needed_cpu = demand_cpu(job) * _PEER_CAPACITY_FACTOR
    rooms = [
        _room_of(state, now, service, link)
        for link, peer in state.peers.items()
        if _takes_jobs(state, now, peer)
    ]
    return max(
        (room for room in rooms if room.free_cpu >= needed_cpu),
        key=lambda room: (room.is_local, _score(job.job_id, room)),
        default=None,
    )


def _takes_jobs(state: DispatchState, now: float, peer: PeerView) -> bool:
    load = peer.load
    if load is None or not load.accepting:
        return False
    if now < peer.refused_at + _REFUSAL_PAUSE_S:
        return False
    is_current = load.version >= state.configuration.version
    return is_current and load.busy_share < _MAX_PEER_BUSY_SHARE


def _room_of(
    state: DispatchState,
    now: float,
    service: str,
    link: str,
) -> PeerRoom:
    peer = state.peers[link]
    announced_cpu = peer.load.free_cpu.get(service, 0) if peer.load else 0
    load_age_s = max(now - peer.load_at, 0)
    taken_part = _MAX_TAKEN_PART * min(load_age_s / _FULL_AGE_S, 1)
    return PeerRoom(
        link,
        peer,
        peer.zone == state.identity.zone,
        announced_cpu * (1 - taken_part) - peer.delegated_cpu,
        load_age_s,
    )


def _score(job_id: str, room: PeerRoom) -> float:
    """Return the weight of an entry in a choice by weighted rendezvous.

    Each one is chosen for a part of the jobs, in proportion to its free
    processors and the time that its event loop has left.
    """
    load = room.peer.load
    idle_share = 1 - load.busy_share if load else 0
    digest = hashlib.blake2b(
        f'{job_id}|{room.peer.entry}'.encode(),
        digest_size=_DIGEST_BYTES,
    ).digest()
    # Between 0 and 1, without either.
    draw = (int.from_bytes(digest) + 1) / (256**_DIGEST_BYTES + 2)
    return room.free_cpu * idle_share / -log(draw)


def demand_cpu(job: JobRequest) -> int:
    """Return the millicores that all tasks of a job need together."""
    return sum(step.tasks * step.demand.cpu for step in job.steps)
