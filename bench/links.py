"""Measure the CPU time of links.

Run it with `python -m bench.links`. Both ends of each link run in this
process, and the time includes the threads of NNG.
"""

from __future__ import annotations

import sys
import time
from typing import Final
from typing import NamedTuple

import anyio
import fire
import trio
from anyio.abc import TaskGroup

from savoryrudder.daemon.join import JoinRequest
from savoryrudder.daemon.links import LinkDialler
from savoryrudder.daemon.links import LinkListener
from savoryrudder.protocol import codec
from savoryrudder.protocol import messages

_US_PER_S: Final = 1_000_000
_PAYLOAD_BYTES: Final = 200
_SUBMISSION: Final = b'x' * 16


class LinkCounter:
    """Count links and the messages received on them."""

    def __init__(self) -> None:
        """Start at zero."""
        self.links = 0
        self.messages = 0
        self._expected = 0
        self._has_arrived = anyio.Event()

    def on_link_up(self, peer: str, session: str) -> None:
        """Count an opened link."""
        self.links += 1

    def on_frame(
        self,
        peer: str,
        session: str,
        revision: int,
        received: tuple[messages.Message, ...],
    ) -> None:
        """Count messages other than heartbeats."""
        if isinstance(received[0], messages.Start):
            self.messages += len(received)
        if self.messages >= self._expected:
            self._has_arrived.set()

    def on_link_down(self, peer: str, session: str, reason: str) -> None:
        """Subtract a closed link."""
        self.links -= 1

    async def wait_messages(self, expected: int) -> None:
        """Wait until this many messages have arrived."""
        self._expected = expected
        self._has_arrived = anyio.Event()
        if self.messages < expected:
            await self._has_arrived.wait()


class Cost(NamedTuple):
    """Hold CPU microseconds, summed over both ends of a link."""

    frames: int
    frame_us: float
    message_us: float


def _no_revision() -> int:
    return 0


def _make_batch(size: int) -> list[messages.Message]:
    payload = b'p' * _PAYLOAD_BYTES
    start = messages.Start(
        _SUBMISSION, 0, 1, 1, 'cutting-plan', payload, 500, False, ''
    )
    return [start._replace(task=task) for task in range(size)]


async def _open_links(
    group: TaskGroup,
    counter: LinkCounter,
    count: int,
) -> list[LinkDialler]:
    listener = LinkListener('127.0.0.1:0', 'e', counter, _no_revision)
    address = await group.start(listener.run)
    diallers = []
    for number in range(count):
        request = JoinRequest(codec.PROTOCOL_VERSION, f'a{number}', 'agent')
        dialler = LinkDialler(address, request, LinkCounter(), _no_revision)
        group.start_soon(dialler.run)
        diallers.append(dialler)
    while counter.links < count or not all(linked.peer for linked in diallers):
        await anyio.sleep(0.01)
    return diallers


async def _send_frames(
    dialler: LinkDialler,
    counter: LinkCounter,
    frames: int,
    size: int,
) -> None:
    batch = _make_batch(size)
    while counter.messages < frames * size:
        for message in batch:
            dialler.send('e', message)
        await counter.wait_messages(counter.messages + size)


async def _measure_load(frames: int, size: int) -> Cost:
    counter = LinkCounter()
    async with anyio.create_task_group() as group:
        diallers = await _open_links(group, counter, 1)
        started_at = time.process_time()
        await _send_frames(diallers[0], counter, frames, size)
        cpu_us = (time.process_time() - started_at) * _US_PER_S
        group.cancel_scope.cancel()
    return Cost(frames, cpu_us / frames, cpu_us / frames / size)


async def _measure_idle(links: int, seconds: float) -> float:
    counter = LinkCounter()
    async with anyio.create_task_group() as group:
        await _open_links(group, counter, links)
        started_at = time.process_time()
        await anyio.sleep(seconds)
        cpu_us = (time.process_time() - started_at) * _US_PER_S
        group.cancel_scope.cancel()
    return cpu_us / links / seconds


def main(
    frames: int = 3000,
    size: int = 64,
    links: int = 200,
    seconds: float = 10,
) -> None:
    """Print the cost of frames and of idle links."""
    cost = trio.run(_measure_load, frames, size)
    idle_us = trio.run(_measure_idle, links, seconds)
    sys.stdout.write(
        f'{cost.frames} frames of {size} messages of {_PAYLOAD_BYTES} bytes: '
        f'{cost.frame_us:.0f} us a frame, {cost.message_us:.2f} us a message\n'
        f'{links} idle links: {idle_us:.0f} us a link and second\n',
    )


if __name__ == '__main__':
    fire.Fire(main)
