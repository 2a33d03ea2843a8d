"""Show the state of an entry and its fleet."""

from __future__ import annotations

from collections.abc import Iterator

from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.fleet import STATUS_REQUEST
from savoryrudder.console.fleet import AgentStatus
from savoryrudder.console.fleet import EntryStatus
from savoryrudder.console.options import EntryOptions


async def status(context: CommandContext, options: EntryOptions) -> ExitCode:
    """Show entries, agents, partitions and queues as one entry sees them."""
    response = await context.connect(options.entry).call(STATUS_REQUEST)
    if response.is_error():
        return context.report_unreachable(response.error)
    if not response.ok.succeeded:
        return context.report_refusal(response.ok)
    decoded = response.ok.decode(EntryStatus)
    if decoded.is_error():
        return context.report_unreachable(decoded.error)
    if options.as_json:
        context.write_json(response.ok.body)
    else:
        context.write_lines(*_format_status(decoded.ok))
    return ExitCode.done


def _format_status(entry_status: EntryStatus) -> Iterator[str]:
    draining = ', draining' if entry_status.draining else ''
    yield (
        f'entry {entry_status.entry}: revision {entry_status.revision}, '
        f'store {entry_status.store}{draining}'
    )
    yield 'partitions: {0}'.format(_format_counts(entry_status.partitions))
    yield 'queued: {0}'.format(_format_counts(entry_status.queued))
    for peer in entry_status.live_entries:
        yield (
            f'live entry {peer.entry} at {peer.address}: '
            f'revision {peer.revision}'
        )
    for agent in entry_status.agents:
        yield _format_agent(agent)


def _format_agent(agent: AgentStatus) -> str:
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


def _format_counts(counts: dict[str, int]) -> str:
    if not counts:
        return 'none'
    return ', '.join(f'{name} {count}' for name, count in counts.items())
