"""Refuse new tasks while the availability zone of the agent is evacuated.

Entries stop to send them, but one that has lost the store does not know. Each
linked entry tells the agent what it has read; the newest counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.protocol.evacuation import EvacuatedZones
    from savoryrudder.worker.state import WorkerState
    from savoryrudder.worker.turn import Turn


def apply(state: WorkerState, turn: Turn, told: EvacuatedZones) -> None:
    """Record the evacuated zones that an entry has read, unless outdated."""
    if told.revision < state.evacuation.revision:
        turn.count('outdated_evacuations')
    if told.revision <= state.evacuation.revision:
        return
    was_evacuated = state.evacuated
    state.evacuation = told
    if state.evacuated == was_evacuated:
        return
    turn.count('zones_evacuated' if state.evacuated else 'zones_restored')
    turn.log(
        'zone-evacuated' if state.evacuated else 'zone-restored',
        zone=state.identity.zone,
        revision=told.revision,
        runs=len(state.runs),
    )
