"""Guard the invariants against one class of faults per test."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from fakes.world import POLICY
from fakes.world import World
from scenario import faults_end
from scenario import fresh_key
from scenario import key_owned_by
from scenario import set_refusal_ratio
from scenario import start_counts

from savoryrudder.entry import documents
from savoryrudder.protocol import messages

MakeWorld = Callable[..., World]


def test_job_completes_without_faults(make_world: MakeWorld) -> None:
    """Guard against a simulation in which no job runs."""
    world = make_world(1)
    calls = [
        world.callers.submit(world.processes[host], f'k-{host}', 5)
        for host in ('e1', 'e2', 'e3')
    ]
    world.clock.run(5)
    assert {call.status for call in calls} == {'complete/'}
    assert not faults_end(world)


def test_killed_entry_mid_job(make_world: MakeWorld) -> None:
    """Guard against a second start after a resubmission elsewhere."""
    world = make_world(2)
    key = key_owned_by(world, 'e1')
    call = world.callers.submit(world.processes['e1'], key, 20, persistent=True)
    world.clock.run(0.3)
    world.kill('e1')
    world.clock.run(25)
    retried = list(world.callers.calls.values())[-1]
    assert retried.status == 'complete/'
    assert start_counts(world, call) == {1}
    assert not faults_end(world)


def test_killed_entry_and_agent(make_world: MakeWorld) -> None:
    """Guard against a second start when the record is lost with its agent."""
    world = make_world(3)
    key = key_owned_by(world, 'e1')
    world.callers.submit(world.processes['e1'], key, 12, persistent=True)
    world.clock.run(0.1)
    world.kill('e1')
    world.kill('a1', 1)
    world.clock.run(20)
    copy = world.callers.submit(world.processes['e2'], key, 12)
    unrelated = world.callers.submit(world.processes['e2'], fresh_key(world))
    world.clock.run(8)
    assert copy.status == 'refused/in-doubt'
    assert unrelated.status == 'complete/'
    assert not faults_end(world)


@pytest.mark.parametrize('seconds', [4, 9, 15])
def test_frozen_entry(make_world: MakeWorld, seconds: float) -> None:
    """Guard against starts by a former owner that thaws after a takeover."""
    world = make_world(4)
    key = key_owned_by(world, 'e1')
    calls = [world.callers.submit(world.processes['e1'], key, 40)]
    world.clock.run(0.2)
    world.freeze('e1', seconds)
    calls.append(world.callers.submit(world.processes['e1'], key, 40))
    world.clock.run(1)
    calls.append(world.callers.submit(world.processes['e2'], key, 40))
    world.clock.run(seconds + 12)
    assert start_counts(world, calls[0]) == {1}
    assert not faults_end(world)


def test_cut_link_with_starts_in_flight(make_world: MakeWorld) -> None:
    """Guard against start messages that are lost or arrive late."""
    world = make_world(5)
    key = key_owned_by(world, 'e2')
    world.links.delay_s = 0.3
    call = world.callers.submit(world.processes['e2'], key, 12)
    for _ in range(6):
        world.clock.run(0.15)
        for agent in ('a1', 'a2', 'a3'):
            world.links.cut(world.processes['e2'].name, agent)
    world.clock.run(10)
    assert call.status == 'complete/'
    assert start_counts(world, call) == {1}
    assert not faults_end(world)


def test_silent_link(make_world: MakeWorld) -> None:
    """Guard against a job that waits forever for a silent link."""
    world = make_world(6)
    key = key_owned_by(world, 'e2')
    call = world.callers.submit(world.processes['e2'], key, 12)
    world.clock.run(0.1)
    world.links.silence(world.processes['e2'].name, 'a1', 5)
    world.clock.run(10)
    assert call.status == 'complete/'
    assert start_counts(world, call) == {1}
    assert not faults_end(world)


def test_frozen_agent(make_world: MakeWorld) -> None:
    """Guard against queued start messages that an agent runs after a thaw."""
    world = make_world(7)
    calls = [
        world.callers.submit(world.processes['e1'], f'k{number}', 6)
        for number in range(4)
    ]
    world.clock.run(0.1)
    world.freeze('a1', 13)
    world.clock.run(20)
    assert all(call.answer for call in calls)
    assert not faults_end(world)


def test_store_outage_of_an_hour(make_world: MakeWorld) -> None:
    """Guard against partitions with no owner or two during a store outage."""
    world = make_world(8)
    world.store.down = True
    calls = []
    for number in range(6):
        world.clock.run(600)
        entry = world.processes[f'e{number % 3 + 1}']
        calls.append(world.callers.submit(entry, f'k{number}'))
    world.clock.run(8)
    assert {call.status for call in calls} == {'complete/'}
    assert not faults_end(world)


def test_entry_dies_during_store_outage(make_world: MakeWorld) -> None:
    """Guard against an entry that acts without a promise of every peer."""
    world = make_world(9)
    world.store.down = True
    world.clock.run(30)
    world.kill('e1', 40)
    calls = []
    for second in range(20):
        entry = world.processes[f'e{second % 2 + 2}']
        calls.append(world.callers.submit(entry, f'k{second}', persistent=True))
        world.clock.run(1)
    assert not faults_end(world)


def test_lost_answer_of_a_takeover(make_world: MakeWorld) -> None:
    """Guard against a blind retry of a swap that has taken effect."""
    world = make_world(10)
    key = key_owned_by(world, 'e1')
    call = world.callers.submit(world.processes['e1'], key, 12, persistent=True)
    world.clock.run(0.2)
    world.kill('e1')
    world.store.lose_answers += ('CompareAndSwap', 'CompareAndSwap')
    world.clock.run(25)
    retried = list(world.callers.calls.values())[-1]
    assert retried.status == 'complete/'
    assert start_counts(world, call) == {1}
    assert not faults_end(world)


def test_lost_answers_of_lease_renewals(make_world: MakeWorld) -> None:
    """Guard against an entry that stops after one lost renewal."""
    world = make_world(11)
    kinds = ('RenewLease' for _ in range(6))
    world.store.lose_answers += kinds
    calls = []
    for second in range(12):
        calls.append(world.callers.submit(world.processes['e1'], f'k{second}'))
        world.clock.run(1)
    world.clock.run(6)
    assert {call.status for call in calls} == {'complete/'}
    assert not faults_end(world)


def test_slow_store(make_world: MakeWorld) -> None:
    """Guard against leases that expire while their renewal is in flight."""
    world = make_world(12)
    world.store.delay_s = 5
    for second in range(30):
        world.callers.submit(world.processes['e1'], f'k{second}')
        world.clock.run(1)
    assert not faults_end(world)


@pytest.mark.parametrize('host', ['e1', 'e2', 'a1', 'a2'])
def test_drain_under_traffic(make_world: MakeWorld, host: str) -> None:
    """Guard against a request that is interrupted by a graceful stop."""
    world = make_world(13)
    calls = []
    for step in range(60):
        if step == 20:
            world.drain(host)
        # The load balancer uses all entries until it has noticed the drain;
        # an entry that drains serves new requests for 2 s.
        number = step % 3 + 1 if step < 30 else 3
        entry = world.processes[f'e{number}']
        calls.append(world.callers.submit(entry, f'k{step}', 3))
        world.clock.run(0.1)
    world.clock.run(12)
    assert {call.status for call in calls} == {'complete/'}
    assert not world.processes[host].alive
    assert not faults_end(world)


def test_restarted_agent(make_world: MakeWorld) -> None:
    """Guard against a second start of tasks lost with their agent."""
    world = make_world(14)
    calls = [
        world.callers.submit(world.processes['e1'], f'k{number}', 4)
        for number in range(4)
    ]
    world.clock.run(0.1)
    world.kill('a1', 0.5)
    world.clock.run(12)
    assert {call.status for call in calls} <= {
        'complete/',
        'failed/agent-lost',
    }
    assert 'failed/agent-lost' in {call.status for call in calls}
    assert not faults_end(world)


@pytest.mark.parametrize('mode', ['late', 'twice', 'hang', 'failed'])
def test_misbehaving_upstream(make_world: MakeWorld, mode: str) -> None:
    """Guard against answers built from late, duplicate or missing results."""
    world = make_world(15)
    world.upstreams.modes['a1'] = mode
    calls = [
        world.callers.submit(world.processes['e1'], f'k{number}', 3)
        for number in range(6)
    ]
    world.clock.run(14)
    assert all(call.answer for call in calls)
    if mode == 'twice':
        assert {call.status for call in calls} == {'complete/'}
    assert not faults_end(world)


def test_concurrent_resubmissions(make_world: MakeWorld) -> None:
    """Guard against a copy that runs after another copy was refused."""
    world = make_world(16)
    set_refusal_ratio(world, 0.5, 16)
    world.callers.delay_s = 1.4
    for number in range(30):
        for host in ('e1', 'e2', 'e3'):
            world.callers.submit(world.processes[host], f'k{number}', 1)
        world.clock.run(0.2)
    world.clock.run(6)
    statuses = {call.status for call in world.callers.calls.values()}
    assert statuses == {'complete/', 'refused/overloaded'}
    assert not faults_end(world)


def test_conflicting_bodies(make_world: MakeWorld) -> None:
    """Guard against the results of another body with the same key."""
    world = make_world(17)
    calls = [
        world.callers.submit(world.processes[host], 'k', variant=host)
        for host in ('e1', 'e2', 'e3')
    ]
    world.clock.run(5)
    statuses = sorted(call.status for call in calls)
    assert statuses == [
        'complete/',
        'refused/key-conflict',
        'refused/key-conflict',
    ]
    assert not faults_end(world)


def test_cancel_that_overtakes_its_job(make_world: MakeWorld) -> None:
    """Guard against a job that runs after its cancel was answered not-run."""
    world = make_world(18)
    for number in range(20):
        world.callers.delay_s = 1.4
        host = f'e{number % 3 + 1}'
        submitted = world.callers.submit(world.processes[host], f'k{number}', 1)
        world.callers.delay_s = 0.4
        host = f'e{(number + 1) % 3 + 1}'
        world.callers.cancel(world.processes[host], submitted.job)
        world.clock.run(0.1)
    world.clock.run(8)
    assert not faults_end(world)


def test_fetch_that_overtakes_its_job(make_world: MakeWorld) -> None:
    """Guard against not-run answers for a job that is still in flight."""
    world = make_world(27)
    world.callers.delay_s = 1.4
    submitted = [
        world.callers.submit(world.processes['e1'], f'k{number}', 1)
        for number in range(10)
    ]
    world.callers.delay_s = 0.1
    for call in submitted:
        world.callers.fetch(world.processes['e2'], call.job)
    world.clock.run(4)
    assert {call.status for call in submitted} == {'complete/'}
    assert not faults_end(world)


def test_refusal_before_a_takeover(make_world: MakeWorld) -> None:
    """Guard against a waiting copy that runs after its key was refused."""
    world = make_world(28)
    key = key_owned_by(world, 'e1')
    set_refusal_ratio(world, 1, 28)
    owner, peer = world.processes['e1'].name, world.processes['e2'].name
    world.links.silence(owner, peer, 60)
    world.clock.run(4)
    copy = world.callers.submit(world.processes['e2'], key, 1)
    world.clock.run(0.2)
    refused = world.callers.submit(world.processes['e1'], key, 1)
    world.clock.run(0.2)
    set_refusal_ratio(world, 0, 28)
    world.kill('e1')
    world.clock.run(14)
    assert refused.status == 'refused/overloaded'
    assert copy.answer
    assert not faults_end(world)


def test_refusal_before_a_handover(make_world: MakeWorld) -> None:
    """Guard against a copy that the new owner runs after a refusal."""
    world = make_world(29)
    keys = [key_owned_by(world, 'e1', f'k{number}') for number in range(20)]
    set_refusal_ratio(world, 1, 29)
    for host in ('e2', 'e3'):
        world.processes[host].state.admission.ratio = 0
    world.drain('e1')
    for key in keys:
        world.callers.delay_s = 0.002
        world.callers.submit(world.processes['e1'], key, 1)
        world.callers.delay_s = 1
        world.callers.submit(world.processes['e2'], key, 1)
        world.clock.run(0.02)
    world.clock.run(8)
    assert not faults_end(world)


def test_mass_cancellation(make_world: MakeWorld) -> None:
    """Guard against cancelled jobs that run and against lost answers."""
    world = make_world(19)
    jobs = [
        world.callers.submit(world.processes['e1'], f'k{number}', 1)
        for number in range(10_000)
    ]
    world.clock.run(0.3)
    cancellations = [
        world.callers.cancel(world.processes['e1'], job.job) for job in jobs
    ]
    world.clock.run(5)
    assert all(call.answer for call in jobs + cancellations)
    started = len(world.oracle.starts)
    assert started < 100
    assert not faults_end(world)


def test_concurrent_configuration_changes(make_world: MakeWorld) -> None:
    """Guard against a change that silently overwrites another one."""
    world = make_world(20)
    for number in (1, 2):
        text = POLICY.replace('400', f'40{number}')
        change = (number, text, 1, f'op{number}', f'token{number}')
        world.processes[f'e{number}'].post('ConfigSubmitted', *change)
    world.clock.run(12)
    answers = world.operator_answers
    assert sorted(answer.status for answer in answers.values()) == [200, 409]
    conflict = next(reply for reply in answers.values() if reply.status == 409)
    assert conflict.body['author'] in {'op1', 'op2'}
    stored = world.config_revision()
    assert {process.revision for process in world.processes.values()} == {
        stored
    }
    assert not faults_end(world)


def test_lost_answer_of_a_configuration_change(make_world: MakeWorld) -> None:
    """Guard against a change that is in force but reported as refused."""
    world = make_world(21)
    world.store.lose_answers.append('CompareAndSwap')
    change = (1, POLICY.replace('400', '401'), 1, 'op', 'token')
    world.processes['e1'].post('ConfigSubmitted', *change)
    world.clock.run(12)
    assert world.operator_answers[1].status == 200
    assert not faults_end(world)


def test_agent_cut_off_from_a_change(make_world: MakeWorld) -> None:
    """Guard against an agent that never receives a configuration."""
    world = make_world(22)
    for entry in ('e1', 'e2', 'e3'):
        world.links.silence(world.processes[entry].name, 'a1', 8)
    for number in range(3):
        text = POLICY.replace('400', f'50{number}')
        previous = world.config_revision()
        change = (number, text, previous, 'op', f'token{number}')
        world.processes['e1'].post('ConfigSubmitted', *change)
        world.clock.run(2)
    world.clock.run(2 + 12)
    stored = world.config_revision()
    assert {process.revision for process in world.processes.values()} == {
        stored
    }
    assert not faults_end(world)


def test_restart_of_all_entries(make_world: MakeWorld) -> None:
    """Guard against a second start of tasks unknown to all entries."""
    world = make_world(23)
    jobs = [
        world.callers.submit(world.processes['e1'], f'k{number}', 4)
        for number in range(6)
    ]
    world.clock.run(0.2)
    for host in ('e1', 'e2', 'e3'):
        world.kill(host, 1)
    world.clock.run(20)
    copies = [
        world.callers.submit(world.processes['e2'], job.key, 4) for job in jobs
    ]
    world.clock.run(12)
    assert all(call.answer for call in copies)
    assert not faults_end(world)


def test_rosters_are_confirmed_without_a_dead_peer(
    make_world: MakeWorld,
) -> None:
    """Guard against new agents that wait a minute for a dead entry."""
    world = make_world(24)
    world.kill('e3')
    world.clock.run(12)
    world.kill('a1', 0)
    world.kill('a2', 0)
    world.kill('a3', 0)
    world.clock.run(3)
    call = world.callers.submit(world.processes['e1'], fresh_key(world))
    world.clock.run(5)
    assert call.status == 'complete/'


def test_forwarded_request_survives_a_new_session(
    make_world: MakeWorld,
) -> None:
    """Guard against a forwarded request lost with a replaced session."""
    world = make_world(26)
    key = key_owned_by(world, 'e1')
    world.links.delay_s = 0.3
    calls = []
    for _ in range(20):
        calls.append(world.callers.submit(world.processes['e2'], key))
        world.clock.run(0.3)
        owner, peer = world.processes['e1'].name, world.processes['e2'].name
        world.links.cut(owner, peer)
    world.links.delay_s = 0.002
    world.clock.run(12)
    assert {call.status for call in calls} == {'complete/'}
    assert not faults_end(world)


def test_outdated_configuration_is_ignored(
    make_world: MakeWorld,
) -> None:
    """Guard against a delayed older configuration that is applied."""
    world = make_world(26)
    agent = world.processes['a1']
    world.store.write(
        documents.CONFIG_KEY,
        documents.encode(
            {'text': POLICY, 'author': '', 'applied_at': '', 'token': 't2'}
        ),
    )
    world.clock.run(12)
    session = agent.sessions[world.processes['e1'].name]
    outdated = messages.Config(1, POLICY)
    sender = world.processes['e1'].name
    agent.post('MessageReceived', sender, session.name, 1, outdated)
    assert agent.revision == world.config_revision()
    assert not faults_end(world)


def test_restarted_entry_links_to_all_peers(make_world: MakeWorld) -> None:
    """Guard against a link that opens before its peer has registered."""
    world = make_world(30)
    world.store.delay_s = 2
    world.kill('e2', 0.1)
    world.clock.run(14)
    names = {world.processes[host].name for host in ('e1', 'e2', 'e3')}
    for name in names:
        process = world.processes[name[:2]]
        peers = process.state.peers
        linked = {peer for peer in peers if peers[peer].session}
        assert linked == names - {name}
    assert not faults_end(world)
