"""Tell other entries how much work this one can take, and hear theirs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.dispatch import peer_links
from savoryrudder.protocol import delegation
from savoryrudder.utils.rendezvous import ChoiceSize
from savoryrudder.utils.rendezvous import choose

if TYPE_CHECKING:
    from savoryrudder.dispatch.peers import Delegation
    from savoryrudder.dispatch.peers import PeerView
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn

# An entry hands on as many jobs as keep its event loop from being busier.
_TARGET_BUSY_SHARE: Final = 0.6
_MAX_DELEGATED_SHARE: Final = 0.9
# Entries that are told the load of this one. Each has to know some others that
# take jobs, in its zone and elsewhere, not all of them.
_LOAD_LISTENERS: Final = ChoiceSize(local=3, remote=3)
# A change of the load by less than this share is not announced.
_MIN_LOAD_CHANGE: Final = 0.1
# A job that was sent at most this long before a load arrived may have crossed
# it on the way.
_ROUND_TRIP_S: Final = 0.05


def record_load(state: DispatchState, busy_share: float) -> None:
    """Adapt the share of delegated jobs to how busy the event loop was."""
    state.busy_share = busy_share
    delegated_share = state.delegated_share + busy_share - _TARGET_BUSY_SHARE
    state.delegated_share = min(max(delegated_share, 0), _MAX_DELEGATED_SHARE)


def announce_load(state: DispatchState, turn: Turn) -> None:
    """Tell the other entries how much work this one can take, if it changed."""
    load = delegation.EntryLoad(
        state.capacity.free_cpu_by_service(),
        round(state.busy_share, 3),
        accepting=not state.draining,
        version=state.configuration.version,
    )
    for link, peer in state.peers.items():
        if peer.hears_load and _has_changed(peer.announced_load, load):
            peer.announced_load = load
            turn.send(link, load)


class _Listener(NamedTuple):
    """Name an entry that may be told the load."""

    name: str
    zone: str
    link: str


def choose_load_listeners(state: DispatchState) -> None:
    """Choose the entries that are told the load, after one came or went."""
    identity = state.identity
    listeners = choose(
        _Listener(identity.entry, identity.zone, ''),
        (
            _Listener(peer.entry, peer.zone, link)
            for link, peer in state.peers.items()
            if not peer_links.is_relayed(link)
        ),
        _LOAD_LISTENERS,
    )
    links = {listener.link for listener in listeners}
    for link, peer in state.peers.items():
        peer.hears_load = link in links


def _has_changed(
    previous: delegation.EntryLoad | None,
    load: delegation.EntryLoad,
) -> bool:
    if previous is None or previous[2:] != load[2:]:
        return True
    if abs(previous.busy_share - load.busy_share) > _MIN_LOAD_CHANGE:
        return True
    return any(
        abs(cpu - previous.free_cpu.get(service, 0)) > _MIN_LOAD_CHANGE * cpu
        for service, cpu in load.free_cpu.items()
    )


def handle_load(
    state: DispatchState,
    now: float,
    link: str,
    load: delegation.EntryLoad,
) -> None:
    """Record how much work another entry can take."""
    peer = state.peers[link]
    peer.load = load
    peer.load_at = now
    peer.delegated_cpu = sum(
        delegated.cpu
        for delegated in state.delegations.values()
        if delegated.link == link and not is_included(peer, delegated)
    )


def is_included(peer: PeerView, delegated: Delegation) -> bool:
    """Return whether the load that a peer told includes a delegated job."""
    return delegated.delegated_at <= peer.load_at - _ROUND_TRIP_S
