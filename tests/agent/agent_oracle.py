"""Model what an agent has promised, independently of its own state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savoryrudder.agent.effects import CallUpstream
from savoryrudder.agent.effects import StopUpstreamCall
from savoryrudder.protocol import messages
from savoryrudder.utils import effects
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from agent_driver import AgentDriver

# How long after its deadline a running task is recorded as unknown.
DEADLINE_GRACE_S = 1.0


class Oracle:
    """Check every effect against what was promised before."""

    def __init__(self, agent: AgentDriver) -> None:
        self._agent = agent
        # The highest epoch of each partition and the entry that claimed it.
        self.owners: dict[int, tuple[int, str]] = {}
        self.claimed: dict[str, set[int]] = {}
        # Claims (entry, partition, epoch) that were answered with records on
        # the entry's present session.
        self.answered_claims: set[tuple[str, int, int]] = set()
        self.credits: dict[str, int] = {}
        self.recalled: set[str] = set()
        # Starts sent on the entry's present session and not rejected there.
        self.outstanding_starts: set[tuple[str, messages.TaskKey]] = set()
        self.accepted: set[messages.TaskKey] = set()
        # The deadlines of tasks that take up capacity: waiting or running.
        self.active: dict[messages.TaskKey, float] = {}
        self.running: set[messages.TaskKey] = set()
        self.called: set[messages.TaskKey] = set()
        self.never_started: set[messages.TaskKey] = set()
        self.reported: dict[messages.TaskKey, str] = {}

    def open_session(self, entry: str, session: str) -> None:
        """Open a session, replacing any earlier one of the entry."""
        self.end_session(entry)
        self.credits[entry] = 0
        self.claimed[entry] = set()
        self._agent.connect(entry, session)
        self.check_effects()

    def end_session(self, entry: str) -> None:
        """Discard what was promised on the entry's session."""
        self.credits.pop(entry, None)
        self.claimed.pop(entry, None)
        self.recalled.discard(entry)
        self.outstanding_starts = {
            pair for pair in self.outstanding_starts if pair[0] != entry
        }
        self.answered_claims = {
            claim for claim in self.answered_claims if claim[0] != entry
        }

    def deliver(
        self,
        entry: str,
        session: str,
        message: messages.Message,
    ) -> None:
        """Deliver a message and check the agent's answer."""
        valid = entry in self.credits and session == self._agent.sessions[entry]
        if valid and isinstance(message, messages.ReturnCredits):
            self.credits[entry] -= message.credits
            self.recalled.discard(entry)
        self._agent.receive(entry, message, session=session)
        if not valid:
            assert not self._agent.emitted(effects.Send)
        elif isinstance(message, messages.Claim):
            self._check_claim(entry, message)
        elif isinstance(message, messages.Start):
            self._check_start(entry, message)
        self.check_effects()

    def finish(self, key: messages.TaskKey, outcome: str) -> None:
        """End an upstream call and check that its owner is notified."""
        was_running = key in self.running
        self.running.discard(key)
        deadline = self.active.pop(key, 0)
        # A task that is unknown since its deadline stays accepted.
        in_time = deadline > self._agent.now - DEADLINE_GRACE_S
        if was_running and outcome == 'not-run' and in_time:
            self.accepted.discard(key)
        self._agent.finish(int.from_bytes(key[0][:4], 'big'), outcome)
        partition = partition_of(key[0])
        owner = self.owners[partition][1]
        kind = messages.Rejected if outcome == 'not-run' else messages.Finished
        if was_running:
            owner_linked = partition in self.claimed.get(owner, ())
            notified = bool(self._agent.sent(kind, owner))
            assert notified == (owner_linked and in_time)
        self.check_effects()

    def advance(self, seconds: float) -> None:
        """Advance the clock and check that overdue tasks do not wait."""
        self._agent.advance(seconds)
        self.check_effects()
        for key in self.active.keys() - self.running:
            if self.active[key] <= self._agent.now:
                self._drop_overdue(key)

    def check_effects(self) -> None:
        """Check and record every effect of the last event."""
        for effect in self._agent.effects:
            match effect:
                case CallUpstream(task=key):
                    assert key not in self.called | self.never_started
                    assert self.active[key] > self._agent.now
                    self.called.add(key)
                    self.running.add(key)
                case StopUpstreamCall(task=key):
                    assert key in self.running
                case effects.CloseLink(peer=entry):
                    self.end_session(entry)
                case effects.Send(peer=entry, message=message):
                    self._check_message(entry, message)

    def _check_claim(self, entry: str, message: messages.Claim) -> None:
        answer = self._agent.sent(messages.Records)[0]
        current: set[int] = set()
        for partition, epoch in message.partitions:
            stale = epoch < self.owners.get(partition, (0, ''))[0]
            assert stale == (partition in answer.stale)
            if not stale:
                current.add(partition)
                self.owners[partition] = (epoch, entry)
                self.claimed[entry].add(partition)
                self.answered_claims.add((entry, partition, epoch))
        # An owner takes a task without a record as one that never started.
        assert {
            (record.submission, record.task) for record in answer.records
        } == {key for key in self.accepted if partition_of(key[0]) in current}
        for record in answer.records:
            if record.state not in {'waiting', 'running'}:
                self.reported[(record.submission, record.task)] = entry

    def _check_start(self, entry: str, message: messages.Start) -> None:
        key = (message.submission, message.task)
        highest = self.owners.get(message.partition, (0, ''))[0]
        if message.epoch > highest:
            self.owners[message.partition] = (message.epoch, entry)
            self.claimed[entry].add(message.partition)
        if self._agent.emitted(effects.CloseLink):
            return
        if self.credits[entry]:
            self.credits[entry] -= 1
        rejected = self._agent.sent(messages.Rejected)
        if message.epoch < highest or rejected or key in self.accepted:
            assert not self._agent.emitted(CallUpstream)
            return
        self.accepted.add(key)
        self.active[key] = self._agent.now + message.deadline_ms / MS_PER_S

    def _check_message(self, entry: str, message: messages.Message) -> None:
        match message:
            case messages.GrantCredits(credits=amount):
                assert amount > 0
                self.credits[entry] += amount
            case messages.RecallCredits():
                assert entry not in self.recalled
                self.recalled.add(entry)
            case messages.Finished(record=record, credits=amount):
                self.credits[entry] += amount
                self.reported[(record.submission, record.task)] = entry
            case messages.Rejected(submission=submission, task=task):
                key = (submission, task)
                self._check_unstarted(entry, key, message.reason)
            case messages.Withdrawn(unstarted=keys):
                for withdrawn_key in keys:
                    self._check_unstarted(entry, withdrawn_key, 'withdrawn')

    def _check_unstarted(
        self,
        entry: str,
        key: messages.TaskKey,
        reason: str,
    ) -> None:
        assert key not in self.accepted & self.called
        self.outstanding_starts.discard((entry, key))
        if reason == 'deadline-passed' and key in self.active:
            assert self.active[key] <= self._agent.now
        # A fenced start says nothing about starts by the present owner.
        if reason != 'stale-epoch':
            self._drop_unstarted(key)

    def _drop_overdue(self, key: messages.TaskKey) -> None:
        """Drop a task whose owner learns of its end by its next claim."""
        partition = partition_of(key[0])
        owner = self.owners[partition][1]
        # An owner that has claimed the partition is sent a rejection.
        assert partition not in self.claimed.get(owner, ())
        self._drop_unstarted(key)

    def _drop_unstarted(self, key: messages.TaskKey) -> None:
        self.never_started.add(key)
        self.accepted.discard(key)
        self.active.pop(key, None)
