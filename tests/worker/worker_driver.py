"""Drive the reducer of an agent step by step."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.utils import effects
from savoryrudder.worker import events
from savoryrudder.worker import verdicts
from savoryrudder.worker.effects import ExecutorInstance
from savoryrudder.worker.reducer import reduce
from savoryrudder.worker.state import WorkerIdentity
from savoryrudder.worker.state import WorkerState
from savoryrudder.worker.state import WorkerTiming

EffectT = TypeVar('EffectT')
LINK = 'l1'
OWNER = 'e1#1'
DEMAND = Resources(2000, 64, 0)


class WorkerDriver:
    """Feed events to an agent with one linked entry and an idle executor."""

    def __init__(self, first_executor: str = 'x1') -> None:
        """Link the entry, and let the executor report itself and its runs.

        One with another name than `x1` is not there, and answers nothing.
        """
        identity = WorkerIdentity('a1', 'a1#1', 'zone')
        self.state = WorkerState(identity, WorkerTiming(1, 0.05), fence=1)
        self.now = 100.0
        self.effects: list[Any] = []
        self.post(events.LinkUp(self.now, LINK))
        self.receive(work.EntryHello('e1', OWNER, 'address'))
        self.send_heartbeat(name=first_executor)
        if first_executor == 'x1':
            self.answer_renewal()

    def post(self, event: Any) -> None:
        """Reduce an event and keep its effects."""
        self.effects = reduce(self.state, event)

    def receive(self, message: Any) -> None:
        """Reduce a message from the entry."""
        self.post(events.MessageReceived(self.now, LINK, message))

    def send_heartbeat(
        self,
        started_ms: int = 5,
        *,
        draining: bool = False,
        name: str = 'x1',
        clock_ms: int = 1000,
        service: str = 'pane',
        address: str = 'address',
        cold: bool = False,
    ) -> None:
        """Let the executor send a heartbeat."""
        self.post(
            events.ExecutorHeartbeat(
                self.now,
                name,
                started_ms,
                int(self.now * 1000),
                service,
                address,
                (),
                Resources(8000, 4096, 0),
                draining,
                clock_ms=clock_ms,
                cold=cold,
            ),
        )

    def answer_probe(
        self,
        verdict: str = verdicts.PRESENT,
        started_ms: int = 6,
        name: str = 'x1',
        address: str = 'address',
    ) -> None:
        """Let an instance answer whether it is there."""
        instance = ExecutorInstance(name, address)
        self.post(
            events.InstanceProbed(self.now, instance, verdict, started_ms),
        )

    def replace_executor(
        self,
        started_ms: int = 6,
        *,
        name: str = 'x1',
        clock_ms: int = 1000,
    ) -> None:
        """Let another instance send a heartbeat and answer the probe."""
        self.send_heartbeat(started_ms, name=name, clock_ms=clock_ms)
        self.answer_probe(started_ms=started_ms, name=name)

    def start(self, task: str, run: int = 1, *, durable: bool = False) -> None:
        """Let the entry ask for the start of a task."""
        self.receive(work.StartTask(1, task, run, 's', DEMAND, 200, durable))

    def answer_start(self, task: str, verdict: str, run: int = 1) -> None:
        """Let the executor answer the request to start a task."""
        self.post(events.StartAnswered(self.now, task, run, verdict, 1000))

    def answer_renewal(
        self,
        running: tuple[events.RunProgress, ...] = (),
        ended: tuple[events.RunEnd, ...] = (),
        started_ms: int = 0,
        fence: int | None = None,
        *,
        more_ends: bool = False,
        sent_at: float | None = None,
    ) -> None:
        """Let the executor answer a renewal, by default one sent right now."""
        self.post(
            events.RenewalAnswered(
                self.now,
                self.now if sent_at is None else sent_at,
                0,
                running,
                ended,
                self.state.fence if fence is None else fence,
                started_ms,
                more_ends,
            ),
        )

    def fail_renewal(self, *, fenced: bool = False) -> None:
        """Let the last renewal fail."""
        fence = self.state.fence
        failure = events.RenewalFailed(self.now, 'failed', fence, fenced)
        self.post(failure)

    def tick(self, seconds: float) -> None:
        """Advance the time and reduce a tick."""
        self.now += seconds
        self.post(events.Tick(self.now))

    def effects_of(self, effect_type: type[EffectT]) -> list[EffectT]:
        """Return the effects of the last event that have one type."""
        return [
            effect for effect in self.effects if isinstance(effect, effect_type)
        ]

    def messages_of(self, message_type: type[EffectT]) -> list[EffectT]:
        """Return the messages of one type that the last event sent."""
        messages = [send.message for send in self.effects_of(effects.Send)]
        return [
            message for message in messages if isinstance(message, message_type)
        ]
