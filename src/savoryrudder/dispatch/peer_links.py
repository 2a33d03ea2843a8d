"""Tell which links to other entries carry work.

Each entry has a link with every other one. Most of them only tell claims, and
a link without work is quiet: its loss is noticed later, which delays no job.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.utils.effects import SetCarriesWork

if TYPE_CHECKING:
    from savoryrudder.dispatch.state import DispatchState
    from savoryrudder.dispatch.turn import Turn

_RELAY_PREFIX: Final = 'relay:'


def relay_link(entry: str) -> str:
    """Return the name of the link to an entry that is reached by relay."""
    return f'{_RELAY_PREFIX}{entry}'


def is_relayed(link: str) -> bool:
    """Return whether a link exists through agents only."""
    return link.startswith(_RELAY_PREFIX)


def begin_work(state: DispatchState, turn: Turn, link: str) -> None:
    """Record that a job depends on the entry at the other end of a link."""
    if link in state.peers and link not in state.working_peers:
        state.working_peers.add(link)
        turn.effects.append(SetCarriesWork(link, carries_work=True))


def end_work(state: DispatchState, turn: Turn) -> None:
    """Let the links be quiet on which no job depends any more."""
    if not state.working_peers:
        return
    links_with_jobs = set(_links_with_jobs(state))
    for link in state.working_peers - links_with_jobs:
        turn.effects.append(SetCarriesWork(link, carries_work=False))
    state.working_peers &= links_with_jobs


def _links_with_jobs(state: DispatchState) -> chain[str]:
    return chain(
        (delegated.link for delegated in state.delegations.values()),
        (request.link for request in state.foreign_requests.values()),
        *(contested.holders for contested in state.contested_jobs.values()),
        state.relinquish_requests.values(),
    )
