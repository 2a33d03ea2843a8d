"""Drive the reducer of an agent by hand."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from savoryrudder.jobs.model import Room
from savoryrudder.protocol import work
from savoryrudder.utils import effects
from savoryrudder.worker import events
from savoryrudder.worker.reducer import reduce
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

EffectT = TypeVar('EffectT')
LINK = 'l1'
OWNER = 'e1#1'
NEED = Room(2000, 64, 0)


class WorkerDriver:
    """Hold an agent with one linked entry and an executor without runs."""

    def __init__(self) -> None:
        """Start, link and survey the executor."""
        identity = WorkerIdentity('a1', 'a1#1', 'zone')
        self.state = WorkerState(identity, WorkerTiming(1, 0.05), fence=1)
        self.now = 100.0
        self.effects: list[Any] = []
        self.post(events.LinkUp(self.now, LINK))
        self.receive(work.EntryHello('e1', OWNER, 'address'))
        self.beat()
        self.look()

    def post(self, event: Any) -> None:
        """Reduce an event."""
        self.effects = reduce(self.state, event)

    def receive(self, message: Any) -> None:
        """Reduce a message of the entry."""
        self.post(events.MessageReceived(self.now, LINK, message))

    def beat(self, born_ms: int = 5, *, draining: bool = False) -> None:
        """Let the executor report itself."""
        self.post(
            events.ExecutorSeen(
                self.now,
                'x1',
                born_ms,
                int(self.now * 1000),
                'pane',
                'address',
                (),
                Room(8000, 4096, 0),
                draining,
                clock_ms=1000,
            ),
        )

    def start(self, task: str, run: int = 1, *, durable: bool = False) -> None:
        """Let the entry start a task."""
        self.receive(work.StartTask(1, task, run, 's', NEED, 200, durable))

    def answer_start(self, task: str, verdict: str, run: int = 1) -> None:
        """Let the executor answer a start."""
        self.post(events.StartAnswered(self.now, task, run, verdict, 1000))

    def look(
        self,
        running: tuple[events.RunListed, ...] = (),
        ended: tuple[events.EndListed, ...] = (),
    ) -> None:
        """Let the executor answer a renewal that was sent just now."""
        answer = events.LeaseAnswered(self.now, self.now, 0, running, ended)
        self.post(answer)

    def tick(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self.post(events.Tick(self.now))

    def found(self, kind: type[EffectT]) -> list[EffectT]:
        """Return the last effects of one kind."""
        return [one for one in self.effects if isinstance(one, kind)]

    def sent(self, kind: type[EffectT]) -> list[EffectT]:
        """Return the messages of one kind among the last effects."""
        messages = [one.message for one in self.found(effects.Send)]
        return [one for one in messages if isinstance(one, kind)]
