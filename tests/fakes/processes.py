"""Drive the reducers as the shells of entry and agent do."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.agent import events as agent_events
from savoryrudder.agent import reducer as agent_reducer
from savoryrudder.entry import events as entry_events
from savoryrudder.entry import reducer as entry_reducer
from savoryrudder.protocol import messages

if TYPE_CHECKING:
    from fakes.links import Session
    from fakes.world import World

WALL_OFFSET_S = 1_700_000_000
TICK_S = 0.1


class Process:
    """Run one reducer; a frozen process handles its events when thawed."""

    def __init__(self, world: World, name: str, state: Any) -> None:
        self.world = world
        self.name = name
        self.state = state
        self.is_entry = name.startswith('e')
        self.alive = True
        self.frozen = False
        self.clock_rate = 1.0
        self.dials: set[str] = set()
        self.sessions: dict[str, Session] = {}
        self._inbox: list[Any] = []
        self._tick()

    @property
    def revision(self) -> int:
        """Return the configuration revision in force."""
        return int(self.state.revision)

    def post(self, kind: str, *fields: Any) -> None:
        """Handle an event now, or once the process is thawed."""
        if self.frozen:
            self._inbox.append((kind, *fields))
        elif self.alive:
            self._handle(kind, *fields)

    def thaw(self) -> None:
        """Handle what came in the meantime; a late tick is among it."""
        self.frozen = False
        inbox = self._inbox
        self._inbox = []
        position = self.world.clock.randomness.randint(0, len(inbox))
        inbox.insert(position, ('Tick',))
        for event in inbox:
            self.post(*event)

    def kill(self) -> None:
        """End without a word."""
        self.alive = False
        self.world.links.drop(self.name)
        self.world.callers.lose(self)

    def session_opened(self, session: Session) -> None:
        """Learn of a new session."""
        peer = next(end.name for end in session.ends if end is not self)
        self.post('LinkUp', peer, session)

    def session_ended(self, session: Session) -> None:
        """Learn of the end of a session."""
        peer = next(end.name for end in session.ends if end is not self)
        self.post('LinkDown', peer, session)

    def _tick(self) -> None:
        if not self.frozen:
            self.post('Tick')
        if self.alive:
            self.world.clock.after(TICK_S, self._tick)

    def _handle(self, kind: str, *fields: Any) -> None:
        if kind in {'LinkUp', 'LinkDown'}:
            fields = self._follow_session(kind, *fields)
        events = entry_events if self.is_entry else agent_events
        event_type = getattr(events, kind)
        now = self.world.clock.now
        # A clock that runs slow from 100 s on, when all worlds begin.
        now = 100 + (now - 100) * self.clock_rate
        wall = (now + WALL_OFFSET_S,) if 'wall' in event_type._fields else ()
        event = event_type(now, *wall, *fields)
        reducer = entry_reducer if self.is_entry else agent_reducer
        before = self.revision
        produced = reducer.reduce(self.state, event)
        self.world.note(self, event, produced)
        self.world.oracle.note_revision(self.name, before, self.revision)
        for effect in produced:
            self._execute(effect)

    def _follow_session(self, kind: str, peer: str, session: Session) -> Any:
        if kind == 'LinkUp':
            self.sessions[peer] = session
        elif self.sessions.get(peer) is session:
            self.sessions.pop(peer)
        return peer, session.name

    def _execute(self, effect: Any) -> None:
        carry_out = getattr(self, f'_on_{type(effect).__name__.lower()}', None)
        if carry_out is not None:
            carry_out(effect)

    def _on_send(self, effect: Any) -> None:
        self.world.links.send(self, effect.peer, effect.message)
        if isinstance(effect.message, messages.Leaving):
            self.world.oracle.note_leaving(self, self.world.clock.now)

    def _on_closelink(self, effect: Any) -> None:
        self.world.links.cut(self.name, effect.peer)

    def _on_exit(self, effect: Any) -> None:
        # What the last turn sent is still delivered.
        self.world.clock.after(0.05, self.kill)

    def _on_callstore(self, effect: Any) -> None:
        answered = partial(self.post, 'StoreAnswered', effect.call)
        self.world.store.call(self.name, effect.operation, answered)

    def _on_connectpeer(self, effect: Any) -> None:
        self.dials.add(effect.address)

    def _on_reply(self, effect: Any) -> None:
        self.world.callers.carry(effect.request, effect.answer)

    def _on_replydata(self, effect: Any) -> None:
        self.world.operator_answers[effect.request] = effect

    def _on_callupstream(self, effect: Any) -> None:
        self.world.upstreams.call(self, effect)

    def _on_stopupstreamcall(self, effect: Any) -> None:
        self.world.upstreams.finish(0.01, self, effect.task, 'unknown')
