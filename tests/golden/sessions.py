"""Record whole sessions as readable text; run as a module to rewrite them."""

from __future__ import annotations

import pathlib
from types import MappingProxyType
from typing import Any

from fakes.world import World

_HERE = pathlib.Path(__file__).parent
_HIDDEN = frozenset(('Count', 'Observe', 'CallStore'))
_ROUNDS = """
[services.rounds.operations]
wreath-order = { idempotent = false, expected_ms = 300 }
route = { idempotent = true, expected_ms = 900 }
quote = { idempotent = true, expected_ms = 100 }
[clients.shop]
rate = 50
burst = 100
concurrent = 100
"""
_PANE = """
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
    """Serve the glass shops."""

    text = _PANE
    operations = ('cutting-plan', 'sheet-quote', 'offcut-check')


class CvetnaPot(World):
    """Serve the grave flower rounds."""

    text = _ROUNDS
    service = 'rounds'
    operations = ('wreath-order', 'route', 'quote')


class Silent:
    """Stand in for the oracle, which golden files don't need."""

    def __getattr__(self, name: str) -> Any:
        """Accept any observation."""
        return lambda *observed: None


class Recorder:
    """Write one line per event and effect that concerns the session."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[str] = []

    def note(self, process: Any, event: Any, produced: Any) -> None:
        """Record one step unless it is a heartbeat or an idle tick."""
        shown = [one for one in produced if type(one).__name__ not in _HIDDEN]
        name = type(event).__name__
        quiet = name in {'Tick', 'StoreAnswered'}
        if type(getattr(event, 'message', None)).__name__ == 'Heartbeat':
            quiet = True
        if quiet and not shown:
            return
        self.lines.append(f'{event.now:.3f} {process.name} {_show(event)}')
        self.lines.extend(f'    {_show(effect)}' for effect in shown)


def record_kaca_potong() -> list[str]:
    """Order a cutting plan, ask for a quote and check an offcut."""
    return _record_jobs(KacaPotong)


def record_cvetna_pot() -> list[str]:
    """Order a wreath, plan a route and ask for a quote."""
    return _record_jobs(CvetnaPot)


def record_resubmission() -> list[str]:
    """Submit a job through two entries, then ask for its answer."""
    world, recorder = _start(KacaPotong, 2)
    for place in ('e1', 'e2'):
        entry = world.places[place]
        call = world.callers.submit(entry, 'order-1', 1)
        world.clock.run(0.04)
    world.clock.run(1)
    world.callers.fetch(world.places['e1'], call.job)
    world.clock.run(0.1)
    return recorder.lines


def record_refusal() -> list[str]:
    """Submit a job that names an unknown operation, and a copy of it."""
    world, recorder = _start(KacaPotong, 1)
    for _ in range(2):
        entry = world.places['e1']
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


def path_of(name: str) -> pathlib.Path:
    """Return where a session is kept."""
    return _HERE / f'{name}.txt'


def text_of(name: str) -> str:
    """Record a session."""
    lines = SESSIONS[name]()
    return '\n'.join((*lines, ''))


def _record_jobs(deployment: type[World]) -> list[str]:
    world, recorder = _start(deployment, 1)
    for operation in deployment.operations:
        options = {'operation': operation, 'service': deployment.service}
        entry = world.places['e1']
        world.callers.submit(entry, f'order-{operation}', 2, **options)
        world.clock.run(1)
    return recorder.lines


def _start(deployment: type[World], entries: int) -> tuple[World, Recorder]:
    world = deployment(Silent(), 1, entries=entries, agents=1)
    recorder = Recorder()
    world.observers.append(recorder.note)
    return world, recorder


def _show(value: Any) -> str:
    if isinstance(value, bytes):
        return _show_bytes(value)
    if hasattr(value, '_asdict'):
        fields = value._asdict()
        for clock in ('now', 'wall'):
            fields.pop(clock, None)
        parts = [f'{name}={_show(fields[name])}' for name in fields]
        return f'{type(value).__name__}({", ".join(parts)})'
    if isinstance(value, tuple):
        return f'[{", ".join(map(_show, value))}]'
    return str(value)


def _show_bytes(value: bytes) -> str:
    if value.isascii():
        return value.decode()
    return value.hex()[:8]


if __name__ == '__main__':
    for session in SESSIONS:
        path_of(session).write_text(text_of(session))
