"""Wait until a revision is in force everywhere."""

from __future__ import annotations

import anyio
from pydantic import Field

from savoryrudder.console.client import EntryClient
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.fleet import FleetRevisions
from savoryrudder.console.fleet import fetch_fleet_revisions
from savoryrudder.console.options import EntryOptions

_POLL_INTERVAL_S = 0.5


class ConfigWaitOptions(EntryOptions):
    """Define the arguments of `config wait`."""

    revision: int = Field(description='the lowest revision to wait for')
    timeout: float = Field(
        default=30,
        ge=0,
        description='the longest time to wait in seconds',
    )


async def config_wait(
    context: CommandContext, options: ConfigWaitOptions
) -> ExitCode:
    """Wait until all live entries and agents report a revision."""
    return await wait_for_revision(context, options)


async def wait_for_revision(
    context: CommandContext,
    options: ConfigWaitOptions,
) -> ExitCode:
    """Wait for a revision and list the processes that have not reached it."""
    client = context.connect(options.entry)
    fleet = await _poll_fleet(client, options.revision, options.timeout)
    if fleet is None:
        return context.report_unreachable(
            'no entry reported its status within the timeout'
        )
    behind = fleet.behind(options.revision)
    if options.as_json:
        context.write_json({'revision': options.revision, 'behind': behind})
    elif behind:
        context.write_lines(
            *(
                f'{name}: revision {reported}, not {options.revision}'
                for name, reported in behind.items()
            ),
        )
    else:
        context.write_lines(
            f'revision {options.revision} is in force everywhere'
        )
    return ExitCode.pending if behind else ExitCode.done


async def _poll_fleet(
    client: EntryClient,
    revision: int,
    timeout: float,
) -> FleetRevisions | None:
    deadline = anyio.current_time() + timeout
    fleet = await fetch_fleet_revisions(client)
    while fleet is None or fleet.behind(revision):
        if anyio.current_time() >= deadline:
            break
        await anyio.sleep(_POLL_INTERVAL_S)
        fleet = await fetch_fleet_revisions(client)
    return fleet
