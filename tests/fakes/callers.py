"""Simulate callers that may resubmit a job through another entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.protocol.messages import Answer
from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import TaskSpec
from savoryrudder.utils.identifiers import digest_of

if TYPE_CHECKING:
    from fakes.processes import Process
    from fakes.world import World

CLIENT = 'shop'
# Reasons that ask the caller to submit its job again under the same key.
_RETRYABLE_REASONS = frozenset(
    ('takeover', 'not-owner', 'in-doubt', 'stopping')
)
_MAX_RETRIES = 15


@dataclasses.dataclass
class Call:
    """Hold one request of a caller; `persistent` requests are retried."""

    kind: str
    key: str
    entry: Process
    sent_at: float
    payloads: tuple[bytes, ...]
    job: Job | None
    persistent: bool
    retries: int = 0
    answer: Answer | None = None
    answered_at: float = 0
    connection_lost: bool = False

    @property
    def status(self) -> str:
        """Return status and reason, empty while there is no answer."""
        if self.answer is None:
            return ''
        return f'{self.answer.status}/{self.answer.reason}'


def make_job(key: str, variant: str, operation: str, tasks: int) -> Job:
    """Create a job whose payloads name key, variant and task."""
    payloads = [f'{key}/{variant}/{index}'.encode() for index in range(tasks)]
    specs = tuple(TaskSpec(operation, payload) for payload in payloads)
    digest = digest_of(b'|'.join(payloads))
    return Job(CLIENT, key, 'pane', 'normal', 8000, specs, digest, '')


class Callers:
    """Send requests to entries and pass the answers to the oracle."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.calls: dict[int, Call] = {}
        self.delay_s = 0.002

    def submit(
        self, entry: Process, key: str, tasks: int = 2, **options: Any
    ) -> Call:
        """Submit a job or a copy; other options replace fields of the job."""
        variant = options.pop('variant', '')
        operation = options.pop('operation', 'cutting-plan')
        persistent = options.pop('persistent', False)
        job = make_job(key, variant, operation, tasks)._replace(**options)
        return self._send('submit', entry, key, job, persistent=persistent)

    def fetch(self, entry: Process, job: Job) -> Call:
        """Ask for the answer to an earlier submission."""
        return self._send('fetch', entry, job.key, job)

    def cancel(self, entry: Process, job: Job) -> Call:
        """Cancel a submission."""
        return self._send('cancel', entry, job.key, job)

    def deliver_answer(self, request: int, answer: Answer) -> None:
        """Deliver an answer unless the connection of its caller is lost."""
        self._world.clock.within(self.delay_s, self._receive, request, answer)

    def break_connections(self, entry: Process) -> None:
        """Break the connections to an entry whose process has ended."""
        for call in self.open_calls():
            if call.entry is entry:
                call.connection_lost = True
                self._schedule_retry(call)

    def open_calls(self) -> list[Call]:
        """Return the requests that are not answered and not lost."""
        calls = self.calls.values()
        return [
            call
            for call in calls
            if call.answer is None and not call.connection_lost
        ]

    def _send(
        self, kind: str, entry: Process, key: str, job: Any, **fields: Any
    ) -> Call:
        payloads = tuple(task.payload for task in job.tasks) if job else ()
        fields.setdefault('persistent', False)
        now = self._world.clock.now
        call = Call(kind, key, entry, now, payloads, job, **fields)
        request = len(self.calls) + 1
        self.calls[request] = call
        if kind == 'submit':
            self._world.oracle.note_copy(call)
        self._world.clock.within(
            self.delay_s, self._send_to_entry, request, call
        )
        return call

    def _send_to_entry(self, request: int, call: Call) -> None:
        if call.entry.alive:
            self._post_to_entry(request, call)
        else:
            call.connection_lost = True
            self._schedule_retry(call)

    def _post_to_entry(self, request: int, call: Call) -> None:
        if call.kind == 'submit':
            call.entry.post('JobSubmitted', request, call.job, 10)
        elif call.kind == 'fetch':
            call.entry.post('AnswerRequested', request, CLIENT, call.key, 0)
        else:
            call.entry.post('JobCancelled', request, CLIENT, call.key)

    def _receive(self, request: int, answer: Answer) -> None:
        call = self.calls[request]
        if call.connection_lost:
            return
        self._world.oracle.note_answer(call, answer, self._world.clock.now)
        if answer.status == 'running' or answer.reason in _RETRYABLE_REASONS:
            self._schedule_retry(call)

    def _schedule_retry(self, call: Call) -> None:
        if call.persistent and call.retries < _MAX_RETRIES:
            self._world.clock.after(0.5, self._resubmit, call)

    def _resubmit(self, call: Call) -> None:
        entry = self._world.pick_entry()
        if entry is None:
            self._world.clock.after(1, self._resubmit, call)
            return
        fields = {'persistent': True, 'retries': call.retries + 1}
        self._send('submit', entry, call.key, call.job, **fields)
