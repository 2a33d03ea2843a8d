"""Simulate links between the processes of a fleet, with faults."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from fakes.clock import Clock

LINK_DELAY_S = 0.002
SILENCE_TIMEOUT_S = 0.75
QUIET_TIMEOUT_S = 2
_FROZEN_RETRY_S = 0.05
_MAX_NOTICE_DELAY_S = 0.01


class Process(Protocol):
    """Handle the events on the links of a process."""

    name: str
    alive: bool
    frozen: bool

    def link_up(self, link: str, *, dialled: bool) -> None:
        """Handle an opened link."""

    def link_down(self, link: str) -> None:
        """Handle a closed link."""

    def receive(self, link: str, message: Any) -> None:
        """Handle a message."""


@dataclass(eq=False)
class Link:
    """Join two processes, the dialler first; a cut loses messages.

    An end in `quiet` has said that the link carries no work, so that the other
    one notices a cut later. `notified` are the ends that know of the cut.
    """

    name: str
    ends: tuple[Process, Process]
    cut: bool = False
    quiet: set[str] = field(default_factory=set)
    notified: set[str] = field(default_factory=set)

    @property
    def pair(self) -> frozenset[str]:
        """Return the names of the processes."""
        return frozenset(end.name for end in self.ends)


class FleetLinks:
    """Keep one link between each two connected processes."""

    def __init__(self, clock: Clock) -> None:
        """Start without links."""
        self._clock = clock
        self._numbers = itertools.count(1)
        self._links: dict[str, Link] = {}
        self._blocked: dict[frozenset[str], float] = {}

    def connect(self, dialler: Process, listener: Process) -> None:
        """Open a link unless there is one or the pair is blocked."""
        for end in (dialler, listener):
            if not end.alive or end.frozen:
                return
        pair = frozenset((dialler.name, listener.name))
        if self._blocked.get(pair, 0) > self._clock.now:
            return
        if any(
            link.ends == (dialler, listener) and not link.cut
            for link in self._links.values()
        ):
            return
        link = Link(f'l{next(self._numbers)}', (dialler, listener))
        self._links[link.name] = link
        dialler.link_up(link.name, dialled=True)
        listener.link_up(link.name, dialled=False)

    def send(self, sender: Process, name: str, message: Any) -> None:
        """Deliver a message after the link delay, unless the link is cut."""
        link = self._links[name]
        if not link.cut:
            first, second = link.ends
            receiver = second if sender is first else first
            self._clock.after(
                LINK_DELAY_S,
                self._deliver,
                link,
                receiver,
                message,
            )

    def set_carries_work(
        self,
        process: Process,
        name: str,
        *,
        carries_work: bool,
    ) -> None:
        """Note whether an end takes the link to carry work."""
        link = self._links[name]
        if not carries_work:
            link.quiet.add(process.name)
            return
        link.quiet.discard(process.name)
        if link.cut:
            self._notify_within(SILENCE_TIMEOUT_S, link, process)

    def close(self, name: str) -> None:
        """Close a link; both ends are notified without a timeout."""
        link = self._links[name]
        if not link.cut:
            self._cut(link, 0)

    def drop(self, process: Process) -> None:
        """Close the links of a process that was killed."""
        for link in self._open_links(process.name):
            self._cut(link, 0)

    def silence(self, first: str, second: str, seconds: float) -> None:
        """Lose all messages for a time; the ends notice after the timeout."""
        pair = frozenset((first, second))
        self._blocked[pair] = self._clock.now + seconds
        for link in self._open_links(first):
            if link.pair == pair:
                self._cut(link, SILENCE_TIMEOUT_S)

    def freeze(self, process: Process) -> None:
        """Close the links of a process that stays frozen past the timeout."""
        for link in self._open_links(process.name):
            self._clock.after(
                SILENCE_TIMEOUT_S, self._cut_if_frozen, link, process
            )

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
        first, second = link.ends
        for end, other in ((first, second), (second, first)):
            is_quiet = notice_s and other.name in link.quiet
            self._notify_within(
                QUIET_TIMEOUT_S if is_quiet else notice_s,
                link,
                end,
            )

    def _notify_within(self, notice_s: float, link: Link, end: Process) -> None:
        self._clock.within(
            notice_s + _MAX_NOTICE_DELAY_S,
            self._notify_link_down,
            link,
            end,
        )

    def _notify_link_down(self, link: Link, end: Process) -> None:
        if end.frozen:
            self._clock.after(
                _FROZEN_RETRY_S, self._notify_link_down, link, end
            )
        elif end.name not in link.notified:
            link.notified.add(end.name)
            end.link_down(link.name)

    def _deliver(self, link: Link, receiver: Process, message: Any) -> None:
        if not link.cut:
            receiver.receive(link.name, message)
