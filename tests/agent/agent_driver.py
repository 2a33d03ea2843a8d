"""Drive the agent reducer as the daemon's runtime does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.agent import events
from savoryrudder.agent import state as agent_state
from savoryrudder.agent.reducer import reduce
from savoryrudder.protocol import messages
from savoryrudder.utils import effects
from savoryrudder.utils.identifiers import partition_of

if TYPE_CHECKING:
    from savoryrudder.agent.effects import AgentEffect

IDENTITY = agent_state.Identity(
    agent='a1',
    incarnation='i1',
    service='pane',
    zone='petaling',
    slots=2,
    memory_mb=512,
    operations=('cut',),
)


def task_key(number: int) -> messages.TaskKey:
    """Return a task key; a number up to 63 is also the task's partition."""
    return (number.to_bytes(4, 'big') + bytes(12), 0)


class AgentDriver:
    """Apply events to an agent and keep the effects of the last one."""

    def __init__(self, slots: int = 2, **limits: float) -> None:
        """Create an agent without sessions; `limits` override defaults."""
        identity = IDENTITY._replace(slots=slots)
        self.state = agent_state.new_state(
            identity,
            agent_state.Limits(**limits),
        )
        self.now = 100.0
        self.sessions: dict[str, str] = {}
        self.effects: list[AgentEffect] = []

    def connect_and_claim(
        self, entry: str, *claims: tuple[int, int], session: str = ''
    ) -> None:
        """Open a session and claim all partitions, or the given ones."""
        self.connect(entry, session or f'{entry}-1')
        partitions = claims or tuple((number, 1) for number in range(64))
        self.receive(entry, messages.Claim(1, partitions))

    def connect(self, entry: str, session: str) -> None:
        """Open a session."""
        self.sessions[entry] = session
        self._apply(events.LinkUp(self.now, entry, session))

    def disconnect(self, entry: str) -> None:
        """End the session of an entry."""
        self._apply(events.LinkDown(self.now, entry, self.sessions[entry]))

    def receive(
        self,
        entry: str,
        message: messages.Message,
        revision: int = 0,
        session: str = '',
    ) -> list[AgentEffect]:
        """Deliver a message on the entry's session."""
        session = session or self.sessions[entry]
        return self._apply(
            events.MessageReceived(self.now, entry, session, revision, message),
        )

    def start(
        self,
        entry: str,
        number: int,
        epoch: int = 1,
        deadline_ms: int = 5000,
        idempotent: bool = False,
    ) -> list[AgentEffect]:
        """Deliver the start of a single-task job."""
        key = task_key(number)
        return self.receive(
            entry,
            messages.Start(
                *key,
                partition_of(key[0]),
                epoch,
                'cut',
                b'{}',
                deadline_ms,
                idempotent,
                '',
            ),
        )

    def finish(
        self,
        number: int,
        outcome: str = 'complete',
        result: bytes = b'plan',
    ) -> list[AgentEffect]:
        """End the upstream call of a single-task job."""
        return self.finish_task(task_key(number), outcome, result)

    def finish_task(
        self,
        key: messages.TaskKey,
        outcome: str = 'complete',
        result: bytes = b'plan',
    ) -> list[AgentEffect]:
        """End the upstream call of any task."""
        return self._apply(
            events.UpstreamFinished(self.now, key, outcome, result, ''),
        )

    def advance(self, seconds: float) -> list[AgentEffect]:
        """Advance the clock and send a tick."""
        self.now += seconds
        return self._apply(events.Tick(self.now))

    def drain(self, timeout_s: float = 30) -> list[AgentEffect]:
        """Request a graceful stop."""
        return self._apply(events.DrainRequested(self.now, timeout_s))

    def sent(self, kind: type, entry: str = '') -> list[messages.Message]:
        """Return the messages of one type that the last event sent."""
        return [
            effect.message
            for effect in self.effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, kind)
            and entry in ('', effect.peer)
        ]

    def emitted(self, kind: type) -> list[AgentEffect]:
        """Return the effects of one type that the last event had."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def counted(self, name: str) -> int:
        """Return what the last event added to a counter."""
        return sum(
            effect.amount
            for effect in self.emitted(effects.Count)
            if effect.name == name
        )

    def _apply(self, event: events.AgentEvent) -> list[AgentEffect]:
        self.effects = reduce(self.state, event)
        return self.effects
