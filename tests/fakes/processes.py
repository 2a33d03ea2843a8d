"""Run the reducers of entry and agent as their daemons do."""

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
    """Run one reducer; a frozen process queues its events until thawed."""

    def __init__(self, world: World, name: str, state: Any) -> None:
        self.world = world
        self.name = name
        self.state = state
        self.is_entry = name.startswith('e')
        self.alive = True
        self.frozen = False
        self.clock_rate = 1.0
        self.dialled_addresses: set[str] = set()
        self.sessions: dict[str, Session] = {}
        self._inbox: list[Any] = []
        self._tick()

    @property
    def revision(self) -> int:
        """Return the configuration revision in force."""
        return int(self.state.revision)

    def post(self, kind: str, *fields: Any) -> None:
        """Handle an event now, or after the thaw of a frozen process."""
        if self.frozen:
            self._inbox.append((kind, *fields))
        elif self.alive:
            self._handle(kind, *fields)

    def thaw(self) -> None:
        """Handle the queued events and a late tick at a random position."""
        self.frozen = False
        inbox = self._inbox
        self._inbox = []
        position = self.world.clock.randomness.randint(0, len(inbox))
        inbox.insert(position, ('Tick',))
        for event in inbox:
            self.post(*event)

    def kill(self) -> None:
        """End the process without a graceful stop."""
        self.alive = False
        self.world.links.drop(self.name)
        self.world.callers.break_connections(self)

    def session_opened(self, session: Session) -> None:
        """Handle the start of a session."""
        peer = next(end.name for end in session.ends if end is not self)
        self.post('LinkUp', peer, session)

    def session_ended(self, session: Session) -> None:
        """Handle the end of a session."""
        peer = next(end.name for end in session.ends if end is not self)
        self.post('LinkDown', peer, session)

    def _tick(self) -> None:
        if not self.frozen:
            self.post('Tick')
        if self.alive:
            self.world.clock.after(TICK_S, self._tick)

    def _handle(self, kind: str, *fields: Any) -> None:
        if kind in {'LinkUp', 'LinkDown'}:
            fields = self._update_session(kind, *fields)
        events = entry_events if self.is_entry else agent_events
        event_type = getattr(events, kind)
        now = self.world.clock.now
        # All worlds start at 100 s; from there on the clock may run slow.
        now = 100 + (now - 100) * self.clock_rate
        wall = (now + WALL_OFFSET_S,) if 'wall' in event_type._fields else ()
        event = event_type(now, *wall, *fields)
        reducer = entry_reducer if self.is_entry else agent_reducer
        previous_revision = self.revision
        produced_effects = reducer.reduce(self.state, event)
        self.world.notify_observers(self, event, produced_effects)
        self.world.oracle.note_revision(
            self.name, previous_revision, self.revision
        )
        for effect in produced_effects:
            self._execute(effect)

    def _update_session(self, kind: str, peer: str, session: Session) -> Any:
        if kind == 'LinkUp':
            self.sessions[peer] = session
        elif self.sessions.get(peer) is session:
            self.sessions.pop(peer)
        return peer, session.name

    def _execute(self, effect: Any) -> None:
        handler = getattr(self, f'_on_{type(effect).__name__.lower()}', None)
        if handler is not None:
            handler(effect)

    def _on_send(self, effect: Any) -> None:
        self.world.links.send(self, effect.peer, effect.message)
        if isinstance(effect.message, messages.Leaving):
            self.world.oracle.note_leaving(self, self.world.clock.now)

    def _on_closelink(self, effect: Any) -> None:
        self.world.links.cut(self.name, effect.peer)

    def _on_exit(self, effect: Any) -> None:
        # Leaves time to deliver the messages of the last turn.
        self.world.clock.after(0.05, self.kill)

    def _on_callstore(self, effect: Any) -> None:
        answered = partial(self.post, 'StoreAnswered', effect.call)
        self.world.store.call(self.name, effect.operation, answered)

    def _on_connectpeer(self, effect: Any) -> None:
        self.dialled_addresses.add(effect.address)

    def _on_reply(self, effect: Any) -> None:
        self.world.callers.deliver_answer(effect.request_id, effect.answer)

    def _on_replyjson(self, effect: Any) -> None:
        self.world.operator_answers[effect.request_id] = effect

    def _on_callupstream(self, effect: Any) -> None:
        self.world.upstreams.call(self, effect)

    def _on_stopupstreamcall(self, effect: Any) -> None:
        self.world.upstreams.finish(0.01, self, effect.task, 'unknown')
