"""Record sessions as text; run as a module to rewrite the golden files."""

from __future__ import annotations

import pathlib
from types import MappingProxyType
from typing import Any

from fakes.world import World

_HERE = pathlib.Path(__file__).parent
_OMITTED_EFFECTS = frozenset(('Count', 'Observe', 'CallStore'))
_ROUNDS_POLICY = """
[services.rounds.operations]
wreath-order = { idempotent = false, expected_ms = 300 }
route = { idempotent = true, expected_ms = 900 }
quote = { idempotent = true, expected_ms = 100 }
[clients.shop]
rate = 50
burst = 100
concurrent = 100
"""
_PANE_POLICY = """
[services.pane.operations]
cutting-plan = { idempotent = false, expected_ms = 400 }
sheet-quote = { idempotent = true, expected_ms = 100 }
offcut-check = { idempotent = true, expected_ms = 60 }
[clients.shop]
rate = 50
burst = 100
concurrent = 100
"""


class KacaPotong(World):
    """Simulate the deployment of the glass shops."""

    policy = _PANE_POLICY
    operations = ('cutting-plan', 'sheet-quote', 'offcut-check')


class CvetnaPot(World):
    """Simulate the deployment of the grave flower rounds."""

    policy = _ROUNDS_POLICY
    service = 'rounds'
    operations = ('wreath-order', 'route', 'quote')


class NullOracle:
    """Replace the oracle, which golden files don't need."""

    def __getattr__(self, name: str) -> Any:
        """Return a method that does nothing."""
        return lambda *arguments: None


class Recorder:
    """Record a line for each event and effect of a session."""

    def __init__(self) -> None:
        """Start without recorded lines."""
        self.lines: list[str] = []

    def note(self, process: Any, event: Any, effects: Any) -> None:
        """Record an event and its effects; omit heartbeats and idle ticks."""
        shown = [
            effect
            for effect in effects
            if type(effect).__name__ not in _OMITTED_EFFECTS
        ]
        name = type(event).__name__
        is_omitted = name in {'Tick', 'StoreAnswered'}
        if type(getattr(event, 'message', None)).__name__ == 'Heartbeat':
            is_omitted = True
        if is_omitted and not shown:
            return
        self.lines.append(f'{event.now:.3f} {process.name} {_format(event)}')
        self.lines.extend(
            f'    {_format(shown_effect)}' for shown_effect in shown
        )


def record_kaca_potong() -> list[str]:
    """Order a cutting plan, ask for a quote and check an offcut."""
    return _record_jobs(KacaPotong)


def record_cvetna_pot() -> list[str]:
    """Order a wreath, plan a route and ask for a quote."""
    return _record_jobs(CvetnaPot)


def record_resubmission() -> list[str]:
    """Submit a job through two entries, then ask for its answer."""
    world, recorder = _start(KacaPotong, 2)
    for host in ('e1', 'e2'):
        entry = world.processes[host]
        call = world.callers.submit(entry, 'order-1', 1)
        world.clock.run(0.04)
    world.clock.run(1)
    world.callers.fetch(world.processes['e1'], call.job)
    world.clock.run(0.1)
    return recorder.lines


def record_refusal() -> list[str]:
    """Submit a job that names an unknown operation, and a copy of it."""
    world, recorder = _start(KacaPotong, 1)
    for _ in range(2):
        entry = world.processes['e1']
        world.callers.submit(entry, 'order-2', 1, operation='engrave')
        world.clock.run(0.1)
    return recorder.lines


SESSIONS = MappingProxyType(
    {
        'kaca_potong': record_kaca_potong,
        'cvetna_pot': record_cvetna_pot,
        'resubmission': record_resubmission,
        'refusal': record_refusal,
    }
)


def golden_path(name: str) -> pathlib.Path:
    """Return the path of the golden file of a session."""
    return _HERE / f'{name}.txt'


def record_session(name: str) -> str:
    """Run a session and return its record."""
    lines = SESSIONS[name]()
    return '\n'.join((*lines, ''))


def _record_jobs(deployment: type[World]) -> list[str]:
    world, recorder = _start(deployment, 1)
    for operation in deployment.operations:
        options = {'operation': operation, 'service': deployment.service}
        entry = world.processes['e1']
        world.callers.submit(entry, f'order-{operation}', 2, **options)
        world.clock.run(1)
    return recorder.lines


def _start(deployment: type[World], entries: int) -> tuple[World, Recorder]:
    world = deployment(NullOracle(), 1, entries=entries, agents=1)
    recorder = Recorder()
    world.observers.append(recorder.note)
    return world, recorder


def _format(value: Any) -> str:
    if isinstance(value, bytes):
        return _format_bytes(value)
    if hasattr(value, '_asdict'):
        fields = value._asdict()
        for clock in ('now', 'wall'):
            fields.pop(clock, None)
        parts = [f'{name}={_format(fields[name])}' for name in fields]
        return f'{type(value).__name__}({", ".join(parts)})'
    if isinstance(value, tuple):
        return f'[{", ".join(map(_format, value))}]'
    return str(value)


def _format_bytes(value: bytes) -> str:
    if value.isascii():
        return value.decode()
    return value.hex()[:8]


if __name__ == '__main__':
    for session in SESSIONS:
        golden_path(session).write_text(record_session(session))
