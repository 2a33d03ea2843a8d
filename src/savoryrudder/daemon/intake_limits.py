"""Share out the memory and descriptors of a process for its clients."""

from __future__ import annotations

import resource
from typing import Final
from typing import NamedTuple

_BYTES_PER_MB: Final = 1_048_576
# Shares of the memory of a process, and what a connection takes of it.
_LARGE_SHARE: Final = 0.125
_SMALL_SHARE: Final = 0.0625
_CONNECTION_SHARE: Final = 0.25
# The kernel doubles it for its own bookkeeping. A body of legal size takes some
# round trips more than with the kernel's default.
RECEIVE_BUFFER_BYTES: Final = 16_384
# What a connection takes in the process, and unread bytes in the kernel.
_CONNECTION_BYTES: Final = 16_384 + 2 * RECEIVE_BUFFER_BYTES
# Of the connections that fit, those that wait to be accepted.
_BACKLOG_SHARE: Final = 0.25
_MAX_BACKLOG: Final = 1024
_DEFAULT_BACKLOG: Final = 128
_MIN_POOL_BYTES: Final = 2_097_152
# Descriptors for links, executors, the store and listeners.
_RESERVED_SHARE: Final = 1 / 3
_MIN_RESERVED: Final = 16
_MIN_CONNECTIONS: Final = 8
_DEFAULT_MEMORY_MB: Final = 256
_MAX_DESCRIPTORS: Final = 65_536
_MAX_CONNECTIONS: Final = 4096
# Of a budget for requests, the small ones have one part.
_BUDGET_PARTS: Final = 6
_FILE_DESCRIPTORS: Final = 200


class IntakeLimits(NamedTuple):
    """Hold the limits of all clients together."""

    max_connections: int
    # Of all unanswered requests over 16 KiB, and of the others.
    large_bytes: int
    small_bytes: int
    # Connections of a listener that wait to be accepted.
    backlog: int = _DEFAULT_BACKLOG


# Probes come one at a time, from few addresses.
PROBE_LIMITS: Final = IntakeLimits(
    16, _MIN_POOL_BYTES, _MIN_POOL_BYTES, backlog=16
)


def derive_limits(memory_mb: int, max_sockets: int) -> IntakeLimits:
    """Derive limits from the memory and the sockets of a process.

    0 stands for a limit that nobody has set; the kernel's limit of
    descriptors holds anyway.
    """
    memory = (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB
    allowed = _kernel_sockets()
    if max_sockets:
        allowed = min(allowed, max_sockets)
    connections = int(memory * _CONNECTION_SHARE) // _CONNECTION_BYTES
    backlog = int(connections * _BACKLOG_SHARE)
    return IntakeLimits(
        min(connections - backlog, _share_sockets(allowed)),
        max(int(memory * _LARGE_SHARE), _MIN_POOL_BYTES),
        max(int(memory * _SMALL_SHARE), _MIN_POOL_BYTES),
        min(backlog, _MAX_BACKLOG),
    )


def limits_of_budget(request_memory_mb: int) -> IntakeLimits:
    """Return limits that hold so much memory of requests."""
    memory = request_memory_mb * _BYTES_PER_MB
    small = memory // _BUDGET_PARTS
    return IntakeLimits(
        min(_share_sockets(_kernel_sockets()), _MAX_CONNECTIONS),
        memory - small,
        small,
    )


def _kernel_sockets() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = _MAX_DESCRIPTORS
    return descriptors - min(_FILE_DESCRIPTORS, descriptors // 2)


def _share_sockets(max_sockets: int) -> int:
    reserved = max(int(max_sockets * _RESERVED_SHARE), _MIN_RESERVED)
    return max(max_sockets - reserved, _MIN_CONNECTIONS)
