"""How many callers may be connected; the other descriptors are reserved."""

from collections.abc import Callable

import trio

# A client within its first second may still be sending its greeting.
GREETING_GRACE_S = 1.0


class ConnectionLimit:
    """Counts connections, and makes room by ending one that hasn't begun to be used.

    A connection is unused until `use`: a caller's before its greeting is accepted.
    """

    def __init__(
        self,
        most: int,
        clock: Callable[[], float],
        grace_s: float = GREETING_GRACE_S,
    ) -> None:
        self.most = most
        self.connections = 0
        self._clock = clock
        self._grace_s = grace_s
        self._unused: dict[trio.CancelScope, float] = {}

    def enter(self, scope: trio.CancelScope) -> bool:
        """Count a connection that ``scope`` ends; False where there is no room."""
        if self.connections >= self.most and not self._end_oldest():
            return False
        self.connections += 1
        self._unused[scope] = self._clock()
        return True

    def use(self, scope: trio.CancelScope) -> None:
        """Keep a connection from now on."""
        self._unused.pop(scope, None)

    def rest(self, scope: trio.CancelScope) -> None:
        """Let a connection be ended again for a newer one."""
        self._unused.pop(scope, None)
        self._unused[scope] = self._clock()

    def leave(self, scope: trio.CancelScope) -> None:
        """Count a connection no more."""
        self._unused.pop(scope, None)
        self.connections -= 1

    def _end_oldest(self) -> bool:
        oldest = next(iter(self._unused), None)
        if oldest is None or self._clock() - self._unused[oldest] < self._grace_s:
            return False
        del self._unused[oldest]
        oldest.cancel()
        return True
