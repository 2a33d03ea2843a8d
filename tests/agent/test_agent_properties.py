"""Check the agent under arbitrary interleavings of two entries.

The model consists of a store that assigns partitions, two entries that act on
what the store and the agent told them last, and a second agent that runs tasks
which this agent provably has not started.
"""

from __future__ import annotations

from agent_driver import AgentDriver
from agent_driver import task_key
from agent_oracle import Oracle
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from savoryrudder.protocol import messages
from savoryrudder.utils.identifiers import partition_of

SLOTS = 2
CAPACITY = 3
ENTRY_NAMES = ('e1', 'e2')
# Tasks alternate between the partitions 1 and 2.
TASK_NUMBERS = tuple(64 * (index // 2) + index % 2 + 1 for index in range(50))
PARTITIONS = (1, 2)
entries = strategies.sampled_from(ENTRY_NAMES)
# How many tasks ago a task was first used; 0 stands for a new task.
ages = strategies.sampled_from((0, 0, 1, 1, 2, 3))
positions = strategies.integers(0, 3)


class AgentMachine(RuleBasedStateMachine):
    """Drive the reducer and check each effect against the model."""

    def __init__(self) -> None:
        super().__init__()
        self.agent = AgentDriver(slots=SLOTS, prefetch=CAPACITY - SLOTS)
        self.oracle = Oracle(self.agent)
        self.owner = {1: (1, 'e1'), 2: (1, 'e2')}
        # The epoch in which an entry believes it owns a partition, or 0.
        self.believed_epochs = {'e1': {1: 1, 2: 0}, 'e2': {1: 0, 2: 1}}
        self.delayed: list[tuple[str, str, messages.Message]] = []
        self.sessions = 0
        self.newest_index = 0
        # Tasks that an entry knows to have started on the other agent.
        self.started_elsewhere: set[tuple[str, messages.TaskKey]] = set()

    @initialize(first=entries)
    def connect_both(self, first: str) -> None:
        """Open the first sessions."""
        self.connect(first)
        self.connect('e2' if first == 'e1' else 'e1')

    def connect(self, entry: str) -> None:
        """Open a session, or replace the open one, and claim."""
        self.sessions += 1
        self.oracle.open_session(entry, f's{self.sessions}')
        claims = tuple(
            pair for pair in self.believed_epochs[entry].items() if pair[1]
        )
        self._send(entry, messages.Claim(1, claims))

    @rule(entry=entries, down=strategies.booleans())
    def interrupt(self, entry: str, down: bool) -> None:
        """End a session, or replace it."""
        if down and entry in self.oracle.credits:
            self.oracle.end_session(entry)
            self.agent.disconnect(entry)
            self.oracle.check_effects()
        else:
            self.connect(entry)

    @rule(
        entry=entries,
        partition=strategies.sampled_from(PARTITIONS),
        late=strategies.booleans(),
    )
    def take_over(self, entry: str, partition: int, late: bool) -> None:
        """Change the owner in the store; the former owner is not notified."""
        if self.owner[partition][1] == entry:
            return
        epoch = self.owner[partition][0] + 1
        self.owner[partition] = (epoch, entry)
        self.believed_epochs[entry][partition] = epoch
        self._learn_from_other_agent(entry, partition)
        self._send(entry, messages.Claim(2, ((partition, epoch),)), late)

    @precondition(lambda machine: any(machine.oracle.credits.values()))
    @rule(
        tasks=strategies.lists(ages, min_size=1, max_size=CAPACITY),
        deadline_ms=strategies.sampled_from((9000, 9000, 400, 0)),
        idempotent=strategies.booleans(),
        late=strategies.sampled_from((False, False, True)),
        copies=strategies.sampled_from((1, 2)),
    )
    def start(
        self,
        tasks: list[int],
        deadline_ms: int,
        idempotent: bool,
        late: bool,
        copies: int,
    ) -> None:
        """Send starts, at once or late, once or twice."""
        for age in tasks:
            key = self._key(age)
            entry = self._entry_to_start(key)
            if entry is None:
                continue
            partition = partition_of(key[0])
            self.oracle.outstanding_starts.add((entry, key))
            message = messages.Start(
                *key,
                partition,
                self.believed_epochs[entry][partition],
                'cut',
                b'',
                deadline_ms,
                idempotent,
                '',
            )
            for _ in range(copies):
                self._send(entry, message, late)

    @rule(entry=entries, age=ages, late=strategies.booleans())
    def withdraw(self, entry: str, age: int, late: bool) -> None:
        """Cancel a task that may be unknown, waiting, running or ended."""
        self._send(entry, messages.Withdraw((self._key(age),)), late)

    @rule(entry=entries, age=ages)
    def acknowledge(self, entry: str, age: int) -> None:
        """Acknowledge a task, whether or not it has ended."""
        self._send(entry, messages.Acknowledge((self._key(age),)))

    @rule(entry=entries, queued=strategies.integers(0, 5))
    def demand(self, entry: str, queued: int) -> None:
        """Report queued tasks."""
        self._send(entry, messages.Demand(queued))

    @precondition(lambda machine: machine.oracle.recalled)
    @rule(entry=entries, amount=strategies.integers(0, CAPACITY))
    def give_back(self, entry: str, amount: int) -> None:
        """Return credits, in answer to a recall or without one."""
        returned = min(amount, self.oracle.credits.get(entry, 0))
        if entry in self.oracle.credits:
            self._send(entry, messages.ReturnCredits(returned))

    @precondition(lambda machine: machine.delayed)
    @rule(position=positions, keep=strategies.booleans())
    def deliver_late(self, position: int, keep: bool) -> None:
        """Deliver any delayed message, possibly again later."""
        position = min(position, len(self.delayed) - 1)
        delivery = self.delayed[position]
        if not keep:
            self.delayed.pop(position)
        self.oracle.deliver(*delivery)

    @precondition(lambda machine: machine.oracle.running)
    @rule(
        position=strategies.integers(0, SLOTS - 1),
        outcome=strategies.sampled_from(('complete', 'unknown', 'not-run')),
        copies=strategies.sampled_from((1, 2)),
    )
    def finish(self, position: int, outcome: str, copies: int) -> None:
        """End a running call; the event may be duplicated."""
        running = sorted(self.oracle.running)
        for _ in range(copies):
            self.oracle.finish(running[position % len(running)], outcome)

    @rule(entry=entries, age=ages)
    def run_elsewhere(self, entry: str, age: int) -> None:
        """Start a task on the other agent if it provably has not started."""
        key = self._key(age)
        partition = partition_of(key[0])
        epoch = self.believed_epochs[entry][partition]
        if self.owner[partition] != (epoch, entry):
            return
        if (entry, partition, epoch) not in self.oracle.answered_claims:
            return
        started = self.oracle.accepted | self.oracle.called
        if (
            key not in started
            and (entry, key) not in self.oracle.outstanding_starts
        ):
            self.oracle.called.add(key)
            self.started_elsewhere.add((entry, key))

    @rule(seconds=strategies.sampled_from((0.1, 0.5, 2)))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock past deadlines, but not past retention times."""
        self.oracle.advance(seconds)

    @invariant()
    def credits_fit_the_slots(self) -> None:
        """Guard against granting more credits than there is capacity."""
        promised = sum(self.oracle.credits.values())
        assert promised + len(self.oracle.active) <= CAPACITY
        assert len(self.oracle.running) <= SLOTS

    def teardown(self) -> None:
        """Guard against an accepted task that is not reported to its owner."""
        while self.oracle.running:
            self.oracle.finish(min(self.oracle.running), 'complete')
        self.oracle.reported.clear()
        for entry in ENTRY_NAMES:
            self.connect(entry)
        for key in self.oracle.accepted:
            owner = self.owner[partition_of(key[0])][1]
            assert self.oracle.reported[key] == owner
        self.agent.drain()
        for name in ENTRY_NAMES:
            keys = tuple(map(task_key, TASK_NUMBERS))
            self._send(name, messages.Acknowledge(keys))
            self.give_back(name, CAPACITY)
        assert self.agent.state.exited

    def _key(self, age: int) -> messages.TaskKey:
        self.newest_index += age == 0
        return task_key(
            TASK_NUMBERS[max(0, self.newest_index - age) % len(TASK_NUMBERS)]
        )

    def _learn_from_other_agent(self, entry: str, partition: int) -> None:
        """Note what runs elsewhere; an owner starts nothing before it knows.

        It still knows when it has lost the partition without notice.
        """
        self.started_elsewhere |= {
            (entry, key)
            for _, key in self.started_elsewhere
            if partition_of(key[0]) == partition
        }

    def _entry_to_start(self, key: messages.TaskKey) -> str | None:
        """Return an entry that may start a task according to its knowledge."""
        partition = partition_of(key[0])
        not_accepted_here = self.oracle.called - self.oracle.accepted
        for entry in ENTRY_NAMES:
            epoch = self.believed_epochs[entry][partition]
            if (
                self.owner[partition] == (epoch, entry)
                and key in not_accepted_here
            ):
                continue
            # Nor does a former owner start what it knows to run elsewhere.
            if (entry, key) in self.started_elsewhere:
                continue
            if epoch and self.oracle.credits.get(entry):
                return entry
        return None

    def _send(
        self,
        entry: str,
        message: messages.Message,
        late: bool = False,
    ) -> None:
        if entry not in self.oracle.credits:
            return
        delivery = (entry, self.agent.sessions[entry], message)
        if late:
            self.delayed.append(delivery)
        else:
            self.oracle.deliver(*delivery)


AgentMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=50,
)
TestAgentMachine = seed(1)(AgentMachine.TestCase)


def test_overdue_task_without_a_linked_owner_is_no_lost_task() -> None:
    """Replay a task that waits past its deadline while its owner is away."""
    machine = AgentMachine()
    machine.connect_both('e1')
    # Only e1 has credits, so that every other task is not sent.
    for tasks, deadline_ms in (([0, 0, 0, 0], 9000), ([0, 0], 400)):
        machine.start(
            tasks, deadline_ms, idempotent=False, late=False, copies=1
        )
    assert machine.oracle.active.keys() - machine.oracle.running
    machine.interrupt('e1', down=True)
    machine.pass_time(0.5)
    machine.credits_fit_the_slots()
    assert machine.oracle.active.keys() == machine.oracle.running
    machine.teardown()


def test_former_owner_does_not_start_what_runs_elsewhere() -> None:
    """Replay a task of another agent whose partition changes owners twice."""
    machine = AgentMachine()
    machine.connect_both('e1')
    machine.run_elsewhere('e2', age=0)
    machine.take_over('e1', partition=2, late=True)
    machine.take_over('e2', partition=2, late=True)
    # Without the claim of e2, the agent takes e1 for the present owner.
    machine.start([0, 1], 9000, idempotent=False, late=False, copies=1)
    assert len(machine.started_elsewhere) == 2
    machine.teardown()


def test_call_ended_not_run_after_its_deadline_stays_unknown() -> None:
    """Replay an overdue call that ends while its owner is away."""
    machine = AgentMachine()
    machine.connect_both('e1')
    machine.start([0, 0], 400, idempotent=False, late=False, copies=1)
    machine.interrupt('e1', down=True)
    machine.pass_time(2)
    machine.finish(0, 'not-run', copies=1)
    assert machine.oracle.accepted
    machine.teardown()
