"""Check that no job starts while runs of a lost entry may be going on.

The fake executors raise on a task that runs at two of them.
"""

from __future__ import annotations

import random

import pytest
from entry_driver import EntryDriver
from fakes.fleet import CAPACITY
from fakes.fleet import SETTLE_S
from fakes.fleet import Fleet
from fakes.fleet import job_of
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savoryrudder.daemon.liveness import FAST_TIMING
from savoryrudder.dispatch import answers
from savoryrudder.dispatch import events
from savoryrudder.protocol import work
from savoryrudder.utils.effects import Send
from savoryrudder.worker.effects import StopRun
from savoryrudder.worker.state import WorkerTiming

RESUBMISSION_S = 1.3
RECOVERY_S = 40
TASK_S = 2.5
DISRUPTION_S = 2.5
JOBS = 6
AGENTS = 4
# A link loses an agent's view of an entry and the reverse within this time.
NOTICE_S = FAST_TIMING.idle_timeout_s


def _started_tasks(effects: list[object]) -> list[str]:
    tasks = []
    for effect in effects:
        match effect:
            case Send(_, work.StartTasks() as starts):
                tasks.extend(start.task for start in starts.each())
            case Send(_, work.StartTask() as start):
                tasks.append(start.task)
    return tasks


def _submit_jobs(fleet: Fleet, rng: random.Random) -> list[str]:
    names = [f'j{number}' for number in range(JOBS)]
    for name in names:
        fleet.submit(0, job_of(name))
        fleet.run(rng.uniform(0, 0.2))
    return names


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32), down_s=st.sampled_from((0.2, 0.5, 10)))
def test_a_job_waits_for_runs_whose_stops_stay_unanswered(
    seed: int,
    down_s: float,
) -> None:
    """Guard against a second run beside one that could not be stopped.

    The entry is killed within the announcement of its claims, while half of
    the calls get no answer and are carried out late; its callers go to another
    entry or come back to it.
    """
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=rng.choice((2, 3)), agents=AGENTS)
    fleet.calls.durations_s = (TASK_S, TASK_S)
    names = _submit_jobs(fleet, rng)
    fleet.calls.late_orders = 0.5
    fleet.kill_entry(0, down_s)
    fleet.run(RESUBMISSION_S)
    entry = 1 if down_s > RESUBMISSION_S else rng.randrange(2)
    requests = [fleet.submit(entry, job_of(name)) for name in names]
    fleet.run(DISRUPTION_S - RESUBMISSION_S)
    fleet.calls.late_orders = 0
    fleet.run(RECOVERY_S)
    assert all(request in fleet.answers for request in requests)
    for process in fleet.entries:
        assert not process.state.jobs
        assert not process.state.contested_jobs
        assert not process.state.orphan_holders
    for agent in fleet.agents:
        assert not agent.state.runs
        assert agent.state.accepting


@settings(max_examples=40)
@given(seed=st.integers(0, 2**32))
def test_an_entry_that_lost_an_agent_starts_no_second_run(seed: int) -> None:
    """Guard against a lease that goes on while stops stay unanswered.

    The entry lives, and nobody tells it what runs at the agent.
    """
    rng = random.Random(seed)
    fleet = Fleet(seed, entries=1, agents=AGENTS)
    fleet.calls.durations_s = (2 * TASK_S, 2 * TASK_S)
    _submit_jobs(fleet, rng)
    fleet.calls.late_orders = rng.choice((0.5, 0.9))
    fleet.calls.late_call_types = (StopRun,)
    for agent in rng.sample(range(AGENTS), 2):
        fleet.silence_link('e0', f'a{agent}', rng.uniform(1, 8))
    fleet.run(2 * DISRUPTION_S)
    fleet.calls.late_orders = 0
    fleet.run(RECOVERY_S)
    assert not fleet.entries[0].state.jobs


@pytest.mark.parametrize('phase_s', [0, 0.25, 0.5, 0.75])
@pytest.mark.parametrize('killed_at_s', [0.05, 0.2, 0.3, 0.4])
def test_a_job_waits_for_runs_of_an_agent_that_stands_still(
    phase_s: float,
    killed_at_s: float,
) -> None:
    """Guard against a start while an agent that stops nothing stands still.

    It has told of the runs before, as it lost the entry that was killed.
    """
    fleet = Fleet(1, agents=AGENTS)
    fleet.run(1 + phase_s)
    # The entry tells its claims, and does not tell the next one at once.
    fleet.calls.durations_s = (0.01, 0.01)
    fleet.submit(0, job_of('former', 1))
    fleet.run(0.1)
    fleet.calls.durations_s = (2 * DISRUPTION_S, 2 * DISRUPTION_S)
    fleet.submit(0, job_of('one', AGENTS))
    fleet.run(killed_at_s)
    fleet.kill_entry(0, RECOVERY_S)
    fleet.run(NOTICE_S / 3)
    busy = [agent.executor.runs for agent in fleet.agents]
    frozen = next(number for number, runs in enumerate(busy) if runs)
    fleet.freeze_agent(frozen, 2)
    fleet.run(RESUBMISSION_S - killed_at_s - NOTICE_S / 3)
    request = fleet.submit(1, job_of('one', AGENTS))
    fleet.run(RECOVERY_S / 2)
    assert fleet.answers[request].verdict == answers.COMPLETED


def test_the_waits_of_an_agent_end_before_those_of_its_entries() -> None:
    """Guard against a limit that outlasts the one that relies on it.

    An agent notices the loss of an entry, withholds the lease, and it expires;
    the entry takes the runs for ended `settle_s` after it lost the agent.
    """
    timing = WorkerTiming(1, 0.05)
    last_extension_s = timing.renewal_wait_s + timing.stop_s
    ended_s = timing.orphan_lease_s + timing.expiry_s
    assert NOTICE_S + ended_s < SETTLE_S
    assert timing.owner_grace_s + last_extension_s < timing.orphan_lease_s


def _linked_peer(driver: EntryDriver) -> None:
    driver.post(events.LinkUp(driver.now, 'p0', dialled=False))
    driver.receive('p0', work.EntryHello('e2', 'e2#1', 'e2'))
    driver.receive('p0', work.JobsClaimed((), complete=True))


def test_an_orphaned_job_starts_once_all_agents_have_told_its_end() -> None:
    """Guard against a start at the first word of several agents."""
    driver = EntryDriver(3)
    driver.receive('l0', work.OrphanedJobs(('one', 'two')))
    driver.receive('l1', work.OrphanedJobs(('one',)))
    assert not _started_tasks(driver.submit('one'))
    assert not _started_tasks(driver.receive('l0', work.OrphanedJobs(())))
    driver.now += 10
    assert not _started_tasks(driver.post(events.Tick(driver.now)))
    assert _started_tasks(driver.receive('l1', work.OrphanedJobs(())))


def test_an_orphaned_job_is_no_new_job_to_its_caller() -> None:
    """Guard against a refusal that says that a job has not run."""
    driver = EntryDriver(1)
    driver.receive('l0', work.OrphanedJobs(('one',)))
    driver.submit('one')
    driver.report('l0', CAPACITY._replace(cpu=0))
    driver.receive('l0', work.OrphanedJobs(()))
    driver.now += 5
    replies = driver.post(events.Tick(driver.now))
    verdicts = [
        reply.answer.verdict for reply in replies if hasattr(reply, 'answer')
    ]
    assert verdicts == [answers.INTERRUPTED]


def test_a_lost_agent_holds_its_orphaned_jobs_until_their_lease_expired() -> (
    None
):
    """Guard against a start while the runs of a lost agent go on."""
    driver = EntryDriver(2)
    driver.receive('l0', work.OrphanedJobs(('one',)))
    driver.post(events.LinkDown(driver.now, 'l0', 'cut'))
    assert not _started_tasks(driver.submit('one'))
    driver.now += SETTLE_S - 0.1
    assert not _started_tasks(driver.post(events.Tick(driver.now)))
    driver.now += 0.2
    assert driver.post(events.Tick(driver.now))
    assert not driver.state.orphan_holders
    assert 'one' in driver.state.jobs


def test_an_agent_that_is_linked_again_releases_what_it_does_not_list() -> None:
    """Guard against jobs that wait for runs known to have ended."""
    driver = EntryDriver(2)
    driver.receive('l0', work.OrphanedJobs(('one', 'two')))
    driver.post(events.LinkDown(driver.now, 'l0', 'cut'))
    driver.post(events.LinkUp(driver.now, 'l9', dialled=False))
    driver.receive('l9', work.AgentHello('a0', 'a0#1', 'zone-a'))
    driver.receive('l9', work.OrphanedJobs(('two',)))
    driver.receive('l9', work.RunningTasks(()))
    assert set(driver.state.orphan_holders) == {'two'}


def test_orphaned_jobs_are_announced_and_released() -> None:
    """Guard against a start at an entry that the agent is not linked with."""
    driver = EntryDriver(1)
    _linked_peer(driver)
    driver.receive('l0', work.OrphanedJobs(('one',)))
    driver.now += 2
    assert _peer_messages(driver) == [
        work.JobsClaimed((), unsettled=('one',)),
    ]
    driver.receive('p0', work.RelinquishJob('one'))
    driver.now += 2
    assert work.JobRelinquished('one', '') not in _peer_messages(driver)
    driver.receive('l0', work.OrphanedJobs(()))
    driver.now += 2
    messages = _peer_messages(driver)
    assert work.JobRelinquished('one', '') in messages
    assert work.JobsReleased(('one',)) in messages


def _peer_messages(driver: EntryDriver) -> list[object]:
    sent = driver.post(events.Tick(driver.now))
    return [
        effect.message
        for effect in sent
        if isinstance(effect, Send) and effect.peer == 'p0'
    ]


def test_an_announced_orphan_stops_no_job_of_another_entry() -> None:
    """Guard against an entry that yields a job to nobody.

    Its agent is cut off from it alone, and other entries tell of the run.
    """
    driver = EntryDriver(1)
    driver.post(events.LinkUp(driver.now, 'p0', dialled=False))
    driver.receive('p0', work.EntryHello('e0', 'e0#1', 'e0'))
    driver.receive('p0', work.JobsClaimed((), complete=True))
    driver.submit('one')
    driver.receive('p0', work.JobsClaimed((), unsettled=('one',)))
    assert not driver.state.jobs['one'].ended
