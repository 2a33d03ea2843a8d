"""Choose the entry that a job is handed to."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.jobs.model import JobRequest
    from savoryrudder.jobs.model import Queue

# Jobs go to entries that are less busy, and have this many times the free
# capacity that a job needs: others may hand them jobs at the same time.
_MAX_PEER_BUSY_SHARE: Final = 0.6
_PEER_CAPACITY_FACTOR: Final = 2


def choose_peer(
    state: DispatchState,
    queue: Queue,
    job: JobRequest,
) -> str:
    needed_cpu = demand_cpu(job) * _PEER_CAPACITY_FACTOR
    zone = state.identity.zone
    suitable = [
        (peer.zone == zone, _free_cpu_of(peer, queue.service), link)
        for link, peer in state.peers.items()
        if _takes_jobs(state, peer)
        and _free_cpu_of(peer, queue.service) >= needed_cpu
    ]
    return max(suitable)[-1] if suitable else ''


def _takes_jobs(state: DispatchState, peer: PeerView) -> bool:
    load = peer.load
    if load is None or not load.accepting:
        return False
    is_current = load.version >= state.configuration.version
    return is_current and load.busy_share < _MAX_PEER_BUSY_SHARE


def _free_cpu_of(peer: PeerView, service: str) -> int:
    if peer.load is None:
        return 0
    return peer.load.free_cpu.get(service, 0) - peer.delegated_cpu


def demand_cpu(job: JobRequest) -> int:
    return sum(step.tasks * step.demand.cpu for step in job.steps)
