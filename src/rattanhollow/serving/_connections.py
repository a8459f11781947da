"""The connections of one backend server, each for one organisation."""

import itertools
from collections import OrderedDict

from rattanhollow.serving._end import Connection


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
        self.dropped = False
        self._names = itertools.count(1)

    def new_name(self) -> str:
        """Return a name for a prepared statement that is not used here."""
        return f"p{next(self._names)}"


class ConnectionPool:
    """At most ``limit`` connections; the one idle for longest makes room."""

    def __init__(self, limit: int) -> None:
        self.open_count = 0
        self._limit = limit
        self._limited_until_s = float("-inf")
        self._idle: OrderedDict[ServerConnection, None] = OrderedDict()

    def take(
        self, organisation: str, values: dict[str, str]
    ) -> ServerConnection | None:
        """Return an idle connection of the organisation, the best fit first."""
        best, best_score = None, 0
        for connection in self._idle:
            if connection.organisation != organisation:
                continue
            score = _fit(connection.values, values)
            if score >= best_score:
                best, best_score = connection, score
        if best is not None:
            del self._idle[best]
        return best

    def give_back(self, connection: ServerConnection, now_s: float) -> None:
        """Keep a connection that is idle."""
        connection.idle_since_s = now_s
        self._idle[connection] = None

    def take_any(self) -> ServerConnection | None:
        """Return the idle connection that was used last, whosever it is."""
        if not self._idle:
            return None
        return self._idle.popitem(last=True)[0]

    def can_lend(self, now_s: float) -> bool:
        """Whether a connection is idle, or another one may be opened."""
        full = self.open_count >= self._limit or now_s < self._limited_until_s
        return not full or bool(self._idle)

    def limit_for_now(self, until_s: float) -> None:
        """Open no more connections for a while: the server has no room."""
        self._limited_until_s = until_s

    def reserve(self) -> ServerConnection | None:
        """Count a connection that is about to be opened.

        Returns an idle one that has to be closed for it, if there is no room.
        """
        self.open_count += 1
        if self.open_count <= self._limit or not self._idle:
            return None
        oldest, _ = self._idle.popitem(last=False)
        self.open_count -= 1
        return oldest

    def closed(self) -> None:
        """Count a connection that was closed, or could not be opened."""
        self.open_count -= 1

    def take_idle_since(self, before_s: float) -> list[ServerConnection]:
        """Return the connections idle since before a time; the caller closes them."""
        old = [item for item in self._idle if item.idle_since_s <= before_s]
        for connection in old:
            del self._idle[connection]
        self.open_count -= len(old)
        return old


def _fit(held: dict[str, str], wanted: dict[str, str]) -> int:
    """How few commands bring a connection's values to the wanted ones."""
    if held == wanted:
        return 3
    if held.keys() <= wanted.keys():
        return 2
    return 1
