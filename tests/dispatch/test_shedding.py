"""Check the choice of the jobs that are turned away."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.dispatch.shedding import Candidate
from savoryrudder.dispatch.shedding import Room
from savoryrudder.dispatch.shedding import choose_removals
from savoryrudder.dispatch.shedding import choose_removals_for

NOW = 100.0
# Work of 1000 takes 1 s.
ROOM = Room(free_cpu=0, drain_cpu=1)


def _candidate(
    number: int,
    slack_s: float = 1,
    work_cpu_ms: int = 500,
    cost: float = 1,
    **fields: object,
) -> Candidate:
    latest_start = NOW + slack_s
    candidate = Candidate(
        f'j{number}',
        latest_start,
        number,
        latest_start,
        work_cpu_ms,
        duration_ms=100,
        cost=cost,
        refusable=True,
    )
    return candidate._replace(**fields)


def _removed(candidates: list[Candidate], room: Room = ROOM) -> set[str]:
    removals = choose_removals(candidates, room, NOW)
    return {removal.candidate.job_id for removal in removals}


def _late(kept: list[Candidate], room: Room) -> set[str]:
    """Return the jobs that start late, predicted independently."""
    late = set()
    work_cpu_ms = 0
    order = sorted(kept, key=lambda job: (job.latest_start, job.job_id))
    for candidate in order:
        work_cpu_ms += candidate.work_cpu_ms
        waiting = work_cpu_ms - room.free_cpu * candidate.duration_ms
        wait_s = max(waiting, 0) / room.drain_cpu / 1000
        if NOW + wait_s > candidate.start_by:
            late.add(candidate.job_id)
    return late


_CANDIDATES = st.lists(
    st.tuples(
        st.floats(-0.5, 3),
        st.integers(0, 1500),
        st.floats(0.01, 100),
        st.booleans(),
    ),
    max_size=12,
).map(
    lambda drawn: [
        _candidate(100 + number, slack, work, cost, refusable=refusable)
        for number, (slack, work, cost, refusable) in enumerate(drawn)
    ],
)
_ROOMS = st.builds(Room, st.integers(0, 4), st.integers(1, 3))


def test_nobody_is_turned_away_while_there_is_room() -> None:
    """Guard against refusals that help nobody."""
    assert not _removed([_candidate(0, 1), _candidate(1, 1), _candidate(2, 2)])


def test_the_job_of_the_least_cost_gives_its_place_up() -> None:
    """Guard against jobs that lose their time to cheaper ones before them."""
    cheap = _candidate(0, 0.5, cost=1)
    costly = _candidate(1, 0.6, cost=4)
    assert _removed([cheap, costly]) == {'j0'}


def test_of_equal_jobs_the_last_is_turned_away() -> None:
    """Guard against jobs that have waited for nothing."""
    assert _removed([_candidate(0), _candidate(1), _candidate(2)]) == {'j2'}


def test_a_job_that_is_late_in_any_case_takes_no_room() -> None:
    """Guard against a hopeless job that keeps its place in front."""
    hopeless = _candidate(0, 0.1, cost=100)
    assert _removed([hopeless, _candidate(1, 0.6)]) == {'j0'}


def test_one_large_job_goes_in_place_of_many_small_ones() -> None:
    """Guard against a cost per room that counts more room than is needed."""
    small = [_candidate(number, 1, 250, cost=2) for number in range(4)]
    large = _candidate(4, 1.1, 500, cost=3)
    last = _candidate(5, 1.2, 200, cost=9)
    assert _removed([*small, large, last]) == {'j4'}


def test_a_costly_job_does_not_give_way_to_a_smaller_one() -> None:
    """Guard against work that is given up for less than it is worth."""
    large = _candidate(0, 1, 1000, cost=10)
    small = _candidate(1, 1.01, 100, cost=2)
    assert choose_removals_for(small, [large], ROOM, NOW) is None
    costly = small._replace(cost=20)
    removals = choose_removals_for(costly, [large], ROOM, NOW)
    assert [removal.candidate for removal in removals] == [large]


@given(_CANDIDATES, _ROOMS)
def test_only_refusable_jobs_are_removed(
    candidates: list[Candidate],
    room: Room,
) -> None:
    """Guard against an untrue refusal of a job that has started."""
    removed = _removed(candidates, room)
    for candidate in candidates:
        assert candidate.refusable or candidate.job_id not in removed


@given(_CANDIDATES, _ROOMS)
def test_the_kept_jobs_start_in_time(
    candidates: list[Candidate],
    room: Room,
) -> None:
    """Guard against jobs that stay in the queue and cannot be met."""
    removed = _removed(candidates, room)
    kept = [job for job in candidates if job.job_id not in removed]
    fixed = [job for job in candidates if not job.refusable]
    assert _late(kept, room) <= _late(fixed, room)


@given(_CANDIDATES, _ROOMS)
def test_each_removal_is_needed(
    candidates: list[Candidate],
    room: Room,
) -> None:
    """Guard against more refusals than there have to be."""
    removed = _removed(candidates, room)
    kept = [job for job in candidates if job.job_id not in removed]
    for candidate in candidates:
        if candidate.job_id in removed:
            assert _late([*kept, candidate], room) > _late(kept, room)


@given(_CANDIDATES, _ROOMS, st.randoms(use_true_random=False))
def test_the_choice_does_not_depend_on_the_order_given(
    candidates: list[Candidate],
    room: Room,
    rng: object,
) -> None:
    """Guard against refusals by chance."""
    shuffled = list(candidates)
    rng.shuffle(shuffled)
    assert choose_removals(shuffled, room, NOW) == choose_removals(
        candidates,
        room,
        NOW,
    )


@given(_CANDIDATES, _ROOMS, _CANDIDATES.filter(bool))
def test_an_arriving_job_costs_others_less_than_itself(
    waiting: list[Candidate],
    room: Room,
    drawn: list[Candidate],
) -> None:
    """Guard against jobs that are accepted at a higher cost than refused."""
    arriving = drawn[0]._replace(
        job_id='new', sequence_number=0, refusable=True
    )
    removals = choose_removals_for(arriving, waiting, room, NOW)
    otherwise = choose_removals(waiting, room, NOW)
    cost = sum(removal.candidate.cost for removal in removals or ())
    cost_otherwise = sum(removal.candidate.cost for removal in otherwise)
    assert removals is None or cost < cost_otherwise + arriving.cost
