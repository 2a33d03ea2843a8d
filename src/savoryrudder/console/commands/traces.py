"""Show a trace from span files."""

from __future__ import annotations

from pydantic import Field

from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.context import UsageError
from savoryrudder.console.options import Options
from savoryrudder.console.spans import SpanTree
from savoryrudder.console.spans import read_spans


class TracesOptions(Options):
    """Define the arguments of `traces`."""

    files: str = Field(description='span files, separated by commas')
    trace: str = Field(
        default='',
        description='the trace to show, or the start of its identifier',
    )


async def traces(context: CommandContext, options: TracesOptions) -> ExitCode:
    """Show one trace as a tree, or list the traces of the files."""
    paths = [path.strip() for path in options.files.split(',') if path.strip()]
    try:
        spans, errors = read_spans(paths)
    except OSError as error:
        raise UsageError(f'{error.filename}: {error.strerror}') from None
    context.warn(*errors)
    trace_ids = sorted({span.trace_id for span in spans})
    matching = [
        trace_id for trace_id in trace_ids if trace_id.startswith(options.trace)
    ]
    if not matching:
        context.warn(f'no trace starts with "{options.trace}"')
        return ExitCode.refused
    trees = [SpanTree(spans, trace_id) for trace_id in matching]
    if options.as_json:
        context.write_json([tree.as_rows() for tree in trees])
    elif len(trees) == 1:
        context.write_lines(*trees[0].as_lines())
    else:
        context.write_lines(*(tree.summary() for tree in trees))
    return ExitCode.done
