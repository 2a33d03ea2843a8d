"""Define the message that tells another entry how long runs really take."""

from __future__ import annotations

from typing import NamedTuple


class QueueRunTimes(NamedTuple):
    """Sum up the runs of one queue's tasks that the sender has seen.

    `ratio` is the typical duration over the estimate, and `mean_excess` the
    mean duration over the typical one. Of the `reruns` of slow tasks at another
    executor, `slow_reruns` were slow again.
    """

    queue: str
    observations: float
    ratio: float
    mean_excess: float
    reruns: float
    slow_reruns: float


class RunTimesObserved(NamedTuple):
    """Tell another entry what the sender itself has seen of some queues.

    It replaces what the sender told of them before.
    """

    queues: tuple[QueueRunTimes, ...]
