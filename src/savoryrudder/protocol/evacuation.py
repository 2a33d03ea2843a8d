"""Define the message that tells which availability zones are evacuated."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple


class EvacuatedZones(NamedTuple):
    """Tell an agent the zones whose executors must get no new tasks.

    It replaces what the agent was told with a lower `revision`, which is that
    of the store at which the sender read the zones.
    """

    revision: int
    zones: tuple[str, ...]


# Nothing has been read from the store yet; its revisions start above 0.
UNREAD_ZONES: Final = EvacuatedZones(0, ())
