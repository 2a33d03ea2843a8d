"""Join the processes of a fleet by links that can be cut."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from fakes.clock import Clock

LINK_DELAY_S = 0.002
SILENCE_S = 0.75
_RETRY_S = 0.05
_NOTICE_S = 0.01


class Process(Protocol):
    """Take what happens on the links of a process."""

    name: str
    alive: bool
    frozen: bool

    def link_up(self, link: str, *, dialled: bool) -> None:
        """Note an open link."""

    def link_down(self, link: str) -> None:
        """Note the end of a link."""

    def receive(self, link: str, message: Any) -> None:
        """Take a message."""


@dataclass(eq=False)
class Link:
    """Join two processes, the dialling one first; a cut loses messages."""

    name: str
    ends: tuple[Process, Process]
    cut: bool = False

    @property
    def pair(self) -> frozenset[str]:
        """Return the names of the processes."""
        return frozenset(end.name for end in self.ends)


class FleetLinks:
    """Keep one link between each two processes that may talk."""

    def __init__(self, clock: Clock) -> None:
        """Start without links."""
        self._clock = clock
        self._numbers = itertools.count(1)
        self._links: dict[str, Link] = {}
        self._blocked: dict[frozenset[str], float] = {}

    def connect(self, dialling: Process, other: Process) -> None:
        """Open a link unless there is one or the way is blocked."""
        for end in (dialling, other):
            if not end.alive or end.frozen:
                return
        pair = frozenset((dialling.name, other.name))
        if self._blocked.get(pair, 0) > self._clock.now:
            return
        if any(
            link.ends == (dialling, other) and not link.cut
            for link in self._links.values()
        ):
            return
        link = Link(f'l{next(self._numbers)}', (dialling, other))
        self._links[link.name] = link
        dialling.link_up(link.name, dialled=True)
        other.link_up(link.name, dialled=False)

    def send(self, sender: Process, name: str, message: Any) -> None:
        """Deliver a message a little later, unless the link is cut."""
        link = self._links[name]
        if not link.cut:
            first, second = link.ends
            receiver = second if sender is first else first
            self._clock.after(
                LINK_DELAY_S,
                self._arrive,
                link,
                receiver,
                message,
            )

    def close(self, name: str) -> None:
        """End a link; both ends notice at once."""
        link = self._links[name]
        if not link.cut:
            self._cut(link, 0)

    def drop(self, process: Process) -> None:
        """End the links of a process that was killed."""
        for link in self._open_links(process.name):
            self._cut(link, 0)

    def silence(self, one: str, other: str, seconds: float) -> None:
        """Lose all messages both ways for a time; both ends notice late."""
        pair = frozenset((one, other))
        self._blocked[pair] = self._clock.now + seconds
        for link in self._open_links(one):
            if link.pair == pair:
                self._cut(link, SILENCE_S)

    def freeze(self, process: Process) -> None:
        """Let the peers of a frozen process notice its silence."""
        for link in self._open_links(process.name):
            self._clock.after(SILENCE_S, self._cut_if_frozen, link, process)

    def _open_links(self, name: str) -> list[Link]:
        return [
            link
            for link in self._links.values()
            if name in link.pair and not link.cut
        ]

    def _cut_if_frozen(self, link: Link, process: Process) -> None:
        if process.frozen and not link.cut:
            self._cut(link, 0)

    def _cut(self, link: Link, notice_s: float) -> None:
        link.cut = True
        for end in link.ends:
            self._clock.soon(notice_s + _NOTICE_S, self._down, link, end)

    def _down(self, link: Link, end: Process) -> None:
        if end.frozen:
            self._clock.after(_RETRY_S, self._down, link, end)
        else:
            end.link_down(link.name)

    def _arrive(self, link: Link, receiver: Process, message: Any) -> None:
        if not link.cut:
            receiver.receive(link.name, message)
