"""Accept connections also when descriptors run out."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING
from typing import Final

import trio

from savoryrudder.daemon.paced_stream import PacedStream

if TYPE_CHECKING:
    from savoryrudder.daemon.intake import Intake

# The kernel or the process has no descriptor or memory for a connection.
_CAPACITY_ERRORS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS),
)
_RETRY_S: Final = 0.1


class RetryingListener(trio.abc.Listener[PacedStream]):
    """Drop a waiting connection if there is no descriptor for a new one.

    Connections that send much are read one at a time.
    """

    def __init__(self, listener: trio.SocketListener, intake: Intake) -> None:
        """Accept from a listener on behalf of an intake."""
        self._listener = listener
        self._intake = intake
        self._turn = trio.Lock()

    async def accept(self) -> PacedStream:
        """Return the next connection."""
        while True:
            try:
                stream = await self._listener.accept()
            except OSError as error:
                if error.errno not in _CAPACITY_ERRORS:
                    raise
            else:
                return PacedStream(stream, self._turn)
            self._intake.make_room(trio.current_time())
            await trio.sleep(_RETRY_S)

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()
