"""Decide on arrival which jobs are accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final
from typing import NamedTuple

from savoryrudder.entry import reasons
from savoryrudder.entry.limits import ClientLimits
from savoryrudder.policy.model import URGENCY_BANDS
from savoryrudder.utils.units import MS_PER_S

if TYPE_CHECKING:
    from savoryrudder.entry.limits import ClientAccount
    from savoryrudder.entry.placement import Fleet
    from savoryrudder.entry.queueing import ServiceQueue
    from savoryrudder.policy.model import Policy
    from savoryrudder.policy.model import Service
    from savoryrudder.protocol.messages import Job

MAX_QUEUED: Final = 100_000
MIN_RETRY_MS: Final = 1000
MAX_RETRY_MS: Final = 60_000
# Fraction of the deadline that the expected time may use. The rest is a
# reserve for more urgent work that arrives later.
USABLE_DEADLINE: Final = 0.8


class Refusal(NamedTuple):
    """Hold why a job is refused and when to retry (0: never)."""

    reason: str
    detail: str
    retry_after_ms: int


class Forecast(NamedTuple):
    """Hold the expected time of a job and the lateness it causes.

    `lateness_s` is the largest delay of an accepted job beyond its deadline.
    """

    expected_s: float
    lateness_s: float


class AdmissionContext(NamedTuple):
    """Hold the inputs of a decision other than the job."""

    policy: Policy
    queues: dict[str, ServiceQueue]
    fleet: Fleet
    now: float


class Admission:
    """Check jobs against the policy, the terms and the expected wait."""

    def __init__(self) -> None:
        """Create an admission control without accounts."""
        self.limits = ClientLimits()

    def check(
        self,
        job: Job,
        policy: Policy,
        queues: dict[str, ServiceQueue],
        fleet: Fleet,
        now: float,
    ) -> Refusal | None:
        """Return a refusal, or accept the job: count its tasks, return None."""
        client = policy.clients.get(job.client)
        if client is None:
            return _permanent_refusal(
                reasons.UNKNOWN_CLIENT,
                f'no client is named {job.client!r}',
            )
        context = AdmissionContext(policy, queues, fleet, now)
        account = self.limits.account(job.client, client.terms, now)
        account.usage.jobs += 1
        refusal = _check_body(job, policy) or _check_worker_size(job, context)
        if refusal is not None:
            account.usage.faulty += 1
            return refusal
        refusal = _check_terms(job, account, now)
        if refusal is not None:
            account.usage.exceeded += len(job.tasks)
            return refusal
        refusal = (
            _check_upstreams(job, context)
            or _check_dependencies(job, context)
            or _check_wait(job, context)
        )
        if refusal is None:
            account.bucket.take(len(job.tasks), now)
            account.usage.accepted += len(job.tasks)
            account.running += len(job.tasks)
        return refusal

    def count_recovered(
        self, job: Job, policy: Policy | None, now: float
    ) -> None:
        """Count the tasks of a recovered job, which is accepted unchecked."""
        client = policy.clients.get(job.client) if policy else None
        if client is not None:
            account = self.limits.account(job.client, client.terms, now)
            account.running += len(job.tasks)

    def job_ended(self, client: str, tasks: int) -> None:
        """Stop counting the tasks of a job that has ended."""
        self.limits.end_tasks(client, tasks)


def _check_body(job: Job, policy: Policy) -> Refusal | None:
    service = policy.services.get(job.service)
    if service is None:
        return _permanent_refusal(
            reasons.UNKNOWN_SERVICE,
            f'no service is named {job.service!r}',
        )
    if job.urgency not in URGENCY_BANDS:
        return _permanent_refusal(
            reasons.INVALID_REQUEST,
            f'urgency: no band is named {job.urgency!r}',
        )
    if not job.tasks:
        return _permanent_refusal(
            reasons.INVALID_REQUEST, 'tasks: the job has none'
        )
    for index, task in enumerate(job.tasks):
        if task.operation not in service.operations:
            return _permanent_refusal(
                reasons.UNKNOWN_OPERATION,
                f'tasks[{index}].operation: {job.service} has no operation '
                f'{task.operation!r}',
            )
    return _check_limits(job, policy)


def _check_limits(job: Job, policy: Policy) -> Refusal | None:
    limits = policy.limits
    payload = sum(len(task.payload) for task in job.tasks)
    for field, actual, limit in (
        ('tasks', len(job.tasks), limits.max_tasks),
        ('deadline_ms', job.deadline_ms, limits.max_deadline_ms),
        ('tasks[*].payload, bytes in total', payload, limits.max_payload_bytes),
    ):
        if actual > limit:
            return _permanent_refusal(
                reasons.TOO_LARGE,
                f'{field}: {actual} is above the limit of {limit}',
            )
    return None


def _check_worker_size(job: Job, context: AdmissionContext) -> Refusal | None:
    service = context.policy.services[job.service]
    slots, memory_mb = context.fleet.largest_worker(job.service)
    if not slots:
        return None
    for unit, needed, largest in (
        ('slots', service.slots, slots),
        ('MB of memory', service.memory_mb, memory_mb),
    ):
        if needed > largest:
            return _permanent_refusal(
                reasons.TOO_LARGE,
                f'service: a task of {job.service} needs {needed} {unit}, '
                f'the largest worker announces {largest}',
            )
    return None


def _check_terms(
    job: Job,
    account: ClientAccount,
    now: float,
) -> Refusal | None:
    terms = account.terms
    highest_allowed = URGENCY_BANDS.index(terms.highest_urgency)
    if URGENCY_BANDS.index(job.urgency) < highest_allowed:
        return _permanent_refusal(
            reasons.URGENCY_NOT_ALLOWED,
            f'urgency: the terms of {job.client} allow at most '
            f'{terms.highest_urgency}',
        )
    count = len(job.tasks)
    for limit, name in (
        (terms.burst, 'burst'),
        (terms.concurrent, 'concurrent tasks'),
    ):
        if count > limit:
            return _permanent_refusal(
                reasons.TOO_LARGE,
                f'tasks: {count} is above the {name} of {limit} in the terms '
                f'of {job.client}',
            )
    if account.running + count > terms.concurrent:
        return Refusal(
            reasons.RATE_LIMITED,
            f'{job.client} has {account.running} of {terms.concurrent} '
            'concurrent tasks',
            MIN_RETRY_MS,
        )
    wait_s = account.bucket.wait_s(count, now)
    if wait_s > 0:
        return Refusal(
            reasons.RATE_LIMITED,
            f'{job.client} is above its rate of {terms.rate:g} tasks/s',
            _retry_after_ms(wait_s),
        )
    return None


def _check_upstreams(job: Job, context: AdmissionContext) -> Refusal | None:
    if context.fleet.is_linked(job.service):
        return None
    return Refusal(
        reasons.NO_UPSTREAM,
        f'no upstream of {job.service} is linked',
        MIN_RETRY_MS,
    )


def _transitive_dependencies(service_name: str, policy: Policy) -> list[str]:
    """Return the direct and indirect dependencies of a service."""
    dependencies: list[str] = []
    pending = [service_name]
    while pending:
        service = policy.services.get(pending.pop())
        for name in service.depends_on if service else ():
            if name not in dependencies:
                dependencies.append(name)
                pending.append(name)
    return dependencies


def _check_dependencies(job: Job, context: AdmissionContext) -> Refusal | None:
    for name in _transitive_dependencies(job.service, context.policy):
        problem = ''
        if _is_overloaded(name, job.urgency, context):
            problem = 'overloaded'
        if context.fleet.capacity(name) <= 0:
            problem = 'no usable upstream'
        if problem:
            return Refusal(
                reasons.DEPENDENCY_UNAVAILABLE,
                f'{job.service} depends on {name}: {problem}',
                MIN_RETRY_MS,
            )
    return None


def _is_overloaded(name: str, urgency: str, context: AdmissionContext) -> bool:
    """Tell whether the backlog of a service exceeds its usable deadline."""
    queue = context.queues.get(name)
    service = context.policy.services.get(name)
    if queue is None or service is None:
        return False
    usable_s = service.default_deadline_ms / MS_PER_S * USABLE_DEADLINE
    backlog_s = queue.work_up_to(urgency)
    return backlog_s > usable_s * context.fleet.capacity(name)


def _check_wait(job: Job, context: AdmissionContext) -> Refusal | None:
    queue = context.queues.get(job.service)
    if queue is not None and len(queue) + len(job.tasks) > MAX_QUEUED:
        return Refusal(
            reasons.OVERLOADED,
            f'{len(queue)} tasks wait for {job.service}',
            MIN_RETRY_MS,
        )
    forecast = _forecast(job, context)
    usable_s = job.deadline_ms / MS_PER_S * USABLE_DEADLINE
    if forecast.expected_s > usable_s:
        detail = f'the job is expected to take {forecast.expected_s:.1f} s'
    elif forecast.lateness_s > 0:
        detail = f'accepted jobs of {job.client} would miss their deadlines'
    else:
        return None
    return Refusal(
        reasons.DEADLINE_UNREACHABLE,
        detail,
        _retry_after_ms(
            max(forecast.expected_s - usable_s, forecast.lateness_s)
        ),
    )


def _forecast(job: Job, context: AdmissionContext) -> Forecast:
    """Forecast a job; the forecast is zero while there is no capacity."""
    service = context.policy.services[job.service]
    capacity = context.fleet.capacity(job.service)
    if capacity <= 0:
        return Forecast(0, 0)
    times = context.fleet.times
    longest_s = max(_p90_s(job, service, context))
    work = sum(times.mean_s(service, task.operation) for task in job.tasks)
    queue = context.queues.get(job.service)
    if queue is None:
        return Forecast(work / capacity + longest_s, 0)
    drain_s = queue.drain_s(
        job.urgency,
        job.client,
        work,
        capacity,
        context.now,
    )
    work_by_deadline = queue.work_by_deadline(job.urgency, job.client)
    drain_ratio = drain_s / (work + sum(work_by_deadline.values()))
    return _forecast_by_deadline(
        job, work_by_deadline, (work, drain_ratio, longest_s), context.now
    )


def _forecast_by_deadline(
    job: Job,
    work_by_deadline: dict[int, float],
    estimate: tuple[float, float, float],
    now: float,
) -> Forecast:
    """Forecast a job among the queued work of its client, by deadline.

    `estimate` holds the work of the job, the ratio of drain time to work and
    the time of its longest task. Queued work that would miss its deadline
    even without the job is no reason to refuse it.
    """
    work, drain_ratio, longest_s = estimate
    deadline = now + job.deadline_ms / MS_PER_S
    work_ahead: float = 0
    expected_s = work * drain_ratio + longest_s
    lateness_s: float = 0
    for due_at, due_work in sorted(work_by_deadline.items()):
        work_ahead += due_work
        if due_at <= deadline:
            expected_s = (work_ahead + work) * drain_ratio + longest_s
            continue
        remaining_s = due_at - now
        if work_ahead * drain_ratio <= remaining_s:
            lateness_s = max(
                lateness_s, (work_ahead + work) * drain_ratio - remaining_s
            )
    return Forecast(expected_s, lateness_s)


def _p90_s(
    job: Job, service: Service, context: AdmissionContext
) -> list[float]:
    operations = {task.operation for task in job.tasks}
    times = context.fleet.times
    return [times.p90_s(service, operation) for operation in operations]


def _permanent_refusal(reason: str, detail: str) -> Refusal:
    return Refusal(reason, detail, 0)


def _retry_after_ms(wait_s: float) -> int:
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_s * MS_PER_S)))
