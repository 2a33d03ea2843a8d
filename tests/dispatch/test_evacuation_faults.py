"""Check evacuations of availability zones beside lost links and restarts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from fakes.fleet import Fleet
from fakes.fleet import job_of
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savoryrudder.dispatch import answers

if TYPE_CHECKING:
    from savoryrudder.worker.state import WorkerIdentity

ZONES = ('zone-a', 'zone-b', 'zone-c')
# Links open and messages arrive within this time.
NEWS_S = 0.2
IN_FLIGHT_S = 0.01
RECOVERY_S = 30
POLL_S = 0.05


def _fleet(seed: int = 1, entries: int = 2) -> Fleet:
    fleet = Fleet(seed, entries, agents=3, agent_zones=ZONES)
    fleet.run(1)
    return fleet


def _zones_in_use(fleet: Fleet) -> set[str]:
    return {
        agent.state.identity.zone
        for agent in fleet.agents
        if agent.executor.runs
    }


def _refused_starts(fleet: Fleet) -> int:
    names = [line.name for _, _, line in fleet.log]
    return names.count('start-refused')


def _submit_many(fleet: Fleet, entry: int, prefix: str) -> list[int]:
    return [
        fleet.submit(entry, job_of(f'{prefix}{number}', tasks=3))
        for number in range(3)
    ]


def _verdicts(fleet: Fleet, requests: list[int]) -> set[str]:
    return {fleet.answers[request].verdict for request in requests}


def test_jobs_run_in_the_other_zones_until_the_zone_is_restored() -> None:
    """Guards against starts in the zone, and against one that stays unused."""
    fleet = _fleet()
    fleet.evacuate('zone-a')
    requests = _submit_many(fleet, 0, 'j')
    fleet.run(POLL_S)
    assert _zones_in_use(fleet) == {'zone-b', 'zone-c'}
    fleet.run(3)
    assert _verdicts(fleet, requests) == {answers.COMPLETED}
    fleet.evacuate()
    fleet.run(POLL_S)
    _submit_many(fleet, 0, 'k')
    fleet.run(POLL_S)
    assert 'zone-a' in _zones_in_use(fleet)


def test_a_start_on_its_way_is_refused_and_runs_elsewhere() -> None:
    """Guards against a start that arrives after the agent was told."""
    fleet = _fleet()
    fleet.without_store.add('e1')
    fleet.evacuate('zone-a')
    request = fleet.submit(1, job_of('one', tasks=8, cpu=3000))
    fleet.run(POLL_S)
    assert 'zone-a' not in _zones_in_use(fleet)
    assert _refused_starts(fleet)
    fleet.run(RECOVERY_S)
    assert _verdicts(fleet, [request]) == {answers.COMPLETED}


def test_an_entry_without_the_store_sends_nothing_to_the_zone() -> None:
    """Guards against starts that the agents have to refuse one by one."""
    fleet = _fleet()
    fleet.without_store.add('e1')
    fleet.evacuate('zone-a')
    fleet.run(NEWS_S)
    fleet.log.clear()
    requests = _submit_many(fleet, 1, 'j')
    fleet.run(POLL_S)
    assert _zones_in_use(fleet) == {'zone-b', 'zone-c'}
    assert not _refused_starts(fleet)
    fleet.run(3)
    assert _verdicts(fleet, requests) == {answers.COMPLETED}


def test_an_entry_without_the_store_does_not_reopen_the_zone() -> None:
    """Guards against outdated news at a new link; it may close one as well."""
    fleet = _fleet()
    fleet.evacuate()
    fleet.without_store.add('e1')
    fleet.evacuate('zone-a')
    fleet.run(NEWS_S)
    fleet.silence_link('e1', 'a0', 1)
    fleet.run(4)
    _submit_many(fleet, 1, 'j')
    fleet.run(POLL_S)
    assert 'zone-a' not in _zones_in_use(fleet)


def test_an_entry_without_the_store_uses_a_restored_zone() -> None:
    """Guards against jobs that wait until the entry reads the store again."""
    fleet = _fleet()
    fleet.evacuate('zone-a')
    fleet.run(NEWS_S)
    fleet.without_store.add('e1')
    fleet.evacuate()
    fleet.run(NEWS_S)
    _submit_many(fleet, 1, 'j')
    fleet.run(POLL_S)
    assert 'zone-a' in _zones_in_use(fleet)


def test_an_agent_that_restarts_in_the_zone_takes_nothing() -> None:
    """Guards against an agent that knows nothing after its start."""
    fleet = _fleet()
    fleet.evacuate('zone-a')
    fleet.kill_agent(0, 0.5)
    fleet.run(4)
    assert not fleet.agents[0].state.accepting
    fleet.evacuate()
    fleet.run(NEWS_S)
    assert fleet.agents[0].state.accepting


@pytest.mark.parametrize('is_restored', [True, False])
def test_a_link_that_reconnects_tells_what_was_missed(
    is_restored: bool,
) -> None:
    """Guards against an agent that was away while the zone changed."""
    fleet = _fleet(entries=1)
    fleet.evacuate(*(['zone-a'] if is_restored else []))
    fleet.run(NEWS_S)
    fleet.silence_link('e0', 'a0', 2)
    fleet.run(0.1)
    fleet.evacuate(*([] if is_restored else ['zone-a']))
    fleet.run(NEWS_S)
    assert fleet.agents[0].state.accepting is not is_restored
    fleet.run(4)
    assert fleet.agents[0].state.accepting is is_restored


def test_an_entry_that_starts_later_uses_the_other_zones() -> None:
    """Guards against an entry that only hears of changes after its start."""
    fleet = _fleet()
    fleet.evacuate('zone-a')
    fleet.kill_entry(0, 0.5)
    fleet.run(4)
    requests = _submit_many(fleet, 0, 'j')
    fleet.run(POLL_S)
    assert _zones_in_use(fleet) == {'zone-b', 'zone-c'}
    fleet.run(3)
    assert _verdicts(fleet, requests) == {answers.COMPLETED}


def _inject_fault(fleet: Fleet, rng: random.Random) -> None:
    agent = rng.randrange(3)
    entry = rng.randrange(2)
    match rng.randrange(9):
        case 0:
            fleet.silence_link(f'e{entry}', f'a{agent}', rng.uniform(0.2, 3))
        case 1:
            fleet.kill_agent(agent, rng.uniform(0.1, 2))
        case 2:
            fleet.kill_entry(entry, rng.uniform(0.1, 1))
        case 3:
            fleet.without_store.add(f'e{entry}')
        case 4:
            fleet.reach_store(entry)
        case 5 | 6:
            fleet.evacuate(*rng.sample(ZONES, rng.randrange(4)))
        case 7:
            fleet.freeze_agent(agent, rng.uniform(0.2, 2))


class StartWatch:
    """Find runs that began in a zone which was known to be evacuated."""

    def __init__(self, fleet: Fleet) -> None:
        """Begin with what runs now."""
        self._fleet = fleet
        self._known: set[tuple[str, int]] = set()
        self._closed_agents: set[str] = set()
        self._closed_to: set[tuple[str, str]] = set()
        self.look()

    def look(self) -> None:
        """Check the runs that began since the last look.

        One is at fault if its agent, or the entry that sent it, had heard of
        the newest evacuation by then.
        """
        for agent in self._fleet.agents:
            for run in tuple(agent.state.runs.values()):
                key = (run.task, run.number)
                if key in self._known:
                    continue
                self._known.add(key)
                self._check_start(agent.state.identity, run.owner)
        self._note_closed()

    def _check_start(self, identity: WorkerIdentity, owner: str) -> None:
        if identity.zone in self._fleet.evacuation.zones:
            assert identity.incarnation not in self._closed_agents
            assert (owner, identity.agent) not in self._closed_to

    def _note_closed(self) -> None:
        fleet = self._fleet
        revision, zones = fleet.evacuation
        closed = [
            agent
            for agent in fleet.agents
            if agent.state.identity.zone in zones
        ]
        self._closed_agents = {
            agent.state.identity.incarnation
            for agent in closed
            if agent.state.evacuation.revision >= revision
        }
        self._closed_to = {
            (entry.state.identity.incarnation, agent.name)
            for entry in fleet.entries
            for agent in closed
            if entry.state.evacuation.revision >= revision
        }


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32))
def test_nothing_starts_in_a_zone_once_it_is_known_to_be_evacuated(
    seed: int,
) -> None:
    """Guards against starts there under drawn faults, and against lost jobs.

    The fake executors raise on a task that runs at two of them.
    """
    rng = random.Random(seed)
    fleet = _fleet(seed)
    fleet.evacuate()
    watch = StartWatch(fleet)
    requests = []
    for number in range(30):
        entry = rng.randrange(2)
        requests.append(fleet.submit(entry, job_of(f'j{number}', tasks=3)))
        _inject_fault(fleet, rng)
        # What was sent before an evacuation may still arrive.
        fleet.run(IN_FLIGHT_S)
        watch.look()
        for _ in range(rng.randrange(6)):
            fleet.run(POLL_S)
            watch.look()
    # The other one keeps what it has read before.
    fleet.reach_store(rng.randrange(2))
    fleet.evacuate('zone-b')
    fleet.run(RECOVERY_S)
    accepting = [agent.state.accepting for agent in fleet.agents]
    assert accepting == [True, False, True]
    assert not any(entry.state.jobs for entry in fleet.entries)
