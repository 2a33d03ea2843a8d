"""Read from the operator's keys which availability zones are evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from savoryrudder.daemon.logs import log_event
from savoryrudder.protocol.evacuation import EvacuatedZones

if TYPE_CHECKING:
    from savoryrudder.daemon.metrics import Counters
    from savoryrudder.store.interface import Snapshot

EVACUATION_PREFIX: Final = 'op/evacuate/'


def read_evacuated_zones(
    snapshot: Snapshot,
    counters: Counters,
) -> EvacuatedZones:
    """Return the evacuated zones; a key without a zone is counted and logged.

    A key counts whatever its value is: it may be of another writer, and a zone
    that is spared by mistake costs less than one that is used by mistake.
    """
    zones = set()
    # A large snapshot is read in parts, and later ones may be newer.
    revision = snapshot.version
    for entry in snapshot.entries:
        if entry.value is None or not entry.key.startswith(EVACUATION_PREFIX):
            continue
        zone = entry.key.removeprefix(EVACUATION_PREFIX)
        if not zone:
            counters.count('refused_evacuations')
            log_event('evacuation-refused', (('key', entry.key),))
            continue
        zones.add(zone)
        revision = max(revision, entry.version)
    return EvacuatedZones(revision, tuple(sorted(zones)))
