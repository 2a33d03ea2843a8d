"""Choose some of a changing set of processes by rendezvous hashing.

Each chooser spreads its choices over all processes, and the loss of one changes
only the choices that included it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable


class Candidate(Protocol):
    """Name a process and its zone."""

    @property
    def name(self) -> str:
        """Return the name, which is unique."""

    @property
    def zone(self) -> str:
        """Return the zone."""


CandidateT = TypeVar('CandidateT', bound=Candidate)


class ChoiceSize(NamedTuple):
    """Define how many processes to choose, by where they are."""

    local: int
    remote: int


def choose(
    chooser: Candidate,
    candidates: Iterable[CandidateT],
    size: ChoiceSize,
) -> list[CandidateT]:
    """Return the chosen ones, those in the zone of the chooser first."""
    local: list[CandidateT] = []
    remote: list[CandidateT] = []
    for candidate in _ranked(chooser.name, candidates):
        is_local = candidate.zone == chooser.zone
        (local if is_local else remote).append(candidate)
    return local[: size.local] + remote[: size.remote]


def _ranked(
    chooser: str,
    candidates: Iterable[CandidateT],
) -> list[CandidateT]:
    digests = [
        (_digest(chooser, candidate.name), number, candidate)
        for number, candidate in enumerate(candidates)
    ]
    return [candidate for _, _, candidate in sorted(digests)]


def _digest(chooser: str, candidate: str) -> bytes:
    return hashlib.blake2b(f'{chooser}|{candidate}'.encode()).digest()
