"""Routes: which service a caller's requests go to, and what is promised there."""

import enum
from typing import NamedTuple

from rattanhollow.configuration._model import Organisation


class Consistency(enum.Enum):
    """What a read must see.

    ``NEWEST``: every commit. ``BOUNDED``: every commit older than an age.
    ``SESSION``: the same, and every commit of its own session.
    """

    NEWEST = "newest"
    BOUNDED = "bounded"
    SESSION = "session"


class Route(NamedTuple):
    """Where the requests of a name go.

    ``statement_timeout_ms`` bounds one statement, ``target_ms`` is the latency
    that callers expect of a whole operation. A lower ``priority`` goes first.
    ``open`` routes need no key. ``max_age_ms`` is the age for `Consistency`.
    ``home_regions`` are the regions that may see its statements, empty for all.
    """

    name: str
    service: str
    consistency: Consistency
    statement_timeout_ms: int
    target_ms: int
    priority: int
    max_age_ms: int
    open: bool
    home_regions: tuple[str, ...] = ()


class Service(NamedTuple):
    """A group of backend servers: one primary and its replicas.

    ``connections`` is how many each server takes, ``copies`` how many replicas
    hold a commit before it is acknowledged. ``cold_per_s`` is how many requests a
    second a server takes that has just started, 0 for no such limit, and ``cold_s``
    how long it stays cold.
    """

    name: str
    connections: int
    copies: int
    cold_per_s: float = 0.0
    cold_s: float = 0.0


class RouteTable(NamedTuple):
    """All that operators decide about routes; ``version`` only rises.

    ``owners`` gives the organisation of each key's digest, ``transaction_idle_ms``
    how long a transaction may stay idle, ``home_regions`` the regions that may see
    statements of an organisation; one that isn't in it has no such limit.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    owners: dict[str, str]
    transaction_idle_ms: int
    home_regions: dict[str, tuple[str, ...]] = {}

    def organisation_of(self, key_digest: str) -> str | None:
        """Return the name of the organisation that holds a key."""
        return self.owners.get(key_digest)


NO_ROUTES = RouteTable(0, {}, {}, {}, {}, 0)
