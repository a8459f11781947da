"""The connections of one backend server, each for one organisation."""

import itertools
from collections import OrderedDict
from typing import NamedTuple

from rattanhollow.serving._backend_protocol import Connection


class ServerConnection:
    """A connection, and what was left on it.

    ``values`` are the session values in force there, ``prepared`` the names of
    the statements prepared there, by shape and whether they write.
    """

    def __init__(self, link: Connection, organisation: str) -> None:
        self.link = link
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: dict[tuple[bool, str], str] = {}
        self.idle_since_s = 0.0
        self._names = itertools.count(1)

    def new_name(self) -> str:
        """Return a name for a prepared statement that is not used here."""
        return f"p{next(self._names)}"


class PoolCounts(NamedTuple):
    """Connections that are ``idle``, ``lent`` to work, and just being opened."""

    idle: int
    lent: int
    opening: int


class ConnectionPool:
    """At most ``limit`` connections; the one idle for longest makes room.

    Each connection is idle, or lent to work that gives it back or has it closed.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._limited_until_s = float("-inf")
        self._idle: OrderedDict[ServerConnection, None] = OrderedDict()
        self._lent: set[ServerConnection] = set()
        self._opening = 0

    @property
    def counts(self) -> PoolCounts:
        """How many connections there are."""
        return PoolCounts(len(self._idle), len(self._lent), self._opening)

    def take(
        self, organisation: str, values: dict[str, str]
    ) -> ServerConnection | None:
        """Lend an idle connection of the organisation, the best fit first."""
        best, best_score = None, 0
        for connection in self._idle:
            if connection.organisation != organisation:
                continue
            score = _fit(connection.values, values)
            if score >= best_score:
                best, best_score = connection, score
        return self._lend(best) if best is not None else None

    def take_any(self) -> ServerConnection | None:
        """Lend the idle connection that was used last, whosever it is."""
        if not self._idle:
            return None
        return self._lend(next(reversed(self._idle)))

    def give_back(self, connection: ServerConnection, now_s: float) -> None:
        """Keep a connection that is idle; one that was closed meanwhile is gone."""
        if connection not in self._lent:
            return
        self._lent.remove(connection)
        connection.idle_since_s = now_s
        self._idle[connection] = None

    def lends(self, connection: ServerConnection) -> bool:
        """Whether a connection is lent, and not closed meanwhile."""
        return connection in self._lent

    def can_lend(self, now_s: float) -> bool:
        """Whether a connection is idle, or another one may be opened."""
        full = sum(self.counts) >= self._limit or now_s < self._limited_until_s
        return not full or bool(self._idle)

    def limit_for_now(self, until_s: float) -> None:
        """Open no more connections for a while: the server has no room."""
        self._limited_until_s = until_s

    def begin_opening(self) -> None:
        """Count a connection that is about to be opened.

        Closes the one idle for longest where there is no room for another.
        """
        if sum(self.counts) >= self._limit and self._idle:
            self.close(next(iter(self._idle)))
        self._opening += 1

    def end_opening(self, opened: ServerConnection | None) -> None:
        """Lend the connection that was opened, if it was."""
        self._opening -= 1
        if opened is not None:
            self._lent.add(opened)

    def close(self, connection: ServerConnection) -> None:
        """Close a connection at once, wherever it is; no harm if it was."""
        self._lent.discard(connection)
        self._idle.pop(connection, None)
        connection.link.abort()

    def close_idle_since(self, before_s: float) -> None:
        """Close the connections that have been idle since before a time."""
        for connection in list(self._idle):
            if connection.idle_since_s <= before_s:
                self.close(connection)

    def close_all(self) -> None:
        """Close all connections, also those that work still uses."""
        for connection in [*self._idle, *self._lent]:
            self.close(connection)

    def _lend(self, connection: ServerConnection) -> ServerConnection:
        del self._idle[connection]
        self._lent.add(connection)
        return connection


def _fit(held: dict[str, str], wanted: dict[str, str]) -> int:
    """How few commands bring a connection's values to the wanted ones."""
    if held == wanted:
        return 3
    if held.keys() <= wanted.keys():
        return 2
    return 1
