"""Stand in for the links between processes."""

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

SILENCE_S = 3.0


@dataclasses.dataclass(eq=False)
class Session:
    """Join two processes; frames of a broken session are lost."""

    name: str
    ends: tuple[Process, Process]
    arrivals: dict[str, float] = dataclasses.field(default_factory=dict)
    broken: bool = False
    # Frames in flight at the break are lost, or read this much later.
    late_s: float | None = None


class Links:
    """Keep one session between each two processes that may talk."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self.sessions: dict[frozenset[str], Session] = {}
        self.blocked: dict[frozenset[str], float] = {}
        self.delay_s = 0.002
        self.late_ratio = 0.3
        self.damaged = False

    def connect(self, processes: list[Process]) -> None:
        """Open the missing sessions and send heartbeats on the others."""
        for ends in itertools.combinations(processes, 2):
            pair = frozenset(end.name for end in ends)
            blocked = self.blocked.get(pair, 0) > self._clock.now
            if blocked or not self._dials(*ends):
                continue
            if pair not in self.sessions:
                self._open(pair, ends)
            for end in ends:
                self.send(end, ends[end is ends[0]].name, Heartbeat())

    def send(self, sender: Process, peer: str, message: Any) -> None:
        """Send a message in order, with the sender's revision."""
        session = sender.sessions.get(peer)
        if session is None or session.broken:
            return
        at = self._clock.now + self._clock.randomness.uniform(0, self.delay_s)
        at = max(at, session.arrivals[peer])
        session.arrivals[peer] = at
        if self.damaged and isinstance(message, Finished):
            record = message.record._replace(result=b'damaged')
            message = message._replace(record=record)
        frame = (sender.name, session.name, sender.revision, message)
        receiver = next(end for end in session.ends if end.name == peer)
        delay = at - self._clock.now
        self._clock.after(delay, self._arrive, session, receiver, frame)

    def cut(self, one: str, other: str, notice_s: float = 0) -> None:
        """Lose all that is in flight; both ends notice, one by one."""
        pair = frozenset((one, other))
        session = self.sessions.get(pair)
        if session is None or session.broken:
            return
        session.broken = True
        if self._clock.randomness.random() < self.late_ratio:
            session.late_s = self._clock.randomness.uniform(0, 2)
        forget = (self.sessions.pop, pair)
        self._clock.after(notice_s, self._clock.soon, 0.4, *forget)
        for end in session.ends:
            down = (end.session_ended, session)
            self._clock.after(notice_s, self._clock.soon, 0.4, *down)

    def silence(self, one: str, other: str, seconds: float) -> None:
        """Lose all frames both ways for a time; both ends notice late."""
        until = self._clock.now + seconds
        self.blocked[frozenset((one, other))] = until
        self.cut(one, other, SILENCE_S)

    def drop(self, name: str) -> None:
        """Break all sessions of a process that is gone or frozen."""
        for pair in tuple(self.sessions):
            if name in pair:
                self.cut(name, *(pair - {name}))

    def _dials(self, one: Process, other: Process) -> bool:
        """Tell whether one end dials: agents any entry, entries if told."""
        if one.is_entry and other.is_entry:
            low, high = sorted((one, other), key=lambda end: end.name)
            return high.state.identity.address in low.dials
        return one.is_entry or other.is_entry

    def _open(self, pair: frozenset[str], ends: Any) -> None:
        session = Session(f's{next(self._numbers)}', ends)
        self.sessions[pair] = session
        for end in ends:
            delay = self._clock.randomness.uniform(0, self.delay_s)
            session.arrivals[end.name] = self._clock.now + delay
            self._clock.after(delay, end.session_opened, session)

    def _arrive(self, session: Session, receiver: Any, frame: Any) -> None:
        late_s = session.late_s if session.broken else 0
        if late_s is not None:
            self._clock.after(late_s, receiver.post, 'MessageReceived', *frame)
