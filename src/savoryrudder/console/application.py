"""Run the operators' commands."""

from __future__ import annotations

import inspect
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from types import MappingProxyType
from typing import Any
from typing import Final
from typing import get_type_hints

import anyio
from fire import Fire
from fire.decorators import SetParseFn
from pydantic import ValidationError

from savoryrudder.console.commands.cancel import cancel
from savoryrudder.console.commands.config_apply import config_apply
from savoryrudder.console.commands.config_check import config_check
from savoryrudder.console.commands.config_diff import config_diff
from savoryrudder.console.commands.config_show import config_show
from savoryrudder.console.commands.config_wait import config_wait
from savoryrudder.console.commands.drain import drain
from savoryrudder.console.commands.status import status
from savoryrudder.console.commands.submit import submit
from savoryrudder.console.commands.terms import terms
from savoryrudder.console.commands.traces import traces
from savoryrudder.console.context import CommandContext
from savoryrudder.console.context import ExitCode
from savoryrudder.console.context import UsageError
from savoryrudder.console.options import Options
from savoryrudder.policy.findings import format_key_path

_PROGRAM_NAME: Final = 'savoryrudder'
_Command = Callable[..., Awaitable[ExitCode]]
_CONFIG_COMMANDS: Final = MappingProxyType[str, _Command](
    {
        'check': config_check,
        'diff': config_diff,
        'apply': config_apply,
        'show': config_show,
        'wait': config_wait,
    },
)
_COMMANDS: Final = MappingProxyType[str, _Command](
    {
        'status': status,
        'submit': submit,
        'cancel': cancel,
        'drain': drain,
        'terms': terms,
        'traces': traces,
    },
)
# Fire would take the argument after a flag as the flag's value.
_BOOLEAN_FLAGS: Final = frozenset(('--json', '--itself'))
# Fire splits commands at "-", which `--tasks -` needs for standard input.
_NO_SEPARATOR: Final = '--separator=\0'
_INTERRUPTED_EXIT_CODE: Final = 130


class _Invocation:
    """Hold a command to run once Fire has consumed all arguments.

    Fire calls a command before it reports surplus arguments; a mistyped
    command line must not submit a job.
    """

    def __init__(self, command: _Command, options: Options) -> None:
        self._command = command
        self._options = options

    def start(
        self, context: CommandContext, trio_options: dict[str, Any]
    ) -> int:
        """Run the command and return its exit code."""
        return anyio.run(
            partial(self._command, context, self._options),
            backend='trio',
            backend_options=trio_options,
        )


def main() -> None:
    """Run the command line of the process."""
    sys.exit(run(sys.argv[1:], CommandContext()))


def run(
    arguments: Sequence[str],
    context: CommandContext,
    **trio_options: Any,
) -> int:
    """Run one command line and return its exit code."""
    try:
        return _run_command(arguments, context, trio_options)
    except SystemExit as fire_exit:
        # Fire raises it after printing help or a usage error.
        return int(fire_exit.code or 0)
    except (UsageError, ValidationError) as error:
        context.warn(*_format_usage_error(error))
        return ExitCode.usage
    except KeyboardInterrupt:
        return _INTERRUPTED_EXIT_CODE


def _format_usage_error(error: UsageError | ValidationError) -> list[str]:
    if isinstance(error, UsageError):
        return [str(error)]
    return [
        '{0}: {1}'.format(format_key_path(detail['loc']), detail['msg'])
        for detail in error.errors(include_url=False)
    ]


def _run_command(
    arguments: Sequence[str],
    context: CommandContext,
    trio_options: dict[str, Any],
) -> int:
    invocation = _parse_command(_prepare_arguments(arguments))
    if isinstance(invocation, _Invocation):
        return invocation.start(context, trio_options)
    context.warn(f'no command given; see "{_PROGRAM_NAME} --help"')
    return ExitCode.usage


def _prepare_arguments(arguments: Sequence[str]) -> list[str]:
    prepared = [
        f'{argument}=True' if argument in _BOOLEAN_FLAGS else argument
        for argument in arguments
    ]
    if '--' not in prepared:
        prepared.append('--')
    return [*prepared, _NO_SEPARATOR]


def _parse_command(arguments: list[str]) -> Any:
    components: dict[str, Any] = _defer_commands(_COMMANDS)
    components['config'] = _defer_commands(_CONFIG_COMMANDS)
    return Fire(components, arguments, _PROGRAM_NAME, lambda _: None)


def _defer_commands(
    commands: MappingProxyType[str, _Command],
) -> dict[str, Any]:
    return {name: _defer_command(command) for name, command in commands.items()}


def _defer_command(command: _Command) -> Callable[..., _Invocation]:
    options_type = get_type_hints(command)['options']
    signature = _command_signature(options_type)
    return _set_metadata(
        lambda *positional, **named: _Invocation(
            command,
            options_type(**signature.bind(*positional, **named).arguments),
        ),
        signature,
        _help_text(command, options_type),
    )


def _set_metadata(
    parse: Callable[..., _Invocation],
    signature: inspect.Signature,
    help_text: str,
) -> Callable[..., _Invocation]:
    parse.__doc__ = help_text
    parse.__dict__['__signature__'] = signature
    # Fire would convert a key such as 1_000 to a number.
    SetParseFn(str)(parse)
    return parse


def _command_signature(options_type: type[Options]) -> inspect.Signature:
    declared = inspect.signature(options_type)
    required: list[inspect.Parameter] = []
    optional: list[inspect.Parameter] = []
    for parameter in declared.parameters.values():
        if parameter.default is inspect.Parameter.empty:
            positional = inspect.Parameter.POSITIONAL_OR_KEYWORD
            required.append(parameter.replace(kind=positional))
        else:
            optional.append(parameter)
    return declared.replace(parameters=[*required, *optional])


def _help_text(command: _Command, options_type: type[Options]) -> str:
    arguments = [
        f'    {field.alias or name}: {field.description}'
        for name, field in options_type.model_fields.items()
    ]
    summary = inspect.getdoc(command) or ''
    return '\n'.join((summary, '', 'Args:', *arguments))
