"""Simulate links between processes, with faults."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.protocol.messages import Finished
from savoryrudder.protocol.messages import Heartbeat

if TYPE_CHECKING:
    from fakes.clock import Clock
    from fakes.processes import Process

SILENCE_TIMEOUT_S = 3.0


@dataclasses.dataclass(eq=False)
class Session:
    """Connect two processes; a broken session loses its frames."""

    name: str
    ends: tuple[Process, Process]
    arrivals: dict[str, float] = dataclasses.field(default_factory=dict)
    broken: bool = False
    # Delay of the frames in flight at the break; with None they are lost.
    late_arrival_s: float | None = None


class Links:
    """Keep one session between each two connected processes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self.sessions: dict[frozenset[str], Session] = {}
        self.blocked: dict[frozenset[str], float] = {}
        self.delay_s = 0.002
        self.late_frame_ratio = 0.3
        self.corrupt_results = False

    def connect(self, processes: list[Process]) -> None:
        """Open missing sessions and send heartbeats on all of them."""
        for ends in itertools.combinations(processes, 2):
            pair = frozenset(end.name for end in ends)
            blocked = self.blocked.get(pair, 0) > self._clock.now
            if blocked or not self._is_dialled(*ends):
                continue
            if pair not in self.sessions:
                self._open(pair, ends)
            for end in ends:
                self.send(end, ends[end is ends[0]].name, Heartbeat())

    def send(self, sender: Process, peer: str, message: Any) -> None:
        """Send a message in order, together with the revision of the sender."""
        session = sender.sessions.get(peer)
        if session is None or session.broken:
            return
        arrival = self._clock.now + self._clock.randomness.uniform(
            0, self.delay_s
        )
        arrival = max(arrival, session.arrivals[peer])
        session.arrivals[peer] = arrival
        if self.corrupt_results and isinstance(message, Finished):
            record = message.record._replace(result=b'damaged')
            message = message._replace(record=record)
        frame = (sender.name, session.name, sender.revision, message)
        receiver = next(end for end in session.ends if end.name == peer)
        delay = arrival - self._clock.now
        self._clock.after(delay, self._deliver, session, receiver, frame)

    def cut(self, first: str, second: str, notice_s: float = 0) -> None:
        """Break a session; each end is notified after a delay of its own."""
        pair = frozenset((first, second))
        session = self.sessions.get(pair)
        if session is None or session.broken:
            return
        session.broken = True
        if self._clock.randomness.random() < self.late_frame_ratio:
            session.late_arrival_s = self._clock.randomness.uniform(0, 2)
        remove_session = (self.sessions.pop, pair)
        self._clock.after(notice_s, self._clock.within, 0.4, *remove_session)
        for end in session.ends:
            notify_end = (end.session_ended, session)
            self._clock.after(notice_s, self._clock.within, 0.4, *notify_end)

    def silence(self, first: str, second: str, seconds: float) -> None:
        """Lose all frames for a time; the ends notice after the timeout."""
        until = self._clock.now + seconds
        self.blocked[frozenset((first, second))] = until
        self.cut(first, second, SILENCE_TIMEOUT_S)

    def drop(self, name: str) -> None:
        """Break all sessions of a process that has ended or is frozen."""
        for pair in tuple(self.sessions):
            if name in pair:
                self.cut(name, *(pair - {name}))

    def _is_dialled(self, first: Process, second: Process) -> bool:
        """Return whether one end dials the other.

        Agents dial every entry, entries the peers that their reducer names.
        """
        if first.is_entry and second.is_entry:
            low, high = sorted((first, second), key=lambda end: end.name)
            return high.state.identity.address in low.dialled_addresses
        return first.is_entry or second.is_entry

    def _open(self, pair: frozenset[str], ends: Any) -> None:
        session = Session(f's{next(self._numbers)}', ends)
        self.sessions[pair] = session
        for end in ends:
            delay = self._clock.randomness.uniform(0, self.delay_s)
            session.arrivals[end.name] = self._clock.now + delay
            self._clock.after(delay, end.session_opened, session)

    def _deliver(self, session: Session, receiver: Any, frame: Any) -> None:
        late_arrival_s = session.late_arrival_s if session.broken else 0
        if late_arrival_s is not None:
            self._clock.after(
                late_arrival_s, receiver.post, 'MessageReceived', *frame
            )
