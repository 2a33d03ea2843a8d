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
from savoryrudder.console.options import Options
from savoryrudder.console.session import ExitCode
from savoryrudder.console.session import Session
from savoryrudder.console.session import UsageError
from savoryrudder.policy.findings import format_key_path

_NAME: Final = 'savoryrudder'
_Command = Callable[..., Awaitable[ExitCode]]
_CONFIG: Final = MappingProxyType[str, _Command](
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
_FLAGS: Final = frozenset(('--json', '--itself'))
# Fire splits commands at "-", which `--tasks -` needs for standard input.
_NO_SEPARATOR: Final = '--separator=\0'
_INTERRUPTED: Final = 130


class _Invocation:
    """A command to run once Fire has consumed all arguments.

    Fire calls a command before it reports surplus arguments; a mistyped
    command line must not submit a job.
    """

    def __init__(self, command: _Command, options: Options) -> None:
        self._command = command
        self._options = options

    def start(self, session: Session, trio_options: dict[str, Any]) -> int:
        """Run the command and return its exit code."""
        return anyio.run(
            partial(self._command, session, self._options),
            backend='trio',
            backend_options=trio_options,
        )


def main() -> None:
    """Run the command line of the process."""
    sys.exit(run(sys.argv[1:], Session()))


def run(
    arguments: Sequence[str],
    session: Session,
    **trio_options: Any,
) -> int:
    """Run one command line and return its exit code."""
    try:
        return _run(arguments, session, trio_options)
    except SystemExit as request:
        # Fire raises it after printing help or a usage error.
        return int(request.code or 0)
    except (UsageError, ValidationError) as error:
        session.warn(*_describe_usage(error))
        return ExitCode.usage
    except KeyboardInterrupt:
        return _INTERRUPTED


def _describe_usage(error: UsageError | ValidationError) -> list[str]:
    if isinstance(error, UsageError):
        return [str(error)]
    return [
        '{0}: {1}'.format(format_key_path(detail['loc']), detail['msg'])
        for detail in error.errors(include_url=False)
    ]


def _run(
    arguments: Sequence[str],
    session: Session,
    options: dict[str, Any],
) -> int:
    invocation = _parse(_prepare(arguments))
    if isinstance(invocation, _Invocation):
        return invocation.start(session, options)
    session.warn(f'no command given; see "{_NAME} --help"')
    return ExitCode.usage


def _prepare(arguments: Sequence[str]) -> list[str]:
    prepared = [
        f'{argument}=True' if argument in _FLAGS else argument
        for argument in arguments
    ]
    if '--' not in prepared:
        prepared.append('--')
    return [*prepared, _NO_SEPARATOR]


def _parse(arguments: list[str]) -> Any:
    tree: dict[str, Any] = _deferred_all(_COMMANDS)
    tree['config'] = _deferred_all(_CONFIG)
    return Fire(tree, arguments, _NAME, lambda _: None)


def _deferred_all(
    commands: MappingProxyType[str, _Command],
) -> dict[str, Any]:
    return {name: _deferred(command) for name, command in commands.items()}


def _deferred(command: _Command) -> Callable[..., _Invocation]:
    kind = get_type_hints(command)['options']
    signature = _signature(kind)
    return _described(
        lambda *positional, **named: _Invocation(
            command,
            kind(**signature.bind(*positional, **named).arguments),
        ),
        signature,
        _help_text(command, kind),
    )


def _described(
    parse: Callable[..., _Invocation],
    signature: inspect.Signature,
    help_text: str,
) -> Callable[..., _Invocation]:
    parse.__doc__ = help_text
    parse.__dict__['__signature__'] = signature
    # Fire would convert a key such as 1_000 to a number.
    SetParseFn(str)(parse)
    return parse


def _signature(kind: type[Options]) -> inspect.Signature:
    signature = inspect.signature(kind)
    required: list[inspect.Parameter] = []
    optional: list[inspect.Parameter] = []
    for parameter in signature.parameters.values():
        if parameter.default is inspect.Parameter.empty:
            positional = inspect.Parameter.POSITIONAL_OR_KEYWORD
            required.append(parameter.replace(kind=positional))
        else:
            optional.append(parameter)
    return signature.replace(parameters=[*required, *optional])


def _help_text(command: _Command, kind: type[Options]) -> str:
    arguments = [
        f'    {field.alias or name}: {field.description}'
        for name, field in kind.model_fields.items()
    ]
    summary = inspect.getdoc(command) or ''
    return '\n'.join((summary, '', 'Args:', *arguments))
