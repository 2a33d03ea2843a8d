"""Check the order in which queued tasks start."""

from __future__ import annotations

from collections import Counter
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.entry.queueing import MAX_REMOVED
from savoryrudder.entry.queueing import QueuedTask
from savoryrudder.entry.queueing import ServiceQueue
from savoryrudder.policy.model import URGENCY_BANDS

_SHARES = MappingProxyType(
    {'critical': 0.4, 'urgent': 0.3, 'normal': 0.2, 'background': 0.1},
)
_WORK = st.sampled_from((0.05, 0.3, 1, 4))


def _task(number: int, **fields: object) -> QueuedTask:
    task = QueuedTask(number.to_bytes(16, 'big'), 0, 'a', 'normal', 'cut', 9, 0)
    return task._replace(**fields)


@pytest.fixture
def queue() -> ServiceQueue:
    """Create an empty queue."""
    return ServiceQueue(_SHARES, {'a': 1, 'b': 1, 'heavy': 3})


@given(st.lists(_WORK, min_size=4, max_size=4))
def test_busy_bands_get_their_shares(works: list[float]) -> None:
    """Guard against an urgent band that starves a less urgent one."""
    queue = ServiceQueue(_SHARES, {})
    started_work = Counter[str]()
    for number in range(4 * 400):
        band = URGENCY_BANDS[number % 4]
        queue.push(_task(number, urgency=band, work=works[number % 4]))
    for following in range(1500):
        task = queue.pop(0)
        assert task
        started_work[task.urgency] += task.work
        queue.push(task._replace(submission=following.to_bytes(12, 'big')))
    total = sum(started_work.values())
    for band, share in _SHARES.items():
        # A band is behind by at most one task of each band.
        assert started_work[band] >= share * total - sum(works)


def test_unused_shares_go_to_the_most_urgent(queue: ServiceQueue) -> None:
    """Guard against reserved slots that stay idle."""
    for number in range(100):
        band = ('urgent', 'background')[number % 2]
        queue.push(_task(number, urgency=band))
    first = Counter(queue.pop(0).urgency for _ in range(40))
    assert first['background'] == pytest.approx(4, abs=1)


def test_clients_share_a_band_by_weighted_work(queue: ServiceQueue) -> None:
    """Guard against counting tasks, which favours clients of long ones."""
    for number in range(900):
        client = ('a', 'b', 'heavy')[number % 3]
        work = {'a': 0.1, 'b': 1}.get(client, 1)
        queue.push(_task(number, client=client, work=work))
    started_work = Counter[str]()
    while sum(started_work.values()) < 100:
        task = queue.pop(0)
        started_work[task.client] += task.work
    assert started_work['heavy'] == pytest.approx(
        3 * started_work['b'], rel=0.15
    )
    assert started_work['a'] == pytest.approx(started_work['b'], abs=1.5)


@given(
    st.lists(
        st.tuples(st.integers(0, 40), st.integers(1, 60), _WORK),
        min_size=50,
        max_size=150,
    ),
)
def test_no_client_starves(
    flood: list[tuple[int, int, float]],
) -> None:
    """Guard against near deadlines that delay a client forever."""
    queue = ServiceQueue({}, {})
    queue.push(_task(0, client='patient', deadline=1000, work=1))
    number = 1
    work_ahead: float = 0
    while True:
        for client, deadline, work in flood[number % 40 : number % 40 + 5]:
            name = str(client % 3)
            queue.push(
                _task(number, client=name, deadline=deadline, work=work),
            )
            number += 1
        task = queue.pop(0)
        if task.client == 'patient':
            break
        work_ahead += task.work
        # Three clients, each ahead by at most the bound and one task.
        assert work_ahead <= 3 * (30 + 4)


def _apply_action(
    queue: ServiceQueue,
    model: dict[bytes, QueuedTask],
    action: str,
    task: QueuedTask,
) -> None:
    queued = model.get(task.submission)
    if action == 'push' and queued is None:
        model[task.submission] = task
        queue.push(task)
    elif action == 'remove':
        model.pop(task.submission, None)
        queue.remove(queued or task)
    elif action == 'pop' and model:
        popped = queue.pop(0)
        assert model.pop(popped.submission) == popped


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('push', 'pop', 'remove')),
            st.integers(0, 30),
            st.sampled_from(URGENCY_BANDS),
            st.sampled_from(('a', 'b', 'c')),
            st.integers(1, 40),
            _WORK,
        ),
        max_size=150,
    ),
)
def test_removed_tasks_never_start(
    steps: list[tuple[str, int, str, str, int, float]],
) -> None:
    """Guard against lost and repeated tasks and starts of removed ones."""
    queue = ServiceQueue(_SHARES, {'a': 2})
    model: dict[bytes, QueuedTask] = {}
    for action, number, *fields in steps:
        names = ('urgency', 'client', 'deadline', 'work')
        task = _task(number, **dict(zip(names, fields, strict=True)))
        _apply_action(queue, model, action, task)
        assert len(queue) == len(model)
        work = sum(task.work for task in model.values())
        assert queue.work == pytest.approx(work)
    assert model or queue.pop(0) is None


def test_removed_tasks_free_their_memory(queue: ServiceQueue) -> None:
    """Guard against memory held by cancelled tasks."""
    kept = _task(0, deadline=1)
    queue.push(kept)
    for number in range(1, 10_000):
        queue.push(_task(number))
        queue.remove(_task(number))
    heap = queue._bands['normal'].clients['a']._heap
    assert len(heap) <= 2 + MAX_REMOVED
    assert queue.pop(0) == kept


def test_drain_time_follows_the_order(queue: ServiceQueue) -> None:
    """Guard against refusals because of work that starts later."""
    for number in range(100):
        queue.push(_task(number, client='b', urgency='background'))
    assert queue.drain_s('normal', 'a', 1, 10, 0) == pytest.approx(1 / 9)
    # Of client b's work, only its fair share is ahead of client a.
    assert queue.drain_s('background', 'a', 1, 10, 0) == pytest.approx(0.2)
    assert queue.drain_s('background', 'b', 1, 10, 0) == pytest.approx(10.1)


def test_small_job_overtakes_a_large_one_of_the_same_client(
    queue: ServiceQueue,
) -> None:
    """Guard against equal deadlines that leave all jobs in arrival order."""
    for number in range(20):
        queue.push(_task(number, job_work=20))
    queue.push(_task(20, enqueued=1, job_work=1))
    assert queue.pop(1) == _task(20, enqueued=1, job_work=1)
    # A small job that arrives when the large one is due is queued behind it.
    queue.push(_task(21, enqueued=8.5, job_work=1))
    assert queue.pop(8.5).submission == _task(0).submission
