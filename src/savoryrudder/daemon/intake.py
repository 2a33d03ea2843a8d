"""Bound what all clients of a process together make it hold.

Connections and the bytes of unanswered requests are bounded. At a bound, the
client that has waited longest for the rest of its request makes room: one that
stops or hardly sends is found by its age, and a client that has just come is
served before it is the oldest. Small requests have room of their own, which
clients with large ones cannot take.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol

from savoryrudder.daemon.intake_limits import IntakeLimits
from savoryrudder.daemon.intake_limits import derive_limits
from savoryrudder.daemon.logs import log_event
from savoryrudder.daemon.metrics import Counters
from savoryrudder.daemon.request_limits import DEFAULT_LIMITS
from savoryrudder.daemon.request_refusals import NO_CONNECTION
from savoryrudder.daemon.request_refusals import NO_MEMORY

if TYPE_CHECKING:
    from savoryrudder.daemon.request_limits import RequestLimits
    from savoryrudder.daemon.request_refusals import RequestRefusal

SMALL_REQUEST_BYTES: Final = 16_384

# A state is not logged more often.
_LOG_INTERVAL_S: Final = 10
_REFUSAL_INTERVAL_S: Final = 1
# The intake counts as free again below this share of a bound.
_REGAINED_SHARE: Final = 0.5


class Client(Protocol):
    """Represent a connection, or a request of one."""

    def drop(self, refusal: RequestRefusal) -> None:
        """Free what was received at once; refuse the request and close."""


class _Pool:
    """Count the bytes of requests; find the oldest that is unfinished."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.sizes: dict[Client, int] = {}
        self.unfinished: OrderedDict[Client, None] = OrderedDict()

    @property
    def is_over(self) -> bool:
        # A single request is served whatever its size.
        return self.total > self.limit and len(self.sizes) > 1

    def put(self, client: Client, size: int, *, is_unfinished: bool) -> None:
        self.total += size - self.sizes.get(client, 0)
        self.sizes[client] = size
        if is_unfinished:
            self.unfinished.setdefault(client)
        else:
            self.unfinished.pop(client, None)

    def remove(self, client: Client) -> None:
        self.total -= self.sizes.pop(client, 0)
        self.unfinished.pop(client, None)


class Intake:
    """Admit connections and requests of all listeners of a process."""

    def __init__(
        self,
        limits: IntakeLimits | None = None,
        counters: Counters | None = None,
        requests: RequestLimits | None = None,
    ) -> None:
        """Count refusals in `counters`."""
        self.requests = requests or DEFAULT_LIMITS
        self._limits = limits or derive_limits(0, 0)
        self._counters = counters or Counters()
        self._connections: set[Client] = set()
        # Those that wait for their client, the one that waits longest first.
        self._waiting: OrderedDict[Client, None] = OrderedDict()
        self._large = _Pool(self._limits.large_bytes)
        self._small = _Pool(self._limits.small_bytes)
        self._is_limited = False
        self._logged_at = float('-inf')
        self._refusal_logged_at = float('-inf')
        # Refusals since the last one logged.
        self._unlogged = 0

    @property
    def limits(self) -> IntakeLimits:
        """Return the limits of all clients together."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all unanswered requests."""
        return self._large.total + self._small.total

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def admit(self, client: Client, now: float) -> bool:
        """Add a connection; return False if there is no room for it."""
        if len(self._connections) >= self._limits.max_connections:
            self._note_limited('connections', now)
            if not self._drop_longest_waiting():
                return False
        self._connections.add(client)
        self._waiting[client] = None
        return True

    def make_room(self, now: float) -> None:
        """Drop a connection, as the process has no descriptor left."""
        self._counters.count('intake_without_descriptor')
        self._note_limited('descriptors', now)
        self._drop_longest_waiting()

    def is_admitted(self, client: Client) -> bool:
        """Return whether a connection is admitted and was not dropped."""
        return client in self._connections

    def mark_waiting(self, client: Client, now: float) -> None:
        """Note that a connection waits for its client from now on."""
        if client in self._connections:
            self._waiting[client] = None
            self._waiting.move_to_end(client)
        if self._is_limited:
            self._note_regained(now)

    def mark_serving(self, client: Client) -> None:
        """Note that a connection waits for an answer to its client."""
        self._waiting.pop(client, None)

    def hold(
        self,
        client: Client,
        size: int,
        now: float,
        *,
        is_unfinished: bool,
    ) -> bool:
        """Note the bytes of unanswered requests; return whether they fit.

        Others are dropped for them if they have been unfinished for longer.
        """
        pool, other = self._small, self._large
        if size > SMALL_REQUEST_BYTES:
            pool, other = other, pool
        if client in other.sizes:
            other.remove(client)
        pool.put(client, size, is_unfinished=is_unfinished)
        while pool.is_over:
            self._note_limited('memory', now)
            oldest = next(iter(pool.unfinished), client)
            self.release(oldest)
            if oldest is client:
                return False
            self._drop(oldest, NO_MEMORY)
        return True

    def release(self, client: Client) -> None:
        """Forget the bytes of a client."""
        for pool in (self._small, self._large):
            if client in pool.sizes:
                pool.remove(client)

    def remove(self, client: Client, now: float) -> None:
        """Forget a connection."""
        self._connections.discard(client)
        self._waiting.pop(client, None)
        self.release(client)
        if self._is_limited:
            self._note_regained(now)

    def count_refusal(self, refusal: RequestRefusal, now: float) -> None:
        """Count a request that is refused; log one at intervals."""
        self._count(refusal)
        self._unlogged += 1
        if now < self._refusal_logged_at + _REFUSAL_INTERVAL_S:
            return
        log_event(
            'request-refused',
            (('reason', refusal.reason), ('refusals', str(self._unlogged))),
        )
        self._refusal_logged_at = now
        self._unlogged = 0

    def _drop_longest_waiting(self) -> bool:
        if not self._waiting:
            return False
        client, _ = self._waiting.popitem(last=False)
        # Its descriptor is closed soon; a new connection takes its place.
        self._connections.discard(client)
        self.release(client)
        self._drop(client, NO_CONNECTION)
        return True

    def _drop(self, client: Client, refusal: RequestRefusal) -> None:
        self._counters.count(f'intake_dropped_{refusal.cause}')
        self._waiting.pop(client, None)
        client.drop(refusal)

    def _count(self, refusal: RequestRefusal) -> None:
        self._counters.count(f'intake_refused_{refusal.cause}')

    def _note_limited(self, cause: str, now: float) -> None:
        if self._is_limited and now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._is_limited = True
        self._logged_at = now
        self._log('intake-limited', (('cause', cause),))

    def _note_regained(self, now: float) -> None:
        if now < self._logged_at + _LOG_INTERVAL_S or self._is_busy:
            return
        self._is_limited = False
        self._logged_at = now
        self._log('intake-regained', ())

    @property
    def _is_busy(self) -> bool:
        return (
            self.connections > self._limits.max_connections * _REGAINED_SHARE
            or self._large.total > self._large.limit * _REGAINED_SHARE
            or self._small.total > self._small.limit * _REGAINED_SHARE
        )

    def _log(self, name: str, fields: tuple[tuple[str, str], ...]) -> None:
        log_event(
            name,
            (
                *fields,
                ('connections', str(self.connections)),
                ('held_bytes', str(self.held_bytes)),
            ),
        )
