"""Define the load and the faults of the days of a site."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

SLOW: Final = 'slow'
HANG: Final = 'hang'
UNRESPONSIVE: Final = 'dark'
DISCONNECTED: Final = 'away'


class Kind(NamedTuple):
    """Describe a kind of job by the means of its requirements."""

    name: str
    priority: int
    attempts: int
    rate_per_s: float
    tasks: float
    task_ms: float
    cpu: float
    worth: float


class Burst(NamedTuple):
    """Describe a factor on the arrival rate of a kind of job for a time."""

    start_s: float
    duration_s: float
    factor: float
    kind: str


class Fault(NamedTuple):
    """Describe a fault of some random executors for a time.

    `factor` applies to the durations of tasks on slow executors.
    """

    start_s: float
    duration_s: float
    mode: str
    count: int
    factor: float = 1


class Day(NamedTuple):
    """Describe a day; `load` is a factor on all arrival rates."""

    name: str
    load: float
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()


CHECK: Final = 'check'
PLAN: Final = 'plan'
QUOTE: Final = 'quote'

KINDS: Final = (
    Kind(CHECK, 0, 4, 17.2, 8, 120, 6200, 0.0291),
    Kind(PLAN, 2, 2, 3.12, 4, 1800, 6200, 0.16),
    Kind(QUOTE, 1, 4, 50, 2, 400, 6200, 0.01),
)

DAYS: Final = (
    Day('quiet', 0.65),
    Day('burst', 1.1, (Burst(4, 5, 2.4, PLAN), Burst(14, 4, 1.8, CHECK))),
    Day(
        'trouble',
        0.94,
        (Burst(2.3, 5, 2.2, PLAN), Burst(13, 3.5, 1.8, CHECK)),
        (Fault(4.2, 4.2, UNRESPONSIVE, 2), Fault(5, 7, SLOW, 2, 5.1)),
    ),
    Day(
        'hang',
        1.1,
        (Burst(3.7, 5.8, 2.2, PLAN), Burst(14, 3.9, 1.8, CHECK)),
        (Fault(7.1, 5.5, HANG, 2),),
    ),
    Day(
        'overload',
        1.1,
        (Burst(4.5, 5.4, 2.4, PLAN), Burst(12, 3.9, 1.7, CHECK)),
        (Fault(1, 12, DISCONNECTED, 4), Fault(12.2, 4.7, UNRESPONSIVE, 1)),
    ),
)
