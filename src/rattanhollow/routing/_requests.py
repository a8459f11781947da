"""Requests to run statements, and their outcomes."""

from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.configuration import Route
from rattanhollow.coordination import Position
from rattanhollow.routing._home_regions import HomeRegions
from rattanhollow.serving import BackendServer, Work
from rattanhollow.statements import Answer

# With less time left before the deadline, another attempt is not worthwhile.
MIN_ATTEMPT_MS = 20
# Pause before a statement that no server could accept is retried.
RETRY_PAUSE_S = 0.1


class StatementRequest(NamedTuple):
    """The request of a session to run one statement.

    ``floor`` is the position of the session's own last commit. ``work`` is
    complete except for server, scope, floor, budget and transaction. ``homes`` are
    the regions that may see it, None for all.
    """

    route: Route
    work: Work
    floor: Position | None
    deadline_s: float
    homes: HomeRegions | None = None


class Placement(NamedTuple):
    """Where a transaction runs; ``transaction`` identifies it uniquely in the fleet."""

    server: BackendServer
    host: str
    transaction: str


class Outcome(NamedTuple):
    """The outcome of a statement.

    ``committed`` is the position that later reads of the session must see.
    ``open`` is whether the transaction is still open.
    """

    answer: Answer
    placement: Placement | None = None
    committed: Position | None = None
    open: bool = False


def remaining_ms(statement: StatementRequest, clock: Callable[[], float]) -> int:
    """Return the time left before the deadline of a statement."""
    return int((statement.deadline_s - clock()) * 1000)
