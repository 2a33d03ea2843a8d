"""Guard all invariants against random faults at random times."""

from __future__ import annotations

from typing import Any

from fakes.callers import make_job
from fakes.world import World
from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from oracle import Oracle
from scenario import entry_hosts
from scenario import faults_end
from scenario import set_refusal_ratio

EXAMPLES = 80
# Pauses shorter than a round trip, a task and a lease, and longer ones.
PAUSES_S = (0, 0.005, 0.05, 0.3, 1, 3, 7)
MODES = ('hang', 'late', 'failed', 'unknown', 'twice')
WRITES = ('CompareAndSwap', 'RenewLease', 'GrantLease')

ENTRY = st.sampled_from(('e1', 'e2', 'e3'))
AGENT = st.sampled_from(('a1', 'a2', 'a3'))
PLACE = ENTRY | AGENT
SECONDS = st.sampled_from((0.5, 4, 8, 14))
DELAY = st.sampled_from((0.002, 0.2, 1.4))
NUMBER = st.integers(0, 5)


def job_fields(number: int) -> tuple[str, str, str, int]:
    """Return key, variant, operation and size of a job."""
    operation = ('cutting-plan', 'sheet-quote')[number % 2]
    return f'k{number}', '', operation, number + 1


def submit(world: World, entry: str, number: int, persistent: bool) -> None:
    """Submit a job or a copy of it."""
    key, _, operation, tasks = job_fields(number)
    options = {'operation': operation, 'persistent': persistent}
    world.callers.submit(world.processes[entry], key, tasks, **options)


def burst(world: World, number: int) -> None:
    """Submit copies of a job through all entries at the same time."""
    for entry in entry_hosts(world):
        submit(world, entry, number, persistent=False)


def cancel(world: World, entry: str, number: int) -> None:
    """Cancel a job, which may be unknown."""
    world.callers.cancel(world.processes[entry], make_job(*job_fields(number)))


def fetch(world: World, entry: str, number: int) -> None:
    """Fetch the answer to a job, which may be unknown."""
    world.callers.fetch(world.processes[entry], make_job(*job_fields(number)))


def drain(world: World, place: str) -> None:
    """Stop a process gracefully and restart it."""
    world.drain(place, 15)
    world.clock.after(20, world.ensure_started, place)


def cut(world: World, entry: str, place: str) -> None:
    """Cut a link."""
    world.links.cut(world.processes[entry].name, world.processes[place].name)


def silence(world: World, entry: str, place: str, seconds: float) -> None:
    """Lose all frames of a link for a time."""
    ends = (world.processes[end].name for end in (entry, place))
    world.links.silence(*ends, seconds)


def slow(world: World, part: str, delay: float) -> None:
    """Change the latency of links, callers or the store."""
    getattr(world, part).delay_s = delay


def switch_store(world: World, down: bool) -> None:
    """Begin or end an outage of the store."""
    world.store.down = down


def cut_off(world: World, entry: str) -> None:
    """Cut an entry off from the store until all faults end."""
    world.store.cut_off.add(world.processes[entry].name)


def lose_answer(world: World, kind: str) -> None:
    """Lose the answer to the next write of a kind."""
    world.store.lose_answers.append(kind)


def misbehave(world: World, agent: str, mode: str) -> None:
    """Set the fault of an upstream."""
    world.upstreams.modes[agent] = mode


def refuse(world: World, ratio: float) -> None:
    """Make the entries refuse a ratio of the jobs."""
    set_refusal_ratio(world, ratio, len(world.callers.calls))


def configure(world: World, entry: str, number: int) -> None:
    """Change the configuration against the revision in force at an entry."""
    process = world.processes[entry]
    text = f'# {number}\n{process.state.config_text}'
    request = world.clock.randomness.getrandbits(40)
    change = (request, text, process.revision, entry, f'token{request}')
    process.post('ConfigSubmitted', *change)


def step(action: Any, *drawn: Any) -> Any:
    """Return a strategy for an action with its arguments."""
    return st.tuples(st.just(action), st.tuples(*drawn))


STEPS = st.one_of(
    step(submit, ENTRY, NUMBER, st.booleans()),
    step(submit, ENTRY, NUMBER, st.booleans()),
    step(burst, NUMBER),
    step(cancel, ENTRY, NUMBER),
    step(fetch, ENTRY, NUMBER),
    step(World.kill, PLACE, SECONDS),
    step(World.freeze, PLACE, SECONDS),
    step(drain, PLACE),
    step(cut, ENTRY, PLACE),
    step(silence, ENTRY, PLACE, SECONDS),
    step(slow, st.sampled_from(('links', 'callers', 'store')), DELAY),
    step(switch_store, st.booleans()),
    step(cut_off, ENTRY),
    step(lose_answer, st.sampled_from(WRITES)),
    step(misbehave, AGENT, st.sampled_from(MODES)),
    step(refuse, st.sampled_from((0, 0.5))),
    step(configure, ENTRY, NUMBER),
)
HISTORIES = st.lists(
    st.tuples(STEPS, st.sampled_from(PAUSES_S)),
    min_size=4,
    max_size=24,
)


# Shrinking a history takes minutes; the failing one is printed as drawn.
@settings(max_examples=EXAMPLES, phases=(Phase.generate,))
@given(st.integers(0, 999), HISTORIES)
def test_invariants_hold(seed: int, history: Any) -> None:
    """Guard against violations by single, joint and repeated faults."""
    world = World(Oracle(), seed)
    for (action, arguments), pause in history:
        action(world, *arguments)
        world.clock.run(pause)
    assert not faults_end(world)
