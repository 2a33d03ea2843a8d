"""Check which jobs are refused on arrival, and why."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.entry.admission import Admission
from savoryrudder.entry.admission import Refusal
from savoryrudder.entry.limits import TokenBucket
from savoryrudder.entry.placement import Fleet
from savoryrudder.entry.queueing import QueuedTask
from savoryrudder.entry.queueing import ServiceQueue
from savoryrudder.policy.checks import parse_policy
from savoryrudder.protocol.messages import Hello
from savoryrudder.protocol.messages import Job
from savoryrudder.protocol.messages import TaskSpec

_TEXT = """
[services.pane]
depends_on = ['stock']
memory_mb = 100
[services.pane.operations]
cut = { idempotent = false, expected_ms = 1000 }
[services.stock.operations]
look-up = { idempotent = true, expected_ms = 60 }
[clients.shop]
rate = 10
burst = 20
concurrent = 30
highest_urgency = 'urgent'
[clients.office]
rate = 100000
burst = 100000
concurrent = 100000
highest_urgency = 'critical'
[urgency.background]
share = 0.1
[limits]
max_tasks = 50
max_payload_bytes = 100
max_deadline_ms = 60000
"""
_POLICY = parse_policy(_TEXT).ok


class AdmissionHarness:
    """Submit jobs to an admission control with a fleet and queues."""

    def __init__(self) -> None:
        """Link one agent for each service."""
        self.admission = Admission()
        self.fleet = Fleet()
        self.queues: dict[str, ServiceQueue] = {}
        self.link('pane')
        self.link('stock')

    def link(self, service: str, slots: int = 10, memory_mb: int = 512) -> None:
        """Link an agent that is named after its service."""
        hello = Hello(service, 'i', service, 'z', slots, memory_mb, (), False)
        self.fleet.add_agent(hello, 0)
        self.fleet.mark_usable(service)

    def submit(
        self,
        count: int = 1,
        now: float = 0,
        **fields: object,
    ) -> Refusal | None:
        """Submit a job of `count` tasks."""
        tasks = (TaskSpec('cut', b''),) * count
        job = Job('shop', 'k', 'pane', 'normal', 5000, tasks, b'', '')
        return self.admission.check(
            job._replace(**fields),
            _POLICY,
            self.queues,
            self.fleet,
            now,
        )

    def queue_tasks(
        self,
        count: int,
        client: str,
        urgency: str,
        service: str = 'pane',
    ) -> None:
        """Queue tasks of 1 s each."""
        queue = self.queues.setdefault(service, ServiceQueue({}, {}))
        for number in range(count):
            name = f'{client}{urgency}{number}'.encode()
            queue.push(
                QueuedTask(name, 0, client, urgency, 'cut', 5, 0, 1),
            )


@pytest.fixture
def harness() -> AdmissionHarness:
    """Create an admission control with an idle fleet."""
    return AdmissionHarness()


@pytest.mark.parametrize(
    ('fields', 'reason', 'expected_detail'),
    [
        ({'client': 'nobody'}, 'unknown-client', 'nobody'),
        ({'service': 'pain'}, 'unknown-service', 'pain'),
        ({'urgency': 'soon'}, 'invalid-request', 'urgency'),
        ({'tasks': ()}, 'invalid-request', 'tasks'),
        (
            {'tasks': (TaskSpec('cut', b''), TaskSpec('cat', b''))},
            'unknown-operation',
            'tasks[1].operation',
        ),
        ({'tasks': (TaskSpec('cut', b''),) * 51}, 'too-large', 'tasks'),
        ({'tasks': (TaskSpec('cut', b'x' * 101),)}, 'too-large', 'payload'),
        ({'deadline_ms': 60_001}, 'too-large', 'deadline_ms'),
        ({'urgency': 'critical'}, 'urgency-not-allowed', 'urgency'),
        ({'tasks': (TaskSpec('cut', b''),) * 21}, 'too-large', 'burst'),
        ({'deadline_ms': 900}, 'deadline-unreachable', '1.1 s'),
    ],
)
def test_refusals_say_what_to_change(
    harness: AdmissionHarness,
    fields: dict[str, object],
    reason: str,
    expected_detail: str,
) -> None:
    """Guard against a refusal that does not say what to change."""
    refusal = harness.submit(**fields)
    assert refusal
    assert refusal.reason == reason
    assert expected_detail in refusal.detail
    assert harness.submit() is None


def test_jobs_too_large_for_every_worker_are_refused(
    harness: AdmissionHarness,
) -> None:
    """Guard against queueing a job that can never run."""
    harness.link('pane', memory_mb=99)
    assert harness.submit().reason == 'too-large'


def test_rate_and_concurrency_are_bounded(harness: AdmissionHarness) -> None:
    """Guard against one client that takes all slots."""
    assert harness.submit(20) is None
    refusal = harness.submit(10)
    assert refusal.reason == 'rate-limited'
    assert refusal.retry_after_ms == 1000
    assert harness.submit(10, now=1) is None
    assert harness.submit(1, now=9).reason == 'rate-limited'
    harness.admission.job_ended('shop', 20)
    assert harness.submit(1, now=9) is None


def test_expected_wait_counts_only_work_ahead(
    harness: AdmissionHarness,
) -> None:
    """Guard against refusals because of work that starts later."""
    harness.queue_tasks(200, 'office', 'background')
    assert harness.submit() is None
    assert harness.submit(client='office', urgency='normal') is None
    refusal = harness.submit(client='office', urgency='background')
    assert refusal.reason == 'deadline-unreachable'
    assert refusal.retry_after_ms > 10_000


def test_accepted_jobs_keep_their_deadlines(harness: AdmissionHarness) -> None:
    """Guard against shorter deadlines that overtake accepted work."""
    harness.queue_tasks(48, 'office', 'normal')
    refusal = harness.submit(5, client='office', deadline_ms=4000)
    assert refusal.reason == 'deadline-unreachable'
    assert 'accepted jobs' in refusal.detail


def test_measured_times_replace_declared_ones(
    harness: AdmissionHarness,
) -> None:
    """Guard against declared run times that are far off."""
    for _ in range(20):
        harness.fleet.record_outcome('pane', 'cut', 'complete', 10, 0)
    assert harness.submit().reason == 'deadline-unreachable'


def test_missing_upstreams_and_dependencies_are_named(
    harness: AdmissionHarness,
) -> None:
    """Guard against accepting jobs that fail at a dependency."""
    harness.fleet.remove_agent('stock')
    refusal = harness.submit()
    assert refusal.reason == 'dependency-unavailable'
    assert 'stock' in refusal.detail
    harness.link('stock')
    harness.queue_tasks(100, 'office', 'background', 'stock')
    assert harness.submit() is None
    harness.queue_tasks(100, 'office', 'normal', 'stock')
    assert harness.submit().reason == 'dependency-unavailable'
    harness.queues.clear()
    harness.fleet.remove_agent('pane')
    assert harness.submit(now=2).reason == 'no-upstream'


def test_refused_jobs_use_no_tokens(harness: AdmissionHarness) -> None:
    """Guard against refused jobs that use up the rate of a client."""
    for _ in range(40):
        assert harness.submit(20, deadline_ms=10)
    assert harness.submit(20) is None


@given(
    st.integers(1, 50),
    st.integers(1, 50),
    st.lists(
        st.tuples(st.floats(0, 3), st.integers(1, 20), st.integers(1, 50)),
        max_size=80,
    ),
)
def test_bucket_never_exceeds_rate_and_burst(
    rate: int,
    burst: int,
    steps: list[tuple[float, int, int]],
) -> None:
    """Guard against tokens gained by idling or by a change of the terms."""
    bucket = TokenBucket(rate, burst, 0)
    now: float = 0
    taken = 0
    for gap, count, other_burst in steps:
        now += gap
        bucket.configure(rate, min(burst, other_burst), now)
        if bucket.take(count, now):
            taken += count
        assert taken <= rate * now + burst + 1e-6
