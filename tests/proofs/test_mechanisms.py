"""Check that the oracle detects the loss of each safety mechanism."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import pytest
from fakes.world import POLICY
from fakes.world import World
from scenario import key_owned_by
from scenario import set_refusal_ratio

from savoryrudder.agent import state as agent_state
from savoryrudder.agent.records import RecordTable
from savoryrudder.entry import agents
from savoryrudder.entry import answers
from savoryrudder.entry import configuration
from savoryrudder.entry import dispatching
from savoryrudder.entry import leases
from savoryrudder.entry import partitions
from savoryrudder.entry import routing
from savoryrudder.entry import submissions
from savoryrudder.entry.placement import Fleet
from savoryrudder.protocol import messages

MakeWorld = Callable[..., World]
Patch = pytest.MonkeyPatch


def _resubmit_after_loss(world: World) -> None:
    """Kill an entry during a job; its caller resubmits to another one."""
    world.links.delay_s = 0.3
    key = key_owned_by(world, 'e1')
    entry = world.processes['e1']
    world.callers.submit(entry, key, 12, persistent=True)
    world.clock.run(0.8)
    world.kill('e1')
    world.clock.run(20)


def _lose_entry_and_agent(world: World) -> None:
    """Kill an entry and an agent that has records of its job."""
    key = key_owned_by(world, 'e1')
    entry = world.processes['e1']
    world.callers.submit(entry, key, 12, persistent=True)
    world.clock.run(0.3)
    world.kill('e1')
    world.kill('a1', 1)
    world.clock.run(20)


def _cut_off_owner(world: World) -> None:
    """Cut an owner off from the store; its successor runs a job."""
    key = key_owned_by(world, 'e1')
    world.store.cut_off.add(world.processes['e1'].name)
    # The new owner runs only jobs received after its takeover.
    world.clock.run(24)
    call = world.callers.submit(world.processes['e2'], key)
    world.clock.run(3)
    world.callers.cancel(world.processes['e1'], call.job)
    world.clock.run(3)


def _slow_clock(world: World) -> None:
    """Slow down the clock of an owner, so that its lease seems valid."""
    key = key_owned_by(world, 'e1')
    world.processes['e1'].clock_rate = 0.3
    world.clock.run(1)
    world.store.cut_off.add(world.processes['e1'].name)
    world.clock.run(17.5)
    for host in ('e2', 'e1'):
        world.callers.submit(world.processes[host], key, 12)
    world.clock.run(5)


def _new_agent_unknown_to_peers(world: World) -> None:
    """Run a job on an agent unknown to the peers, then kill the entry."""
    key = key_owned_by(world, 'e1')
    entry = world.processes['e1']
    for peer in ('e2', 'e3'):
        world.links.silence(entry.name, world.processes[peer].name, 60)
        world.links.silence('a4', world.processes[peer].name, 60)
    for agent in ('a1', 'a2', 'a3'):
        world.links.silence(entry.name, agent, 60)
    world.clock.run(4)
    world.start('a4')
    world.clock.run(2)
    world.callers.submit(entry, key, 4)
    world.clock.run(2)
    world.kill('e1')
    world.clock.run(12)
    world.callers.submit(world.processes['e2'], key, 4)
    world.clock.run(8)


def _crossed_copies(world: World) -> None:
    """Submit copies of jobs while some are refused."""
    set_refusal_ratio(world, 0.5, 7)
    world.callers.delay_s = 1.4
    for number in range(20):
        for host in ('e1', 'e2', 'e3'):
            world.callers.submit(world.processes[host], f'k{number}', 1)
    world.clock.run(6)


def _damaged_results(world: World) -> None:
    """Corrupt results in flight."""
    world.links.corrupt_results = True
    world.callers.submit(world.processes['e1'], 'k')
    world.clock.run(4)


def _leaving_agent(world: World) -> None:
    """Submit jobs well after an agent announced its leaving."""
    world.drain('a1')
    world.clock.run(4)
    for number in range(9):
        world.callers.submit(world.processes['e1'], f'k{number}', 4)
    world.clock.run(3)


def _older_configuration(world: World) -> None:
    """Deliver an older configuration to an agent and an entry."""
    older = messages.Config(0, POLICY)
    sender = world.processes['e1'].name
    for host in ('a1', 'e2'):
        process = world.processes[host]
        session = process.sessions[sender].name
        process.post('MessageReceived', sender, session, 1, older)


def _failing_upstream(world: World) -> None:
    """Run a job of which some tasks fail."""
    world.upstreams.modes['a1'] = 'failed'
    world.callers.submit(world.processes['e1'], 'partly', 12)
    world.clock.run(5)


def _always(*arguments: Any) -> bool:
    return True


def _never(*arguments: Any) -> bool:
    return False


def _may_act_without_promises(state: Any, now: float) -> bool:
    return leases.may_act(state, now) or not state.store.available


def _refuse_without_record(
    turn: Any, request: Any, _: bytes, answer: Any
) -> None:
    answers.reply(turn, request.waiter, answer)


def _apply_any_config(turn: Any, message: messages.Config) -> None:
    configuration._apply_config(turn, message.revision, message.text)


def _without_epochs(patch: Patch) -> None:
    patch.setattr(agent_state.AgentState, 'accept_epoch', _always)


def _without_records(patch: Patch) -> None:
    patch.setattr(RecordTable, 'select', lambda *_: ())


def _without_lease_deadline(patch: Patch) -> None:
    for module in (dispatching, routing, submissions):
        patch.setattr(module, 'may_act', _always)


def _without_doubt_check(patch: Patch) -> None:
    patch.setattr(routing, '_is_in_doubt', _never)


def _without_promises(patch: Patch) -> None:
    for module in (dispatching, routing, submissions):
        patch.setattr(module, 'may_act', _may_act_without_promises)


def _without_roster_wait(patch: Patch) -> None:
    patch.setattr(agents, 'ROSTER_CONFIRMATION_TIMEOUT_S', -1)


def _without_refusals(patch: Patch) -> None:
    patch.setattr(routing, '_refuse', _refuse_without_record)


def _without_digests(patch: Patch) -> None:
    patch.setattr(
        submissions,
        'digest_of',
        lambda _: type('Any', (), {'__eq__': _always})(),
    )


def _without_leaving(patch: Patch) -> None:
    patch.setattr(Fleet, 'mark_leaving', _never)
    never_draining = property(_never, lambda *_: None)
    patch.setattr(agent_state.AgentState, 'draining', never_draining)


def _without_revisions(patch: Patch) -> None:
    patch.setattr(configuration, 'handle_config', _apply_any_config)


def _answer_complete(submission: Any, *, certain: bool) -> messages.Answer:
    outcomes = tuple(
        messages.TaskOutcome(task.status, task.result, task.reason)
        for task in submission.tasks
    )
    return messages.Answer('complete', '', '', '', 0, outcomes)


def _without_whole_answers(patch: Patch) -> None:
    patch.setattr(submissions, 'job_answer', _answer_complete)


CASES = MappingProxyType(
    {
        'epochs': (_without_epochs, _slow_clock, 1, 'P1'),
        'records': (_without_records, _resubmit_after_loss, 2, 'P1'),
        'lease': (_without_lease_deadline, _cut_off_owner, 3, 'P4'),
        'promise': (_without_promises, _cut_off_owner, 4, 'P4'),
        'doubt': (_without_doubt_check, _lose_entry_and_agent, 5, 'P1'),
        'takeover-wait': (_without_doubt_check, _resubmit_after_loss, 1, 'P1'),
        'roster': (_without_roster_wait, _new_agent_unknown_to_peers, 7, 'P1'),
        'refusals': (_without_refusals, _crossed_copies, 8, 'P4'),
        'whole-answers': (_without_whole_answers, _failing_upstream, 15, 'P2'),
        'digests': (_without_digests, _damaged_results, 9, 'P3'),
        'leaving': (_without_leaving, _leaving_agent, 10, 'P6'),
        'revisions': (_without_revisions, _older_configuration, 11, 'P8'),
    }
)


@pytest.mark.parametrize('name', CASES)
def test_oracle_notices_a_missing_mechanism(
    make_world: MakeWorld,
    monkeypatch: Patch,
    name: str,
) -> None:
    """Guard against an oracle that passes without the mechanism."""
    switch_off, scenario, seed, violated = CASES[name]
    intact = make_world(seed)
    scenario(intact)
    switch_off(monkeypatch)
    broken = make_world(seed)
    scenario(broken)
    detected = {violation[:2] for violation in broken.oracle.find_violations()}
    assert violated not in {
        text[:2] for text in intact.oracle.find_violations()
    }
    assert violated in detected


def test_a_drain_without_a_handover_loses_requests(
    make_world: MakeWorld,
    monkeypatch: Patch,
) -> None:
    """Guard against a test of P7 that passes without a handover."""
    monkeypatch.setattr(partitions, '_reroute', submissions.drop_submission)
    world = make_world(13)
    key = key_owned_by(world, 'e1')
    call = world.callers.submit(world.processes['e1'], key, 20)
    world.clock.run(0.1)
    world.drain('e1')
    world.clock.run(12)
    assert call.status != 'complete/'
