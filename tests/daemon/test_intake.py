"""Test what the intake of a process admits, without a network."""

from __future__ import annotations

import pytest

from savoryrudder.daemon.intake import SMALL_REQUEST_BYTES
from savoryrudder.daemon.intake import Intake
from savoryrudder.daemon.intake_limits import RECEIVE_BUFFER_BYTES
from savoryrudder.daemon.intake_limits import IntakeLimits
from savoryrudder.daemon.intake_limits import derive_limits
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.request_limits import RequestLimits
from savoryrudder.daemon.request_limits import Stage
from savoryrudder.daemon.request_refusals import NO_CONNECTION
from savoryrudder.daemon.request_refusals import NO_MEMORY
from savoryrudder.daemon.request_refusals import TOO_SLOW
from savoryrudder.daemon.request_refusals import RequestRefusal

LARGE = 4 * SMALL_REQUEST_BYTES
LIMITS = IntakeLimits(4, 3 * LARGE, 2 * SMALL_REQUEST_BYTES)
NOW = 100


class FakeClient:
    """Record why a client was dropped."""

    def __init__(self) -> None:
        """Start without a refusal."""
        self.refusal: RequestRefusal | None = None

    def drop(self, refusal: RequestRefusal) -> None:
        """Record a refusal."""
        self.refusal = refusal


@pytest.fixture
def counters() -> Counters:
    """Return empty counters."""
    return Counters()


@pytest.fixture
def intake(counters: Counters) -> Intake:
    """Return an intake with low limits."""
    return Intake(LIMITS, counters)


def _admit(intake: Intake, count: int) -> list[FakeClient]:
    clients = [FakeClient() for _ in range(count)]
    assert all(intake.admit(client, NOW) for client in clients)
    return clients


def test_the_connection_that_waits_longest_makes_room(intake: Intake) -> None:
    """Guards against a crowd that connects first and keeps others out."""
    clients = _admit(intake, 4)
    intake.mark_waiting(clients[0], NOW)
    _admit(intake, 1)
    assert clients[1].refusal == NO_CONNECTION
    assert clients[0].refusal is None


def test_a_connection_that_is_served_is_not_closed(intake: Intake) -> None:
    """Guards against an accepted job that loses its answer."""
    clients = _admit(intake, 4)
    for client in clients:
        intake.mark_serving(client)
    assert not intake.admit(FakeClient(), NOW)
    assert not any(client.refusal for client in clients)


def test_the_oldest_unfinished_request_makes_room(intake: Intake) -> None:
    """Guards against bodies that stop just short and hold the memory."""
    clients = _admit(intake, 4)
    for client in clients:
        assert intake.hold(client, LARGE, NOW, is_unfinished=True)
    assert clients[0].refusal == NO_MEMORY
    assert not any(client.refusal for client in clients[1:])
    assert intake.held_bytes == 3 * LARGE


def test_progress_of_a_request_does_not_make_it_young(intake: Intake) -> None:
    """Guards against a client that keeps its room by a byte now and then."""
    clients = _admit(intake, 4)
    for client in clients[:3]:
        intake.hold(client, LARGE - 1, NOW, is_unfinished=True)
    intake.hold(clients[0], LARGE, NOW, is_unfinished=True)
    intake.hold(clients[3], LARGE, NOW, is_unfinished=True)
    assert clients[0].refusal == NO_MEMORY


def test_a_small_request_fits_beside_large_ones(intake: Intake) -> None:
    """Guards against large requests that keep ordinary callers out."""
    clients = _admit(intake, 4)
    for client in clients[:3]:
        intake.hold(client, LARGE, NOW, is_unfinished=False)
    assert intake.hold(clients[3], 100, NOW, is_unfinished=True)
    assert not any(client.refusal for client in clients)


def test_a_whole_request_is_not_dropped_for_another(intake: Intake) -> None:
    """Guards against a request that has run and gets no answer."""
    clients = _admit(intake, 4)
    for client in clients[:3]:
        intake.hold(client, LARGE, NOW, is_unfinished=False)
    assert not intake.hold(clients[3], LARGE, NOW, is_unfinished=True)
    assert not any(client.refusal for client in clients)
    assert intake.held_bytes == 3 * LARGE


def test_a_single_request_is_served_whatever_its_size(intake: Intake) -> None:
    """Guards against a configured limit that no request can use."""
    client = _admit(intake, 1)[0]
    assert intake.hold(client, 10 * LARGE, NOW, is_unfinished=True)
    assert client.refusal is None


def test_bytes_are_free_once_a_connection_is_closed(intake: Intake) -> None:
    """Guards against a bound that is used up by clients who have gone."""
    for _ in range(100):
        client = _admit(intake, 1)[0]
        assert intake.hold(client, LARGE, NOW, is_unfinished=True)
        intake.remove(client, NOW)
    assert not intake.held_bytes
    assert not intake.connections


def test_refusals_are_counted_by_their_cause(
    intake: Intake,
    counters: Counters,
) -> None:
    """Guards against refusals that no operator sees."""
    _admit(intake, 5)
    intake.count_refusal(TOO_SLOW, NOW)
    assert counters.counts == {
        'intake_dropped_connections': 1,
        'intake_refused_slow': 1,
    }


@pytest.mark.parametrize('memory_mb', [160, 168, 552])
@pytest.mark.parametrize('sockets', [1438, 3896, 10_050])
def test_limits_leave_most_of_a_process_to_its_work(
    memory_mb: int,
    sockets: int,
) -> None:
    """Guards against limits that a single legal request meets, or none."""
    limits = derive_limits(memory_mb, sockets)
    requests = RequestLimits()
    one_request = requests.max_body_bytes + 2 * requests.max_head_bytes
    assert limits.max_connections < sockets
    assert limits.large_bytes > 10 * one_request
    held_mb = (limits.large_bytes + limits.small_bytes) / 2**20
    assert held_mb < memory_mb / 4


@pytest.mark.parametrize('memory_mb', [96, 168, 300])
def test_unread_bytes_count_in_the_memory_of_connections(
    memory_mb: int,
) -> None:
    """Guards against more connections than their unread bytes leave room."""
    limits = derive_limits(memory_mb, 3900)
    connections = limits.max_connections + limits.backlog
    unread_mb = connections * 2 * RECEIVE_BUFFER_BYTES / 2**20
    assert unread_mb < memory_mb / 4
    assert limits.max_connections > 300


def test_a_body_has_time_by_what_has_arrived() -> None:
    """Guards against pieces that each restart the limit of a request."""
    limits = RequestLimits()
    at_begin = limits.receive_s(Stage.BODY, 0)
    later = limits.receive_s(Stage.BODY, 10 * limits.min_body_bytes_per_s)
    assert later - at_begin == 10
    assert limits.receive_s(Stage.BODY, 10**9) == limits.body_s
    assert limits.receive_s(Stage.HEAD, 0) > 3
