"""Measure what a process holds: resident memory and unread bytes.

Bytes that the kernel has received for a process count toward the memory of its
machine until the process reads them.
"""

from __future__ import annotations

import contextlib
import ipaddress
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Final

_BYTES_PER_KB: Final = 1024
_BYTES_PER_MB: Final = 1024 * 1024
_SAMPLE_INTERVAL_S: Final = 0.02
# Of a row of /proc/net/tcp: local address, state and queues.
_LOCAL_COLUMN: Final = 1
_STATE_COLUMN: Final = 3
_QUEUES_COLUMN: Final = 4
_LISTENING: Final = '0A'


class MemoryPeak:
    """Hold the most memory that was seen, in MB."""

    def __init__(self) -> None:
        """Begin without a sample."""
        self.total_mb = float(0)
        self.unread_mb = float(0)

    def note(self, resident_bytes: int, unread_bytes: int) -> None:
        """Take a sample into account."""
        total_mb = (resident_bytes + unread_bytes) / _BYTES_PER_MB
        self.total_mb = max(self.total_mb, total_mb)
        self.unread_mb = max(self.unread_mb, unread_bytes / _BYTES_PER_MB)

    def __str__(self) -> str:
        """Return both figures for the message of an assertion."""
        return f'{self.total_mb:.0f} MB, {self.unread_mb:.0f} MB unread'


def read_resident_bytes(pid: int) -> int:
    """Return the memory that a process has in use."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    resident = next(line for line in lines if line.startswith('VmRSS'))
    return int(resident.split()[1]) * _BYTES_PER_KB


def read_unread_bytes(host: str, ports: frozenset[int]) -> int:
    """Return the bytes that wait at the connections of listeners."""
    packed = ipaddress.IPv4Address(host).packed
    address = bytes(reversed(packed)).hex().upper()
    unread = 0
    for line in Path('/proc/net/tcp').read_text().splitlines():
        columns = line.split()
        local, _, port = columns[_LOCAL_COLUMN].partition(':')
        if columns[_STATE_COLUMN] == _LISTENING or local != address:
            continue
        if int(port, 16) in ports:
            unread += int(columns[_QUEUES_COLUMN].partition(':')[2], 16)
    return unread


class _Sampler:
    """Sample the memory of a process in a thread."""

    def __init__(self, pid: int, host: str, ports: frozenset[int]) -> None:
        self.peak = MemoryPeak()
        self._pid = pid
        self._host = host
        self._ports = ports
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Take no further sample."""
        self._ended.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._ended.wait(_SAMPLE_INTERVAL_S):
            # The process may have ended; whoever watches notices that.
            with contextlib.suppress(FileNotFoundError, StopIteration):
                self.peak.note(
                    read_resident_bytes(self._pid),
                    read_unread_bytes(self._host, self._ports),
                )


@contextlib.contextmanager
def watch_memory(
    pid: int,
    host: str,
    ports: frozenset[int],
) -> Iterator[MemoryPeak]:
    """Sample the memory of a process and its unread bytes meanwhile."""
    sampler = _Sampler(pid, host, ports)
    try:
        yield sampler.peak
    finally:
        sampler.stop()
