"""The pool of connections to one backend server, each for one organisation."""

import itertools
from collections import OrderedDict
from typing import NamedTuple

from rattanhollow.serving._backend_protocol import Connection


class ServerConnection:
    """A connection and the session state that is set on it.

    ``values`` are the session values in force on the connection. ``prepared`` holds
    the names of its prepared statements, by whether they write and by shape.
    """

    def __init__(self, link: Connection, organisation: str) -> None:
        self.link = link
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: dict[tuple[bool, str], str] = {}
        self.idle_since_s = 0.0
        self._names = itertools.count(1)

    def new_name(self) -> str:
        """Return a prepared statement name that is unused on this connection."""
        return f"p{next(self._names)}"


class PoolCounts(NamedTuple):
    """Numbers of connections that are idle, lent to work, and being opened."""

    idle: int
    lent: int
    opening: int


class ConnectionPool:
    """Holds at most ``limit`` connections and evicts the longest idle one.

    Each connection is either idle or lent to work, which returns or closes it. Idle
    ones are closed while there are more than ``kept`` connections.
    """

    def __init__(self, limit: int, kept: int) -> None:
        self.resize(limit, kept)
        # The number of connections at which the server last refused another one, and
        # when the next attempt to open more is due.
        self._refused_at: int | None = None
        self._next_attempt_at_s = 0.0
        self._idle: OrderedDict[ServerConnection, None] = OrderedDict()
        self._lent: set[ServerConnection] = set()
        self._opening = 0

    def resize(self, limit: int, kept: int) -> None:
        """Change the limits; what is too many is closed as it becomes idle."""
        self._limit = limit
        self._kept = kept

    @property
    def counts(self) -> PoolCounts:
        """The number of connections in each state."""
        return PoolCounts(len(self._idle), len(self._lent), self._opening)

    def lend_best_match(
        self, organisation: str, values: dict[str, str]
    ) -> ServerConnection | None:
        """Lend the organisation's idle connection that needs the fewest commands."""
        best, best_score = None, 0
        for connection in self._idle:
            if connection.organisation != organisation:
                continue
            score = _match_score(connection.values, values)
            if score >= best_score:
                best, best_score = connection, score
        return self._lend(best) if best is not None else None

    def lend_most_recent(self) -> ServerConnection | None:
        """Lend the most recently used idle connection of any organisation."""
        if not self._idle:
            return None
        return self._lend(next(reversed(self._idle)))

    def return_idle(self, connection: ServerConnection, now_s: float) -> None:
        """Return a lent connection as idle; no effect if it has been closed."""
        if connection not in self._lent:
            return
        self._lent.remove(connection)
        connection.idle_since_s = now_s
        self._idle[connection] = None
        if sum(self.counts) > self._kept:
            self.close(next(iter(self._idle)))

    def is_lent(self, connection: ServerConnection) -> bool:
        """Whether a connection is lent and has not been closed since."""
        return connection in self._lent

    def can_provide(self, now_s: float) -> bool:
        """Whether a connection is idle or another one may be opened."""
        return bool(self._idle) or self.may_open(now_s)

    @property
    def at_server_limit(self) -> bool:
        """Whether the server refused another connection at the present number."""
        return self._refused_at is not None and sum(self.counts) >= self._refused_at

    def may_open(self, now_s: float) -> bool:
        """Whether another connection may be opened in addition to all others.

        At the server's limit, one attempt at a time finds out whether it has room.
        """
        if sum(self.counts) >= self._limit:
            return False
        due = not self._opening and now_s >= self._next_attempt_at_s
        return due or not self.at_server_limit

    def reserve_opening(self, now_s: float) -> None:
        """Count a connection that is about to be opened.

        Closes the longest idle connection if there is no room for another one.
        """
        crowded = sum(self.counts) >= self._kept or not self.may_open(now_s)
        if crowded and self._idle:
            self.close(next(iter(self._idle)))
        self._opening += 1

    def finish_opening(self, opened: ServerConnection | None) -> None:
        """End a reserved opening and lend the connection if it was opened."""
        self._opening -= 1
        if opened is None:
            return
        if self.at_server_limit:
            self._refused_at = None
        self._lent.add(opened)

    def record_refusal(self, next_attempt_at_s: float) -> None:
        """Record that the server had no room for another connection."""
        self._refused_at = sum(self.counts)
        self._next_attempt_at_s = next_attempt_at_s

    def close(self, connection: ServerConnection) -> None:
        """Close an idle or lent connection at once; may be called repeatedly."""
        self._lent.discard(connection)
        self._idle.pop(connection, None)
        connection.link.abort()

    def close_idle_since(self, before_s: float) -> None:
        """Close the connections that became idle at ``before_s`` or before."""
        for connection in list(self._idle):
            if connection.idle_since_s <= before_s:
                self.close(connection)

    def close_all(self) -> None:
        """Close all connections, including those lent to work."""
        for connection in [*self._idle, *self._lent]:
            self.close(connection)

    def _lend(self, connection: ServerConnection) -> ServerConnection:
        del self._idle[connection]
        self._lent.add(connection)
        return connection


def _match_score(current: dict[str, str], wanted: dict[str, str]) -> int:
    """Score a connection's values; higher needs fewer commands to match ``wanted``."""
    if current == wanted:
        return 3
    if current.keys() <= wanted.keys():
        return 2
    return 1
