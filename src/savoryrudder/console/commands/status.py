"""Show the state of an entry and its fleet."""

from __future__ import annotations

from collections.abc import Iterator

from savoryrudder.console.fleet import STATUS
from savoryrudder.console.fleet import Agent
from savoryrudder.console.fleet import Status
from savoryrudder.console.options import EntryOptions
from savoryrudder.console.session import ExitCode
from savoryrudder.console.session import Session


async def status(session: Session, options: EntryOptions) -> ExitCode:
    """Show entries, agents, partitions and queues as one entry sees them."""
    answer = await session.connect(options.entry).call(STATUS)
    if answer.is_error():
        return session.unreachable(answer.error)
    if not answer.ok.succeeded:
        return session.refused(answer.ok)
    seen = answer.ok.read(Status)
    if seen.is_error():
        return session.unreachable(seen.error)
    if options.as_json:
        session.dump(answer.ok.body)
    else:
        session.say(*_describe(seen.ok))
    return ExitCode.done


def _describe(seen: Status) -> Iterator[str]:
    draining = ', draining' if seen.draining else ''
    yield (
        f'entry {seen.entry}: revision {seen.revision}, '
        f'store {seen.store}{draining}'
    )
    yield 'partitions: {0}'.format(_pairs(seen.partitions))
    yield 'queued: {0}'.format(_pairs(seen.queued))
    for peer in seen.live_entries:
        yield (
            f'live entry {peer.entry} at {peer.address}: '
            f'revision {peer.revision}'
        )
    for agent in seen.agents:
        yield _describe_agent(agent)


def _describe_agent(agent: Agent) -> str:
    parts = [
        f'agent {agent.agent}: service {agent.service}',
        f'zone {agent.zone}',
        f'revision {agent.revision}',
        f'slots {agent.slots}',
        f'credits {agent.credits}',
    ]
    if agent.leaving:
        parts.append('leaving')
    if agent.ejected:
        parts.append('ejected')
    return ', '.join(parts)


def _pairs(counts: dict[str, int]) -> str:
    if not counts:
        return 'none'
    return ', '.join(f'{name} {count}' for name, count in counts.items())
